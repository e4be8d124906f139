//! What a policy does at intervals: update what depends on time, retry, and forget.

use crate::Policy;

impl Policy {
    /// Does what is done at intervals, and looks for endpoints for the requests whose retry is due.
    pub(crate) fn tick(&mut self) {
        let now = self.context.now;
        let load = self
            .gossip
            .load(&self.context, &self.traffic, || self.fleet().in_flight());
        self.shedder.update(&self.context, load.as_ref());
        self.zones
            .update(&self.context, &self.endpoints, self.latency.longest_mean());
        if self.elimination.take_new_payoffs() {
            let local_peer = self.context.parameters.local_peer;
            for result in self.elimination.run() {
                self.elimination_votes
                    .record(&self.context, result.arm, local_peer, result.weight);
            }
        }
        if self.context.is_aggregator() && !self.is_calm() {
            self.elimination.discard_overall(now);
        }
        self.timer.fired(now);
        while let Some(id) = self.requests.pop_due_retry(now) {
            self.look_for_endpoint(id);
        }
        self.forget();
        self.decide_vote();
    }

    fn is_calm(&self) -> bool {
        let recent_first_tries = self.traffic.recent_first_tries(&self.context);
        self.fleet()
            .is_calm(recent_first_tries, self.elimination.usual_first_tries())
    }

    /// Drops what no window holds any more.
    fn forget(&mut self) {
        let parameters = &self.context.parameters;
        let edge = self.context.now - parameters.rollout.exposure_window - parameters.tick;
        self.exposure.drop_before(edge);
        self.slow_start.drop_before(edge);
        self.traffic.forget(&self.context);
        self.endpoints.forget(&self.context);
        if let Some(earliest) = self.endpoints.earliest_build() {
            self.sticky_versions.release_through(earliest);
        }
    }
}
