//! The endpoints that discovery has listed. Owns each endpoint's state, and what is derived of the list as a whole.

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

/// A selection looks at this many endpoints of an arm at the most, so that its cost doesn't grow with the fleet.
pub(crate) const SAMPLE_SIZE: usize = 20;
/// How often a kept connection should be used in the time after which it would be closed unused.
const USES_PER_IDLE_TIMEOUT: f64 = 16.0;
/// Fractions of its multiples lie evenly, however many.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
/// The least latency estimate that a weight is derived from.
const MIN_LATENCY_ESTIMATE: f64 = 0.1;
/// An endpoint that is gone is remembered for this many slow start windows, and the fallback wait.
const MEMORY_SLOW_START_WINDOWS: f64 = 3.0;

/// An endpoint and what this gateway knows of it.
#[derive(Debug, Default)]
pub(crate) struct Endpoint {
    pub(crate) record: EndpointRecord,
    pub(crate) started: Option<Timestamp>,
    /// When a list last said that it runs.
    last_listed: Timestamp,
    /// Answer times over the class's mean.
    pub(crate) latency_estimate: f64,
    pub(crate) load: ConcurrencyLimit,
    pub(crate) health: EndpointHealth,
    pub(crate) slow_start: SlowStartBudget,
}

impl Endpoint {
    pub(crate) fn is_ready(&self) -> bool {
        self.record.lifecycle == Lifecycle::Ready
    }

    /// The share of its capacity that it has by now, at the least.
    pub(crate) fn capacity_ratio(&self, context: &Context) -> f64 {
        self.capacity_ratio_at(context, context.now)
    }

    pub(crate) fn capacity_ratio_at(&self, context: &Context, at: Timestamp) -> f64 {
        capacity_ratio(self.started, at, &context.parameters.safety)
    }

    /// The requests that it carries, as a ratio to one that is warm and of the usual latency.
    pub(crate) fn weight(&self, context: &Context) -> f64 {
        self.capacity_ratio(context) / self.latency_estimate.max(MIN_LATENCY_ESTIMATE)
    }
}

/// Where the newest build that the platform has stated runs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CanaryDeployment {
    /// The share of ready endpoints (0 to 1) that run it or a newer one.
    pub(crate) ratio: f64,
    /// The ready endpoints that run it.
    pub(crate) endpoints: usize,
    /// When the newest of them started.
    pub(crate) newest_start: Option<Timestamp>,
}

/// The ready endpoints of one build.
struct ReadyBuild {
    arm: Arm,
    endpoints: usize,
}

/// All endpoints.
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

    /// Panics if there is no such endpoint. Those of an arm are always there: only removed ones are forgotten.
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

    /// The endpoints by their ids.
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

    /// The most ready endpoints that have run one build. During a rollout both builds may run beside each other for a while.
    pub(crate) fn fleet_size(&self) -> usize {
        self.fleet_size
    }

    /// The ready endpoints of an arm.
    pub(crate) fn arm(&self, arm: Arm) -> &[EndpointId] {
        self.arms.get(arm)
    }

    pub(crate) fn canary(&self) -> &CanaryDeployment {
        &self.canary
    }

    /// The oldest build that an endpoint runs, or ran while it is remembered: one that was lost may come back with it.
    pub(crate) fn earliest_build(&self) -> Option<BuildId> {
        self.iter().map(|endpoint| endpoint.record.build).min()
    }

    /// Begins to apply a list of this kind: all but a delta list every endpoint that still runs.
    pub(crate) fn begin_list(&mut self, now: Timestamp, kind: UpdateKind) {
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

    /// Applies a record to the endpoint that it is of, if that one runs the same build since the same start. Returns whether it does.
    pub(crate) fn refresh(&mut self, now: Timestamp, record: &EndpointRecord) -> bool {
        let started = record.age.map(|age| now - age);
        match self.endpoints.get_mut(&record.endpoint) {
            Some(held) if held.record.build == record.build && held.started == started => {
                held.record = record.clone();
                true
            }
            _ => false,
        }
    }

    /// Adds an endpoint that has started, or started anew. Its attempts in flight remain.
    pub(crate) fn insert(
        &mut self,
        now: Timestamp,
        record: EndpointRecord,
        latency_estimate: f64,
        tie_breaker: f64,
    ) {
        let id = record.endpoint;
        let in_flight = self.get(id).map_or(0, |held| held.load.in_flight());
        self.by_gossip_id.insert(record.gossip_id, id);
        let endpoint = Endpoint {
            started: record.age.map(|age| now - age),
            record,
            latency_estimate,
            load: ConcurrencyLimit::with_in_flight(in_flight),
            slow_start: SlowStartBudget::new(tie_breaker),
            ..Endpoint::default()
        };
        self.endpoints.insert(id, endpoint);
    }

    /// Derives what each request or message needs of the list, so that none walks it.
    pub(crate) fn survey(&mut self, context: &Context, rollout: &RolloutState) {
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
        self.rotate(context, &mut arms.baseline);
        self.rotate(context, &mut arms.canary);
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

    /// Sorts an arm alike at all gateways and lets each begin elsewhere, so that the few that each sends to are spread evenly.
    fn rotate(&self, context: &Context, arm: &mut [EndpointId]) {
        let start_ratio = (context.parameters.local_peer.0 as f64 * GOLDEN_RATIO).fract();
        arm.sort_by_cached_key(|id| self.endpoints[id].record.gossip_id);
        let start = (start_ratio * arm.len() as f64) as usize;
        arm.rotate_left(start);
    }

    /// How many endpoints of an arm this gateway sends to: as many as its traffic uses a connection to often before it would be
    /// closed. Otherwise hundreds of gateways would each connect to every endpoint, and meet each too seldom to know it. Where
    /// few gateways have most of the traffic, loads are uneven.
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

    /// Forgets endpoints that are long gone; complaints may speak of one for a while. Drops what their windows no longer hold.
    pub(crate) fn forget(&mut self, context: &Context) {
        let safety = &context.parameters.safety;
        let remembered: TimeDelta = safety.slow_start_window * MEMORY_SLOW_START_WINDOWS;
        let edge = context.now - FALLBACK_WAIT - remembered;
        self.endpoints.retain(|_, endpoint| {
            endpoint.record.lifecycle != Lifecycle::Removed
                || endpoint.load.in_flight() > 0
                || endpoint.last_listed > edge
        });
        let endpoints = &self.endpoints;
        self.by_gossip_id.retain(|_, id| endpoints.contains_key(id));
        let edge = context.now - safety.overload_window;
        let longest_timeout = context.longest_timeout();
        for endpoint in self.endpoints.values_mut() {
            endpoint.load.forget_abandoned(context.now, longest_timeout);
            endpoint.slow_start.drop_before(edge);
        }
    }
}
