//! The admission controller of one gateway: decides on requests and counts their outcomes.

use harrierdock_types::{
    AttemptOutcome, ClassId, ClassParameters, IdempotencyScope, RequestId, RetrySafety, TenantId,
    TimeDelta, Timestamp, ZoneId,
};
use nanorand::{Rng, WyRand};

use crate::admission_rates::AdmissionRates;
use crate::event::{Action, AdmissionParameters, AdmissionRequest, Decision, Event};
use crate::load_report::{LoadCounts, MAX_CLASSES, MAX_TENANTS, MAX_ZONES};
use crate::peer_reports::{FleetLoad, PeerCounts, PeerReports};
use crate::wait_queue::{WaitQueue, WaitingRequest};

/// The time constant of the exponential decay of counts, as a ratio to the shortest latency objective.
pub(crate) const COUNT_DECAY_RATIO: f64 = 0.5;
/// How far a retry-after time may exceed the configured minimum, as a ratio to the shortest latency objective.
const MAX_RETRY_AFTER_RATIO: f64 = 2.0;

/// The longest wait of a request, as a ratio to its class's latency objective. The rest of the objective is left for the endpoints.
pub const MAX_WAIT_RATIO: f64 = 0.1;
/// Requests whose expected value is below this share of their priority weight are rejected.
const MIN_EXPECTED_VALUE: f32 = 0.1;
/// The shortest supported latency objective; shorter objectives are raised to this.
const MIN_LATENCY_OBJECTIVE: TimeDelta = TimeDelta(1_000);
/// The latency objective that times are derived from if no classes are configured.
const DEFAULT_LATENCY_OBJECTIVE: TimeDelta = TimeDelta(1_000_000);

/// Controls the admission of one gateway, using load reports from the other gateways of the fleet.
pub struct AdmissionController {
    pub(crate) parameters: AdmissionParameters,
    pub(crate) shortest_objective: TimeDelta,
    pub(crate) first_tick: Option<Timestamp>,
    pub(crate) last_tick: Option<Timestamp>,
    pub(crate) own_counts: LoadCounts,
    /// Attempts of this gateway in flight, by zone. Each tick copies them to `own_counts.in_flight` once the gateway has run for the
    /// shortest latency objective.
    pub(crate) in_flight: Vec<u32>,
    pub(crate) peers: PeerReports,
    pub(crate) load: FleetLoad,
    pub(crate) rates: AdmissionRates,
    /// By class and tenant: grows by the admitted ratio at each request, up to 2; admitting a request costs 1.
    pub(crate) credits: Vec<f32>,
    pub(crate) queue: WaitQueue,
    pub(crate) sent_reports: u32,
    pub(crate) next_histogram: usize,
    pub(crate) rng: WyRand,
}

/// Replaces a weight or ratio from the settings that is NaN or infinite by 0.
fn finite_or_zero(value: f64) -> f64 {
    if value.is_finite() {
        value
    } else {
        0.0
    }
}

fn bound_parameters(mut parameters: AdmissionParameters) -> AdmissionParameters {
    parameters.classes.truncate(MAX_CLASSES);
    parameters.tenant_quotas.truncate(MAX_TENANTS);
    parameters.zone_count = parameters.zone_count.clamp(1, MAX_ZONES);
    for class in &mut parameters.classes {
        class.latency_objective = class.latency_objective.max(MIN_LATENCY_OBJECTIVE);
        class.priority_weight = finite_or_zero(class.priority_weight);
        class.late_value_ratio = finite_or_zero(class.late_value_ratio);
    }
    parameters
}

/// Whether a request may be rejected after an attempt that may have taken effect: only if no endpoint executes a client retry a second
/// time. All other requests stay admitted until the policy completes them.
fn is_rejectable_after_attempt(class: &ClassParameters) -> bool {
    matches!(
        class.retry_safety,
        RetrySafety::Idempotent
            | RetrySafety::IdempotencyKey {
                scope: IdempotencyScope::All,
                ..
            }
    )
}

