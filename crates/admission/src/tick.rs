//! The controller's tick: decays counts, recomputes rates, resolves waiting requests and sends load reports.

use harrierdock_types::{TimeDelta, Timestamp};
use nanorand::Rng;

use crate::admission_rates::Measurement;
use crate::controller::{AdmissionController, COUNT_DECAY_RATIO};
use crate::event::Action;
use crate::load_report::{self, LoadReport};
use crate::wait_queue::WaitingRequest;

/// The longest interval between ticks, as a ratio to the shortest latency objective.
const TICK_RATIO: f64 = 0.1;
/// The time constant of the decay of histograms, as a ratio to the shortest latency objective.
const HISTOGRAM_DECAY_RATIO: f64 = 2.0;
/// The time constant of the decay of a peer's report, as a ratio to the shortest latency objective.
const REPORT_DECAY_RATIO: f64 = 0.5;

/// The number of load reports sent per tick, each to a different peer.
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
        // Just after a start, attempts are in flight and hardly any response has arrived, so the counts mean nothing yet.
        let is_old_enough = now - first_tick >= self.shortest_objective;
        self.decay(since_last);
        self.update_in_flight(is_old_enough);
        self.update_rates(now, since_last, is_old_enough);
        self.resolve_waiting(now, actions);
        self.send_reports(is_old_enough, actions);
        // The random interval keeps gateways from acting in step. It never exceeds the longest wait of any class.
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
            .own_counts
            .offered
            .iter_mut()
            .chain(&mut self.own_counts.offered_by_tenant)
            .chain(&mut self.own_counts.answered);
        counts.for_each(|count| *count *= count_factor);
        for histogram in &mut self.own_counts.histograms {
            histogram.decay(histogram_factor);
        }
    }

    fn update_in_flight(&mut self, is_old_enough: bool) {
        for (counted, in_flight) in self.own_counts.in_flight.iter_mut().zip(&self.in_flight) {
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
            self.peers
                .sum(now, &self.own_counts, decay_time, &mut self.load);
        } else {
            let empty = self.own_counts.empty_like();
            self.peers.sum(now, &empty, decay_time, &mut self.load);
        }
        let measurement = Measurement {
            window: self.shortest_objective * COUNT_DECAY_RATIO,
            since_last,
            has_just_started: !is_old_enough,
        };
        self.rates.update(&self.parameters, measurement, &self.load);
    }

    /// Goes through the wait queue in order: admits requests as the rates allow, and rejects requests whose wait ends before the next tick.
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
        // The request was not admitted at the tried ratio. Trying the additional ratio makes its total probability of admission equal
        // to the current ratio.
        let tried = request.tried_ratio;
        let additional_ratio = (ratio - tried).max(0.0) / (1.0 - tried).max(f32::EPSILON);
        request.tried_ratio = tried.max(ratio);
        if now <= request.waits_until
            && additional_ratio > 0.0
            && self.admit_by_credit(additional_ratio, class, tenant)
        {
            return Some(Action::Admit { id: request.id });
        }
        let is_last_tick = now + self.shortest_objective * TICK_RATIO > request.waits_until;
        is_last_tick.then(|| Action::Reject {
            id: request.id,
            retry_after: self.draw_retry_after(),
        })
    }

    /// Sends a fixed number of reports at each tick, independent of the size of the fleet.
    fn send_reports(&mut self, is_old_enough: bool, actions: &mut Vec<Action>) {
        let members = self.peers.counts().members;
        if members == 0 {
            return;
        }
        let first = self.rng.generate_range(0..members);
        let empty = self.own_counts.empty_like();
        for report_index in 0..REPORTS_PER_TICK.min(members) {
            let position = (first + report_index * members.div_ceil(REPORTS_PER_TICK)) % members;
            let Some(to) = self.peers.member_at(position) else {
                continue;
            };
            self.sent_reports = self.sent_reports.saturating_add(1);
            let head = LoadReport {
                incarnation: self.parameters.incarnation,
                sequence_number: self.sent_reports,
                sustainable_ratio: self.rates.sustainable_ratio(),
                ..LoadReport::default()
            };
            let counts = if is_old_enough {
                &self.own_counts
            } else {
                &empty
            };
            let (bytes, next_histogram) = load_report::encode(&head, counts, self.next_histogram);
            if report_index == 0 {
                self.next_histogram = next_histogram;
            }
            actions.push(Action::SendReport { to, bytes });
        }
    }
}
