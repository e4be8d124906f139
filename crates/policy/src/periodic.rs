//! The policy's periodic work: updates of time-dependent state, retries, and removal of old state.

use harrierdock_types::RolloutPhase;

use crate::Policy;

impl Policy {
    /// Performs the periodic work, and retries the requests whose retry timer has expired.
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
        if self.context.is_aggregator() && !self.is_undisturbed() {
            self.elimination.discard_overall(now);
        }
        self.timer.record_fired(now);
        while let Some(id) = self.requests.pop_expired_retry(now) {
            self.try_start_attempt(id);
        }
        self.forget_expired();
        self.decide_vote();
    }

    fn is_undisturbed(&self) -> bool {
        let recent_original_requests = self.traffic.recent_original_requests(&self.context);
        self.fleet().is_undisturbed(
            recent_original_requests,
            self.elimination.usual_original_requests(),
        )
    }

    /// Removes state that is older than any window in use.
    fn forget_expired(&mut self) {
        let parameters = &self.context.parameters;
        let cutoff =
            self.context.now - parameters.rollout.exposure_window - parameters.clock_resolution;
        self.exposure.drop_before(cutoff);
        self.slow_start.drop_before(cutoff);
        self.traffic.forget_expired(&self.context);
        self.endpoints.forget_expired(&self.context);
        self.release_sticky_versions();
    }

    /// Releases the keys that no endpoint is too old for, and keeps the memory of the others within its bound.
    ///
    /// Keys of the build in rollout, and of later builds, outlive the older endpoints: these may return after any absence, and
    /// only a rollback lets them answer such keys again.
    fn release_sticky_versions(&mut self) {
        let Some(earliest) = self.endpoints.earliest_build() else {
            return;
        };
        let Some(update) = self.rollout.update() else {
            return self.sticky_versions.release_through(earliest);
        };
        let build = update.build;
        let no_older_endpoint = earliest >= build;
        match update.phase {
            RolloutPhase::RollingBack | RolloutPhase::RolledBack => {
                self.sticky_versions.release_through(earliest.min(build));
            }
            // No key needs an older build, so one entry for all keys takes the place of many.
            RolloutPhase::Released if no_older_endpoint => self.sticky_versions.keep_all(build),
            RolloutPhase::Canary if no_older_endpoint => self.sticky_versions.release_before(build),
            RolloutPhase::Released | RolloutPhase::Canary => {
                self.sticky_versions.release_through(earliest);
            }
        }
    }
}
