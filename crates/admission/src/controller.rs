//! The admission controller of one gateway: it decides on requests, and counts what becomes of them.

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

// Times as ratios to the shortest latency objective.
/// Over which counts decay.
pub(crate) const COUNT_DECAY_RATIO: f64 = 0.5;
/// The longest time to come back, above the least one.
const MAX_RETRY_AFTER_RATIO: f64 = 2.0;

/// How long a request may wait, as a ratio to its class's latency objective. It needs the rest at the endpoints.
pub const MAX_WAIT_RATIO: f64 = 0.1;
/// A request that is likely to bring less than this share of its priority weight is rejected.
const MIN_EXPECTED_VALUE: f32 = 0.1;
/// The shortest latency objective that is supported.
const MIN_LATENCY_OBJECTIVE: TimeDelta = TimeDelta(1_000);
/// Where there are no classes.
const DEFAULT_LATENCY_OBJECTIVE: TimeDelta = TimeDelta(1_000_000);

/// One gateway's part in the admission of its fleet.
pub struct AdmissionController {
    pub(crate) parameters: AdmissionParameters,
    pub(crate) shortest_objective: TimeDelta,
    pub(crate) first_tick: Option<Timestamp>,
    pub(crate) last_tick: Option<Timestamp>,
    pub(crate) own: LoadCounts,
    /// By zone: attempts in flight that this gateway knows of. `own.in_flight` has them once the gateway is old enough.
    pub(crate) in_flight: Vec<u32>,
    pub(crate) peers: PeerReports,
    pub(crate) load: FleetLoad,
    pub(crate) rates: AdmissionRates,
    /// By class and tenant: what is left over of the admitted ratio; at 1, a request is admitted.
    pub(crate) credits: Vec<f32>,
    pub(crate) queue: WaitQueue,
    pub(crate) sent_reports: u32,
    pub(crate) next_histogram: usize,
    pub(crate) rng: WyRand,
}

/// A weight or ratio from the settings; one that is no number counts as 0.
fn finite_or_zero(value: f64) -> f64 {
    if value.is_finite() {
        value
    } else {
        0.0
    }
}