impl AdmissionController {
    /// Creates a controller that admits everything until it has load data.
    pub fn new(parameters: AdmissionParameters) -> AdmissionController {
        let parameters = bound_parameters(parameters);
        let classes = parameters.classes.len();
        let zones = parameters.zone_count;
        let tenants = parameters.tenant_quotas.len();
        let mut rng = WyRand::new_seed(parameters.seed);
        // Random initial credits keep gateways that start together from admitting requests in step.
        let credits = (0..classes * (tenants + 1))
            .map(|_| rng.generate::<f32>())
            .collect();
        let objectives = parameters.classes.iter().map(|c| c.latency_objective);
        AdmissionController {
            shortest_objective: objectives.min().unwrap_or(DEFAULT_LATENCY_OBJECTIVE),
            first_tick: None,
            last_tick: None,
            own_counts: LoadCounts::new(classes, zones, tenants),
            in_flight: vec![0; zones],
            peers: PeerReports::default(),
            load: FleetLoad::default(),
            rates: AdmissionRates::new(&parameters.classes, zones, tenants),
            credits,
            queue: WaitQueue::new(),
            sent_reports: 0,
            next_histogram: 0,
            rng,
            parameters,
        }
    }

    /// The admitted ratios computed at the last tick.
    pub fn rates(&self) -> &AdmissionRates {
        &self.rates
    }

    /// The number of requests in the wait queue.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// The numbers of known members and stored load reports.
    pub fn peer_counts(&self) -> PeerCounts {
        self.peers.counts()
    }

    /// Decides on a request when it arrives, or before it is retried.
    pub fn decide(&mut self, now: Timestamp, request: &AdmissionRequest) -> Decision {
        let Some(class) = self.parameters.classes.get(request.class.0).copied() else {
            return Decision::Admit;
        };
        if request.may_have_effect && !is_rejectable_after_attempt(&class) {
            return Decision::Admit;
        }
        let tenant_count = self.own_counts.offered_by_tenant.len();
        let tenant = request.tenant.filter(|t| *t < TenantId(tenant_count));
        self.count_offered(request, tenant);
        let value = self.expected_value_after(request, &class, TimeDelta::ZERO);
        if request.remaining <= TimeDelta::ZERO || value < MIN_EXPECTED_VALUE {
            return self.reject();
        }
        let ratio = self.admitted_ratio(now, request.class, tenant, request.zones);
        if self.admit_by_credit(ratio, request.class, tenant) {
            return Decision::Admit;
        }
        let longest_wait = class.latency_objective * MAX_WAIT_RATIO - request.age;
        let max_wait = longest_wait.min(request.remaining);
        if !self.is_worth_waiting(request, &class, value, max_wait) {
            return self.reject();
        }
        let is_queued = self.queue.push(WaitingRequest {
            id: request.id,
            class: request.class,
            tenant,
            zones: request.zones,
            tried_ratio: ratio,
            priority_weight: class.priority_weight,
            objective_at: now + (class.latency_objective - request.age),
            waits_until: now + max_wait,
        });
        if is_queued {
            Decision::Wait { max_wait }
        } else {
            self.reject()
        }
    }

    fn count_offered(&mut self, request: &AdmissionRequest, tenant: Option<TenantId>) {
        let is_first_decision = !request.may_have_effect && request.age <= TimeDelta::ZERO;
        if !is_first_decision {
            return;
        }
        self.own_counts.offered[request.class.0] += 1.0;
        if let Some(tenant) = tenant {
            self.own_counts.offered_by_tenant[tenant.0] += 1.0;
        }
    }

    /// The expected value of a request that is sent after waiting for `wait`.
    fn expected_value_after(
        &self,
        request: &AdmissionRequest,
        class: &ClassParameters,
        wait: TimeDelta,
    ) -> f32 {
        self.rates.expected_value(
            request.class,
            class,
            request.zones,
            class.latency_objective - request.age - wait,
            request.remaining - wait,
        )
    }

    /// Whether the request is likely to be admitted within `max_wait` and keeps at least half of its expected value until then.
    fn is_worth_waiting(
        &self,
        request: &AdmissionRequest,
        class: &ClassParameters,
        value: f32,
        max_wait: TimeDelta,
    ) -> bool {
        let is_admitted_soon = self
            .rates
            .time_to_admission(request.class)
            .is_some_and(|after| after <= max_wait);
        let value_after_wait = self.expected_value_after(request, class, max_wait);
        max_wait > TimeDelta::ZERO && is_admitted_soon && value_after_wait >= value / 2.0
    }

