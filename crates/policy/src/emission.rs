//! The actions of a policy: the difference between the desired state of its modules and the actions emitted before.

use harrierdock_types::Action;

use crate::Policy;

impl Policy {
    /// Collects the pending actions of all modules, in a fixed order.
    pub(crate) fn emit(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        let retry_after = self.context.parameters.limits.retry_after;
        self.requests.emit(retry_after, &mut actions);
        self.voter.emit(&self.context, &mut self.rng, &mut actions);
        self.emit_reports(&mut actions);
        self.elimination_votes
            .emit(&self.context, self.rollout.stage(), &mut actions);
        let shed_ratio = self.shedder.shed_ratio();
        self.gossip
            .emit_latencies(&self.context, &self.endpoints, shed_ratio, &mut actions);
        let parameters = &self.context.parameters;
        self.discovery_watch.emit(
            self.context.now,
            parameters.discovery_mode,
            parameters.safety.max_poll_interval,
            &mut actions,
        );
        self.timer
            .emit(&self.context, self.requests.next_retry(), &mut actions);
        actions
    }

    /// Reports outcomes and traffic to the group's aggregator. The aggregator itself adds its traffic to the group's.
    fn emit_reports(&mut self, actions: &mut Vec<Action>) {
        if !self.gossip.start_report_if_due(&self.context) {
            return;
        }
        let counts = self.traffic.take_unreported();
        if self.context.is_aggregator() {
            self.traffic.record_group(self.context.now, counts);
        } else {
            let in_flight = self.fleet().in_flight();
            self.gossip
                .emit_outcomes(&self.context, counts, in_flight, actions);
        }
    }
}