fn bounded(mut parameters: AdmissionParameters) -> AdmissionParameters {
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

/// Requests that may have taken effect are not rejected unless every endpoint drops their repeats: the policy sees them through.
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
    /// A controller that knows nothing, and admits everything.
    pub fn new(parameters: AdmissionParameters) -> AdmissionController {
        let parameters = bounded(parameters);
        let classes = parameters.classes.len();
        let zones = parameters.zone_count;
        let tenants = parameters.tenant_quotas.len();
        let mut rng = WyRand::new_seed(parameters.seed);
        // Gateways that start together do not admit the same requests.
        let credits = (0..classes * (tenants + 1))
            .map(|_| rng.generate::<f32>())
            .collect();
        let objectives = parameters.classes.iter().map(|c| c.latency_objective);
        AdmissionController {
            shortest_objective: objectives.min().unwrap_or(DEFAULT_LATENCY_OBJECTIVE),
            first_tick: None,
            last_tick: None,
            own: LoadCounts::new(classes, zones, tenants),
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

    /// What is admitted at present.
    pub fn rates(&self) -> &AdmissionRates {
        &self.rates
    }

    /// How many requests wait.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// How much is kept of peers.
    pub fn peer_counts(&self) -> PeerCounts {
        self.peers.kept()
    }

    /// Decides on a request at its arrival, or before a retry.
    pub fn decide(&mut self, now: Timestamp, request: &AdmissionRequest) -> Decision {
        let Some(class) = self.parameters.classes.get(request.class.0).copied() else {
            return Decision::Admit;
        };
        if request.may_have_run && !is_rejectable_after_attempt(&class) {
            return Decision::Admit;
        }
        let tenant_count = self.own.offered_by_tenant.len();
        let tenant = request.tenant.filter(|t| *t < TenantId(tenant_count));
        self.count_offered(request, tenant);
        let value = self.value_after(request, &class, TimeDelta::ZERO);
        if request.remaining <= TimeDelta::ZERO || value < MIN_EXPECTED_VALUE {
            return self.reject();
        }
        let ratio = self.admitted_ratio(now, request.class, tenant, request.zones);
        if self.draw_credit(ratio, request.class, tenant) {
            return Decision::Admit;
        }
        let longest_wait = class.latency_objective * MAX_WAIT_RATIO - request.age;
        let at_most = longest_wait.min(request.remaining);
        if !self.is_worth_waiting(request, &class, value, at_most) {
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
            waits_until: now + at_most,
        });
        if is_queued {
            Decision::Wait { at_most }
        } else {
            self.reject()
        }
    }

    fn count_offered(&mut self, request: &AdmissionRequest, tenant: Option<TenantId>) {
        let is_first = !request.may_have_run && request.age <= TimeDelta::ZERO;
        if !is_first {
            return;
        }
        self.own.offered[request.class.0] += 1.0;
        if let Some(tenant) = tenant {
            self.own.offered_by_tenant[tenant.0] += 1.0;
        }
    }

    /// The expected value of a request that is sent after a wait.
    fn value_after(
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

    /// Whether the request is likely to be admitted within its wait, and is worth at least half as much then.
    fn is_worth_waiting(
        &self,
        request: &AdmissionRequest,
        class: &ClassParameters,
        value: f32,
        at_most: TimeDelta,
    ) -> bool {
        let is_soon = self
            .rates
            .time_to_admission(request.class)
            .is_some_and(|after| after <= at_most);
        let late_value = self.value_after(request, class, at_most);
        at_most > TimeDelta::ZERO && is_soon && late_value >= value / 2.0
    }

    fn reject(&mut self) -> Decision {
        Decision::Reject {
            retry_after: self.draw_retry_after(),
        }
    }

    /// When there is capacity again, spread so that clients do not come back in step.
    pub(crate) fn draw_retry_after(&mut self) -> Option<TimeDelta> {
        let spread = 0.5 + self.rng.generate::<f64>();
        let least = self.parameters.min_retry_after?;
        let most = least + self.shortest_objective * MAX_RETRY_AFTER_RATIO;
        let expected = least.max(self.rates.drain_time()) * spread;
        Some(expected.max(least).min(most))
    }

    /// The ratio of such requests that is admitted now.
    pub(crate) fn admitted_ratio(
        &self,
        now: Timestamp,
        class: ClassId,
        tenant: Option<TenantId>,
        zones: u8,
    ) -> f32 {
        let ratio = self.rates.admitted_ratio(class, tenant, zones);
        // A gateway that was stopped goes on with old rates: they lose their weight while no tick has come. Where ticks are late under
        // overload, this admits too much.
        let age = self
            .last_tick
            .map_or(TimeDelta::ZERO, |tick| now - tick)
            .ratio_to(self.shortest_objective);
        if age > COUNT_DECAY_RATIO {
            return ratio.max(f32::MIN_POSITIVE).powf((-age).exp() as f32);
        }
        ratio
    }

    /// Admits this ratio of a class's requests, evenly: what is left over counts for the next.
    pub(crate) fn draw_credit(
        &mut self,
        ratio: f32,
        class: ClassId,
        tenant: Option<TenantId>,
    ) -> bool {
        let row = class.0 * (self.own.offered_by_tenant.len() + 1);
        let credit = &mut self.credits[row + tenant.map_or(0, |t| t.0 + 1)];
        *credit = (*credit + ratio).min(2.0);
        let is_admitted = *credit >= 1.0;
        if is_admitted {
            *credit -= 1.0;
        }
        is_admitted
    }

    /// Takes an event, and returns what is to be done, in order.
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
                self.peers.receive(now, from, report, &self.own);
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
        let is_answered = matches!(
            outcome,
            AttemptOutcome::Succeeded | AttemptOutcome::ServerError | AttemptOutcome::NotSent
        );
        if is_answered {
            self.own.answered[zone.0] += 1.0;
        }
        // An attempt that was rejected or never reached an endpoint says nothing of answer times.
        if is_answered || outcome == AttemptOutcome::TimedOut {
            let index = class.0 * self.parameters.zone_count + zone.0;
            let ratio = duration.ratio_to(parameters.latency_objective) as f32;
            self.own.histograms[index].record(ratio);
        }
    }
}
