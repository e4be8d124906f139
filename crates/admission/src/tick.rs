//! The controller's tick: counts decay, rates are computed anew, waiting requests are resolved, and load reports are sent.

use harrierdock_types::{TimeDelta, Timestamp};
use nanorand::Rng;

use crate::admission_rates::Measurement;
use crate::controller::{AdmissionController, COUNT_DECAY_RATIO};
use crate::event::Action;
use crate::load_report::{self, LoadReport};
use crate::wait_queue::WaitingRequest;

// Times as ratios to the shortest latency objective.
/// Between two ticks.
const TICK_RATIO: f64 = 0.1;
/// Over which histograms decay.
const HISTOGRAM_DECAY_RATIO: f64 = 2.0;
/// Over which a peer's report decays.
const REPORT_DECAY_RATIO: f64 = 0.5;

/// Load reports at each tick, each to another peer.
const REPORTS_PER_TICK: usize = 2;

impl AdmissionController {
    pub(crate) fn handle_timer(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let first_tick = *self.first_tick.get_or_insert(now);
        let interval = self.shortest_objective * TICK_RATIO;
        let since_last = self
            .last_tick
            .map_or(interval, |tick| now - tick)
            .max(TimeDelta::ZERO);
        if since_last < interval / 2.0 {
            self.resolve_waiting(now, actions);
            return;
        }
        self.last_tick = Some(now);
        // What is in flight just after a start has not been heard to be answered yet, so a young gateway's counts mean nothing.
        let is_old_enough = now - first_tick >= self.shortest_objective;
        self.decay(since_last);
        self.update_in_flight(is_old_enough);
        self.update_rates(now, since_last, is_old_enough);
        self.resolve_waiting(now, actions);
        self.send_reports(is_old_enough, actions);
        // Intervals vary, so that gateways do not act in step. None is longer than the shortest wait.
        actions.push(Action::SetTimer {
            after: interval * (0.8 + 0.2 * self.rng.generate::<f64>()),
        });
    }

    fn decay(&mut self, elapsed: TimeDelta) {
        let factor = |decay_ratio: f64| {
            (-elapsed.ratio_to(self.shortest_objective * decay_ratio)).exp() as f32
        };
        let count_factor = factor(COUNT_DECAY_RATIO);
        let histogram_factor = factor(HISTOGRAM_DECAY_RATIO);
        let counts = self
            .own
            .offered
            .iter_mut()
            .chain(&mut self.own.offered_by_tenant)
            .chain(&mut self.own.answered);
        counts.for_each(|count| *count *= count_factor);
        for histogram in &mut self.own.histograms {
            histogram.decay(histogram_factor);
        }
    }

    fn update_in_flight(&mut self, is_old_enough: bool) {
        for (counted, in_flight) in self.own.in_flight.iter_mut().zip(&self.in_flight) {
            *counted = if is_old_enough {
                *in_flight as f32
            } else {
                0.0
            };
        }
    }

    fn update_rates(&mut self, now: Timestamp, since_last: TimeDelta, is_old_enough: bool) {
        let decay_time = self.shortest_objective * REPORT_DECAY_RATIO;
        if is_old_enough {
            self.peers.sum(now, &self.own, decay_time, &mut self.load);
        } else {
            let empty = self.own.empty_like();
            self.peers.sum(now, &empty, decay_time, &mut self.load);
        }
        let measurement = Measurement {
            window: self.shortest_objective * COUNT_DECAY_RATIO,
            since_last,
            has_just_started: !is_old_enough,
        };
        self.rates.update(&self.parameters, measurement, &self.load);
    }

    /// Goes through waiting requests in order: each is admitted if it may be, and rejected once it has waited long enough.
    fn resolve_waiting(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let mut queue = std::mem::take(&mut self.queue);
        queue.resolve_each(|request| self.resolve(now, request), actions);
        self.queue = queue;
    }

    fn resolve(&mut self, now: Timestamp, request: &mut WaitingRequest) -> Option<Action> {
        let WaitingRequest { class, tenant, .. } = *request;
        let ratio = self.admitted_ratio(now, class, tenant, request.zones);
        // The request has been tried at the ratio of then; now at what is admitted beyond.
        let tried = request.tried_ratio;
        let beyond = (ratio - tried).max(0.0) / (1.0 - tried).max(f32::EPSILON);
        request.tried_ratio = tried.max(ratio);
        if now <= request.waits_until && beyond > 0.0 && self.draw_credit(beyond, class, tenant) {
            return Some(Action::Admit { id: request.id });
        }
        let is_last_tick = now + self.shortest_objective * TICK_RATIO > request.waits_until;
        is_last_tick.then(|| Action::Reject {
            id: request.id,
            retry_after: self.draw_retry_after(),
        })
    }

    /// Sends the same number of reports at each tick, whatever the size of the fleet.
    fn send_reports(&mut self, is_old_enough: bool, actions: &mut Vec<Action>) {
        let members = self.peers.kept().members;
        if members == 0 {
            return;
        }
        let first = self.rng.generate_range(0..members);
        let empty = self.own.empty_like();
        for report in 0..REPORTS_PER_TICK.min(members) {
            let position = (first + report * members.div_ceil(REPORTS_PER_TICK)) % members;
            let Some(to) = self.peers.member_at(position) else {
                continue;
            };
            self.sent_reports = self.sent_reports.saturating_add(1);
            let head = LoadReport {
                incarnation: self.parameters.incarnation,
                number: self.sent_reports,
                sustainable_ratio: self.rates.sustainable_ratio(),
                ..LoadReport::default()
            };
            let counts = if is_old_enough { &self.own } else { &empty };
            let (bytes, next_histogram) = load_report::encode(&head, counts, self.next_histogram);
            if report == 0 {
                self.next_histogram = next_histogram;
            }
            actions.push(Action::SendReport { to, bytes });
        }
    }
}
