//! A read-only view of the parts that together say how the endpoints are. Owns nothing.

use harrierdock_types::{Arm, BuildId, TimeDelta};

use crate::context::Context;
use crate::elimination_votes::EliminationVotes;
use crate::endpoint_table::{Endpoint, EndpointTable};
use crate::rollout_state::RolloutState;
use crate::zone_ejection::ZoneEjection;

/// Share of the fleet that must be there and warm before worse service is held against a build.
const CALM_CAPACITY_RATIO: f64 = 0.9;
/// Traffic is higher than usual if this part of it, less its own chance variation, is above the usual.
const CALM_TRAFFIC_RATIO: f64 = 0.7;

/// How the endpoints are, at one moment.
#[derive(Clone, Copy)]
pub(crate) struct FleetView<'a> {
    pub(crate) context: &'a Context,
    pub(crate) endpoints: &'a EndpointTable,
    pub(crate) rollout: &'a RolloutState,
    pub(crate) zones: &'a ZoneEjection,
    pub(crate) eliminations: &'a EliminationVotes,
    /// The longest mean answer time of all classes.
    pub(crate) mean_latency: TimeDelta,
}

impl FleetView<'_> {
    /// Whether a build is not released.
    pub(crate) fn is_canary(&self, build: BuildId) -> bool {
        self.rollout.is_canary(build, self.endpoints)
    }

    /// Whether an endpoint is neither ejected, alone or with its zone, nor unresponsive.
    ///
    /// An endpoint of a canary that is not eliminated is not ejected alone (departure G in docs/design.md): a build that fails
    /// everything would else give too few outcomes to be eliminated, and be promoted after the fallback wait.
    pub(crate) fn is_healthy(&self, endpoint: &Endpoint) -> bool {
        let now = self.context.now;
        let is_judged = self.is_canary(endpoint.record.build)
            && !self.eliminations.eliminate(self.context, Arm::Canary, 1.0);
        (is_judged || !endpoint.health.is_ejected(now))
            && !self.zones.is_ejected(endpoint.record.zone, now)
            && !endpoint.health.is_unresponsive(now, self.mean_latency)
    }

    /// The attempts that may yet be answered: those at healthy endpoints. Where no other gateway reports attempts, also those at
    /// unresponsive ones that are not ejected, as overload silences all that one gateway meets.
    pub(crate) fn in_flight(&self) -> usize {
        let now = self.context.now;
        let gossip_enabled = self.context.parameters.limits.gossip_enabled;
        let counts = |endpoint: &Endpoint| {
            let is_ejected =
                endpoint.health.is_ejected(now) || self.zones.is_ejected(endpoint.record.zone, now);
            (!gossip_enabled && !is_ejected) || self.is_healthy(endpoint)
        };
        self.endpoints
            .iter()
            .filter(|endpoint| counts(endpoint))
            .map(|endpoint| endpoint.load.in_flight())
            .sum()
    }

    /// Whether no cause of worse service shows but the build: as many endpoints as ever are there, warm and reachable, no zone is
    /// silent, and there is no more traffic than usual.
    pub(crate) fn is_calm(&self, recent_first_tries: f64, usual_first_tries: f64) -> bool {
        let now = self.context.now;
        let warm_endpoints: f64 = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.is_ready() && !endpoint.health.is_unreachable(now))
            .map(|endpoint| endpoint.capacity_ratio(self.context))
            .sum();
        let least_traffic = recent_first_tries - recent_first_tries.sqrt();
        warm_endpoints >= CALM_CAPACITY_RATIO * self.endpoints.fleet_size() as f64
            && CALM_TRAFFIC_RATIO * least_traffic <= usual_first_tries
            && now >= self.zones.last_ejected_until()
    }
}
