//! The endpoints that discovery has listed. Owns each endpoint's state, and the state derived from the whole list.

use std::collections::BTreeMap;
use std::ops::Index;

use harrierdock_types::{
    Arm, BuildId, EndpointId, EndpointRecord, GossipId, Lifecycle, TimeDelta, Timestamp, UpdateKind,
};

use crate::concurrency_limit::ConcurrencyLimit;
use crate::context::{Context, FALLBACK_WAIT};
use crate::outlier_ejection::EndpointHealth;
use crate::per_arm::{arm_if_canary, PerArm};
use crate::rollout_state::RolloutState;
use crate::slow_start::{capacity_ratio, SlowStartBudget};

/// The largest number of endpoints of an arm that a selection considers, so that its cost doesn't grow with the fleet.
pub(crate) const SAMPLE_SIZE: usize = 20;
/// How often an idle connection should be reused per idle timeout.
const USES_PER_IDLE_TIMEOUT: f64 = 16.0;
/// For any number of multiples of this ratio, their fractional parts are evenly spread over 0 to 1.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
/// The lower bound of the latency estimate when a weight is computed.
const MIN_LATENCY_ESTIMATE: f64 = 0.1;
/// A removed endpoint is remembered for this many slow start windows plus the fallback wait.
const MEMORY_SLOW_START_WINDOWS: f64 = 3.0;

/// An endpoint's record and this gateway's state for it.
#[derive(Debug, Default)]
pub(crate) struct Endpoint {
    pub(crate) record: EndpointRecord,
    /// When the endpoint started; `None` if its record has no age because it started long ago.
    pub(crate) started: Option<Timestamp>,
    /// The time of the last list before which the endpoint was not removed.
    last_listed: Timestamp,
    /// The mean latency, as a ratio to the class's mean latency.
    pub(crate) latency_estimate: f64,
    pub(crate) concurrency: ConcurrencyLimit,
    pub(crate) health: EndpointHealth,
    pub(crate) slow_start: SlowStartBudget,
}

impl Endpoint {
    pub(crate) fn is_ready(&self) -> bool {
        self.record.lifecycle == Lifecycle::Ready
    }

    /// The share of its full capacity (0 to 1) that the endpoint has now, as a lower bound.
    pub(crate) fn capacity_ratio(&self, context: &Context) -> f64 {
        self.capacity_ratio_at(context, context.now)
    }

    pub(crate) fn capacity_ratio_at(&self, context: &Context, at: Timestamp) -> f64 {
        capacity_ratio(self.started, at, &context.parameters.safety)
    }

    /// The request rate that the endpoint sustains, as a ratio to a warm endpoint of mean latency.
    pub(crate) fn weight(&self, context: &Context) -> f64 {
        self.capacity_ratio(context) / self.latency_estimate.max(MIN_LATENCY_ESTIMATE)
    }
}

/// The deployment of the current rollout stage's build.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CanaryDeployment {
    /// The share of ready endpoints (0 to 1) that run this build or a newer one.
    pub(crate) ratio: f64,
    /// The number of ready endpoints that run this build.
    pub(crate) endpoints: usize,
    /// The latest start time of these endpoints; `None` if none has a known start time.
    pub(crate) newest_start: Option<Timestamp>,
}

/// The arm of a build and the number of its ready endpoints.
struct ReadyBuild {
    arm: Arm,
    endpoints: usize,
}

/// All endpoints that are listed or were removed recently.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    by_gossip_id: BTreeMap<GossipId, EndpointId>,
    fleet_size: usize,
    arms: PerArm<Vec<EndpointId>>,
    canary: CanaryDeployment,
}

impl Index<EndpointId> for EndpointTable {
    type Output = Endpoint;

    /// Panics if the endpoint is unknown. Endpoints of an arm are always known: only removed endpoints are forgotten.
    fn index(&self, id: EndpointId) -> &Endpoint {
        &self.endpoints[&id]
    }
}