    fn reject(&mut self) -> Decision {
        Decision::Reject {
            retry_after: self.draw_retry_after(),
        }
    }

    /// Draws a retry-after time around the expected drain time, spread so that clients do not retry in step.
    pub(crate) fn draw_retry_after(&mut self) -> Option<TimeDelta> {
        let spread = 0.5 + self.rng.generate::<f64>();
        let min = self.parameters.min_retry_after?;
        let max = min + self.shortest_objective * MAX_RETRY_AFTER_RATIO;
        let expected = min.max(self.rates.drain_time()) * spread;
        Some(expected.max(min).min(max))
    }

    /// The ratio of the requests of this class, tenant and zones that is admitted now.
    pub(crate) fn admitted_ratio(
        &self,
        now: Timestamp,
        class: ClassId,
        tenant: Option<TenantId>,
        zones: u8,
    ) -> f32 {
        let ratio = self.rates.admitted_ratio(class, tenant, zones);
        // A gateway that was paused resumes with outdated rates, so the ratio tends to 1 as the time since the last tick grows. If ticks are
        // late because of overload, this admits too much.
        let age_ratio = self
            .last_tick
            .map_or(TimeDelta::ZERO, |tick| now - tick)
            .ratio_to(self.shortest_objective);
        if age_ratio > COUNT_DECAY_RATIO {
            return ratio.max(f32::MIN_POSITIVE).powf((-age_ratio).exp() as f32);
        }
        ratio
    }

    /// Adds `ratio`, the admitted ratio, to the credit of a class and tenant, and admits a request if the credit is at least 1. Admissions
    /// are evenly spaced, as unused credit carries over to the next request.
    pub(crate) fn admit_by_credit(
        &mut self,
        ratio: f32,
        class: ClassId,
        tenant: Option<TenantId>,
    ) -> bool {
        let row = class.0 * (self.own_counts.offered_by_tenant.len() + 1);
        let credit = &mut self.credits[row + tenant.map_or(0, |t| t.0 + 1)];
        *credit = (*credit + ratio).min(2.0);
        let is_admitted = *credit >= 1.0;
        if is_admitted {
            *credit -= 1.0;
        }
        is_admitted
    }

    /// Processes an event and returns the resulting actions in order.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::AttemptStarted { zone } => {
                if let Some(in_flight) = self.in_flight.get_mut(zone.0) {
                    *in_flight = in_flight.saturating_add(1);
                }
            }
            Event::AttemptFinished {
                class,
                zone,
                outcome,
                duration,
            } => self.count_finished(class, zone, outcome, duration),
            Event::RequestCancelled { id } => self.cancel(id),
            Event::MemberChanged { peer, incarnation } => {
                self.peers.update_member(peer, incarnation);
            }
            Event::ReportReceived { from, report } => {
                self.peers.receive(now, from, report, &self.own_counts);
            }
            Event::TimerFired => self.handle_timer(now, &mut actions),
        }
        actions
    }

    fn cancel(&mut self, id: RequestId) {
        self.queue.remove(id);
    }

    fn count_finished(
        &mut self,
        class: ClassId,
        zone: ZoneId,
        outcome: AttemptOutcome,
        duration: TimeDelta,
    ) {
        let Some(parameters) = self.parameters.classes.get(class.0) else {
            return;
        };
        let Some(in_flight) = self.in_flight.get_mut(zone.0) else {
            return;
        };
        *in_flight = in_flight.saturating_sub(1);
        let has_response = matches!(
            outcome,
            AttemptOutcome::Succeeded | AttemptOutcome::ServerError | AttemptOutcome::NotSent
        );
        if has_response {
            self.own_counts.answered[zone.0] += 1.0;
        }
        // An attempt that was rejected or never reached an endpoint gives no response time.
        if has_response || outcome == AttemptOutcome::TimedOut {
            let index = class.0 * self.parameters.zone_count + zone.0;
            let ratio = duration.ratio_to(parameters.latency_objective) as f32;
            self.own_counts.histograms[index].record(ratio);
        }
    }
}
