//! A read-only view of the state that determines the health of the endpoints. Owns nothing.

use harrierdock_types::{Arm, BuildId, TimeDelta};

use crate::context::Context;
use crate::elimination_votes::EliminationVotes;
use crate::endpoint_table::{Endpoint, EndpointTable};
use crate::rollout_state::RolloutState;
use crate::zone_ejection::ZoneEjection;

/// Share of the fleet that must be reachable and warm for worse service to be attributed to a build.
const UNDISTURBED_CAPACITY_RATIO: f64 = 0.9;
/// Traffic is higher than usual if this share of the current traffic, minus its random variation, exceeds the usual traffic.
const UNDISTURBED_TRAFFIC_RATIO: f64 = 0.7;

/// A read-only view of the endpoints and of what decides whether they are healthy, for the current event.
#[derive(Clone, Copy)]
pub(crate) struct FleetView<'a> {
    pub(crate) context: &'a Context,
    pub(crate) endpoints: &'a EndpointTable,
    pub(crate) rollout: &'a RolloutState,
    pub(crate) zones: &'a ZoneEjection,
    pub(crate) elimination_votes: &'a EliminationVotes,
    /// The longest mean answer time of all classes.
    pub(crate) mean_latency: TimeDelta,
}

impl FleetView<'_> {
    /// Whether a build is unreleased.
    pub(crate) fn is_canary(&self, build: BuildId) -> bool {
        self.rollout.is_canary(build, self.endpoints)
    }

    /// Whether an endpoint is neither ejected, alone or with its zone, nor unresponsive.
    ///
    /// Until the canary is eliminated, its endpoints are ejected only with their zone. If they were ejected one by one, a build
    /// that fails every request would yield too few outcomes to be eliminated, and would be promoted after the fallback wait
    /// (departure G in docs/design.md).
    pub(crate) fn is_healthy(&self, endpoint: &Endpoint) -> bool {
        let now = self.context.now;
        let is_active_canary = self.is_canary(endpoint.record.build)
            && !self
                .elimination_votes
                .is_eliminated(self.context, Arm::Canary, 1.0);
        (is_active_canary || !endpoint.health.is_ejected(now))
            && !self.zones.is_ejected(endpoint.record.zone, now)
            && !endpoint.health.is_unresponsive(now, self.mean_latency)
    }

    /// Number of attempts in flight at healthy endpoints. Without gossip, attempts at unresponsive endpoints that are not ejected
    /// count too, because overload can make every endpoint that one gateway uses unresponsive.
    pub(crate) fn in_flight(&self) -> usize {
        let now = self.context.now;
        let gossip_enabled = self.context.parameters.limits.gossip_enabled;
        let is_counted = |endpoint: &Endpoint| {
            let is_ejected =
                endpoint.health.is_ejected(now) || self.zones.is_ejected(endpoint.record.zone, now);
            (!gossip_enabled && !is_ejected) || self.is_healthy(endpoint)
        };
        self.endpoints
            .iter()
            .filter(|endpoint| is_counted(endpoint))
            .map(|endpoint| endpoint.concurrency.in_flight())
            .sum()
    }

    /// Whether worse service has no visible cause but the build: nearly the whole fleet is warm and reachable, no zone is ejected,
    /// and there is no more traffic than usual. Original requests are requests that are not client retries: `recent_original_requests`
    /// counts those in the latest traffic window, and `usual_original_requests` is the mean per traffic window before the rollout.
    pub(crate) fn is_undisturbed(
        &self,
        recent_original_requests: f64,
        usual_original_requests: f64,
    ) -> bool {
        let now = self.context.now;
        let warm_endpoints: f64 = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.is_ready() && !endpoint.health.is_unreachable(now))
            .map(|endpoint| endpoint.capacity_ratio(self.context))
            .sum();
        let min_traffic = recent_original_requests - recent_original_requests.sqrt();
        warm_endpoints >= UNDISTURBED_CAPACITY_RATIO * self.endpoints.fleet_size() as f64
            && UNDISTURBED_TRAFFIC_RATIO * min_traffic <= usual_original_requests
            && now >= self.zones.last_ejected_until()
    }
}