impl EndpointTable {
    pub(crate) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(&id)
    }

    pub(crate) fn id_of(&self, gossip_id: GossipId) -> Option<EndpointId> {
        self.by_gossip_id.get(&gossip_id).copied()
    }

    pub(crate) fn get_by_gossip_id(&self, gossip_id: GossipId) -> Option<&Endpoint> {
        self.endpoints.get(&self.id_of(gossip_id)?)
    }

    pub(crate) fn get_mut_by_gossip_id(&mut self, gossip_id: GossipId) -> Option<&mut Endpoint> {
        let id = self.id_of(gossip_id)?;
        self.endpoints.get_mut(&id)
    }

    /// The endpoints in the order of their ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.endpoints.values_mut()
    }

    pub(crate) fn len(&self) -> usize {
        self.endpoints.len()
    }

    pub(crate) fn gossip_id_count(&self) -> usize {
        self.by_gossip_id.len()
    }

    /// The largest number of ready endpoints that has run a single build. The total of both builds during a rollout would
    /// overstate the fleet.
    pub(crate) fn fleet_size(&self) -> usize {
        self.fleet_size
    }

    /// The ready endpoints of an arm, in this gateway's rotated order.
    pub(crate) fn arm(&self, arm: Arm) -> &[EndpointId] {
        self.arms.get(arm)
    }

    pub(crate) fn canary(&self) -> &CanaryDeployment {
        &self.canary
    }

    /// The oldest build of all known endpoints. Removed endpoints count while they are remembered, as they may return.
    pub(crate) fn earliest_build(&self) -> Option<BuildId> {
        self.iter().map(|endpoint| endpoint.record.build).min()
    }

    /// Prepares for the records of a list. Lists other than deltas are complete, so all endpoints count as removed until listed.
    pub(crate) fn prepare_for_list(&mut self, now: Timestamp, kind: UpdateKind) {
        for endpoint in self.endpoints.values_mut() {
            if endpoint.record.lifecycle == Lifecycle::Removed {
                continue;
            }
            endpoint.last_listed = now;
            if kind != UpdateKind::Delta {
                endpoint.record.lifecycle = Lifecycle::Removed;
            }
        }
    }

    /// Updates an endpoint's record if its build and start time are unchanged. Returns whether they are.
    pub(crate) fn refresh(&mut self, now: Timestamp, record: &EndpointRecord) -> bool {
        let started = record.age.map(|age| now - age);
        match self.endpoints.get_mut(&record.endpoint) {
            Some(known) if known.record.build == record.build && known.started == started => {
                known.record = record.clone();
                true
            }
            _ => false,
        }
    }

    /// Adds an endpoint that has started or restarted. Attempts in flight from before a restart still count.
    pub(crate) fn insert(
        &mut self,
        now: Timestamp,
        record: EndpointRecord,
        latency_estimate: f64,
        tie_breaker: f64,
    ) {
        let id = record.endpoint;
        let in_flight = self
            .get(id)
            .map_or(0, |known| known.concurrency.in_flight());
        self.by_gossip_id.insert(record.gossip_id, id);
        let endpoint = Endpoint {
            started: record.age.map(|age| now - age),
            record,
            latency_estimate,
            concurrency: ConcurrencyLimit::with_in_flight(in_flight),
            slow_start: SlowStartBudget::new(tie_breaker),
            ..Endpoint::default()
        };
        self.endpoints.insert(id, endpoint);
    }

    /// Recomputes the state derived from the list, so that no request or message has to iterate over all endpoints.
    pub(crate) fn recompute_derived_state(&mut self, context: &Context, rollout: &RolloutState) {
        let stage_build = rollout.stage().build;
        let mut ready_by_build: BTreeMap<BuildId, ReadyBuild> = BTreeMap::new();
        let mut arms: PerArm<Vec<EndpointId>> = PerArm::default();
        let mut newest_start = None;
        for (id, endpoint) in &self.endpoints {
            if !endpoint.is_ready() {
                continue;
            }
            let build = endpoint.record.build;
            let ready = ready_by_build.entry(build).or_insert_with(|| ReadyBuild {
                arm: arm_if_canary(rollout.is_canary(build, self)),
                endpoints: 0,
            });
            ready.endpoints += 1;
            arms.get_mut(ready.arm).push(*id);
            if build == stage_build {
                newest_start = newest_start.max(endpoint.started);
            }
        }
        self.sort_and_rotate(context, &mut arms.baseline);
        self.sort_and_rotate(context, &mut arms.canary);
        let ready = (arms.baseline.len() + arms.canary.len()).max(1) as f64;
        let canary_or_newer: usize = ready_by_build
            .iter()
            .filter(|(build, _)| **build >= stage_build)
            .map(|(_, ready)| ready.endpoints)
            .sum();
        self.canary = CanaryDeployment {
            ratio: canary_or_newer as f64 / ready,
            endpoints: ready_by_build
                .get(&stage_build)
                .map_or(0, |ready| ready.endpoints),
            newest_start,
        };
        self.arms = arms;
        self.fleet_size = ready_by_build
            .into_values()
            .map(|ready| ready.endpoints)
            .fold(self.fleet_size, usize::max);
    }

    /// Sorts an arm in the same order at all gateways, then rotates it by an offset that depends on the gateway. This spreads
    /// the gateways' subsets evenly.
    fn sort_and_rotate(&self, context: &Context, arm: &mut [EndpointId]) {
        let start_ratio = (context.parameters.local_peer.0 as f64 * GOLDEN_RATIO).fract();
        arm.sort_by_cached_key(|id| self.endpoints[id].record.gossip_id);
        let start = (start_ratio * arm.len() as f64) as usize;
        arm.rotate_left(start);
    }

    /// The number of endpoints of an arm that this gateway sends to, given the requests received in the exposure window.
    ///
    /// The subset is small enough that each connection is reused often within the idle timeout. Otherwise hundreds of gateways
    /// would each connect to every endpoint, with too few requests per endpoint to estimate its health. If a few gateways receive
    /// most of the traffic, endpoint loads are uneven.
    pub(crate) fn subset_size(&self, context: &Context, arm: Arm, received: usize) -> usize {
        let connections_per_request = context
            .parameters
            .limits
            .idle_timeout
            .ratio_to(context.parameters.rollout.exposure_window)
            / USES_PER_IDLE_TIMEOUT;
        ((received as f64 * connections_per_request) as usize)
            .max(SAMPLE_SIZE)
            .min(self.arm(arm).len())
    }

    /// Forgets endpoints that were removed long ago, and expired state of the others. Removed endpoints are kept for a while
    /// because complaints may still refer to them.
    pub(crate) fn forget_expired(&mut self, context: &Context) {
        let safety = &context.parameters.safety;
        let retention: TimeDelta = safety.slow_start_window * MEMORY_SLOW_START_WINDOWS;
        let removal_cutoff = context.now - FALLBACK_WAIT - retention;
        self.endpoints.retain(|_, endpoint| {
            endpoint.record.lifecycle != Lifecycle::Removed
                || endpoint.concurrency.in_flight() > 0
                || endpoint.last_listed > removal_cutoff
        });
        let endpoints = &self.endpoints;
        self.by_gossip_id.retain(|_, id| endpoints.contains_key(id));
        let slow_start_cutoff = context.now - safety.overload_window;
        let longest_timeout = context.longest_timeout();
        for endpoint in self.endpoints.values_mut() {
            endpoint
                .concurrency
                .forget_abandoned(context.now, longest_timeout);
            endpoint.slow_start.drop_before(slow_start_cutoff);
        }
    }
}
