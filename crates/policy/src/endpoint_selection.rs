//! Selects the endpoint for a request's next attempt. The preferred arm is drawn by its share of capacity, then the endpoint is
//! the less loaded of two weighted random choices. Stateless.

use std::collections::BTreeMap;

use harrierdock_types::{Arm, BuildId, EndpointId, RetrySafety};
use nanorand::{Rng, WyRand};

use crate::endpoint_table::{Endpoint, SAMPLE_SIZE};
use crate::exposure_limiter::{CanaryAttempt, ExposureLimiter};
use crate::fleet_view::FleetView;
use crate::per_arm::{arm_if_canary, PerArm};
use crate::request_table::Request;
use crate::retries::may_retry_at;
use crate::slow_start::{SlowStartAdmission, WarmingCandidate};

/// The number of tiers for healthy endpoints that the request has not tried: one for the preferred arm, one for the other arm.
const HEALTHY_TIERS: usize = 2;

/// An endpoint in the sample of a selection.
#[derive(Clone, Copy)]
struct Candidate {
    id: EndpointId,
    /// The number of endpoints of the arm that this one represents in the sample.
    represented_endpoints: f64,
}

/// The endpoints that a selection considers.
#[derive(Default)]
struct Sample {
    candidates: Vec<Candidate>,
    /// The capacity of each arm, in warm endpoints. A warming endpoint counts by its capacity ratio; otherwise the warm endpoints
    /// of its build would get its share of the requests too.
    capacity: PerArm<f64>,
}

/// Candidates of equal rank.
struct Tier {
    /// The total weight of the endpoints that compete with a warming endpoint of this tier.
    competing_weight: f64,
    endpoints: Vec<EndpointId>,
}

/// The cached exposure check of a build, for one selection.
struct BuildExposure {
    build: BuildId,
    /// Whether one more attempt at the build stays within its exposure limit.
    is_allowed: bool,
}

/// The inputs of one selection.
pub(crate) struct EndpointSelector<'a> {
    pub(crate) fleet: FleetView<'a>,
    pub(crate) exposure: &'a ExposureLimiter,
    pub(crate) slow_start: &'a SlowStartAdmission,
    pub(crate) request: &'a Request,
    /// The oldest build that may serve the request; build 0 if every build may.
    pub(crate) sticky_build: BuildId,
    /// Whether the canary may receive the request as far as the memory for its key is concerned.
    pub(crate) has_room_for_key: bool,
    pub(crate) rng: &'a mut WyRand,
}

impl EndpointSelector<'_> {
    /// Selects an endpoint for the request, or `None` if no endpoint may receive it now. `free_canary_ratio` maps the canary's
    /// share of capacity to its share of the requests without a sticky canary.
    pub(crate) fn select(&mut self, free_canary_ratio: impl Fn(f64) -> f64) -> Option<EndpointId> {
        let sample = self.build_sample();
        let capacity = &sample.capacity;
        let canary_ratio =
            capacity.canary / (capacity.baseline + capacity.canary).max(f64::EPSILON);
        let draw = self.rng.generate::<f64>();
        let prefers_canary =
            draw < free_canary_ratio(canary_ratio) && self.request.attempts.is_empty();
        for tier in self.build_tiers(&sample.candidates, prefers_canary) {
            if let Some(endpoint) = self.select_from_tier(tier) {
                return Some(endpoint);
            }
        }
        None
    }

    fn subset_size(&self, arm: Arm) -> usize {
        let received = self.exposure.received_count();
        self.fleet
            .endpoints
            .subset_size(self.fleet.context, arm, received)
    }

    /// This gateway's subset of each arm, or a random sample of the subset if it is large.
    fn build_sample(&mut self) -> Sample {
        let fleet = self.fleet;
        let mut sample = Sample::default();
        for arm in [Arm::Baseline, Arm::Canary] {
            let ids = fleet.endpoints.arm(arm);
            let subset_size = self.subset_size(arm);
            let sample_size = subset_size.min(SAMPLE_SIZE);
            for index in 0..sample_size {
                let position = if subset_size > SAMPLE_SIZE {
                    self.rng.generate_range(0..subset_size)
                } else {
                    index
                };
                let id = ids[position];
                let represented_endpoints = ids.len() as f64 / sample_size as f64;
                let endpoint = &fleet.endpoints[id];
                *sample.capacity.get_mut(arm) +=
                    represented_endpoints * endpoint.capacity_ratio(fleet.context);
                sample.candidates.push(Candidate {
                    id,
                    represented_endpoints,
                });
            }
        }
        sample
    }

    /// The candidates that may receive the request, grouped by rank, best rank first.
    fn build_tiers(&self, candidates: &[Candidate], prefers_canary: bool) -> Vec<Tier> {
        let mut exposures: Vec<BuildExposure> = Vec::new();
        let mut by_rank: BTreeMap<usize, Vec<Candidate>> = BTreeMap::new();
        for candidate in candidates {
            let endpoint = &self.fleet.endpoints[candidate.id];
            let build = endpoint.record.build;
            let is_canary = self.fleet.is_canary(build);
            let is_over_limit = is_canary && !self.is_within_exposure_limit(build, &mut exposures);
            if is_over_limit || !self.may_receive(endpoint, is_canary) {
                continue;
            }
            let rank = self.rank(candidate.id, endpoint, is_canary == prefers_canary);
            by_rank.entry(rank).or_default().push(*candidate);
        }
        by_rank
            .iter()
            .map(|(rank, tier)| self.build_tier(*rank, tier, &by_rank))
            .collect()
    }

    /// Whether one more attempt at a build stays within its exposure limit. Each build is checked once per selection.
    fn is_within_exposure_limit(&self, build: BuildId, exposures: &mut Vec<BuildExposure>) -> bool {
        if let Some(found) = exposures.iter().find(|exposure| exposure.build == build) {
            return found.is_allowed;
        }
        let context = self.fleet.context;
        let limit = self
            .fleet
            .rollout
            .exposure_limit(build, &context.parameters.rollout);
        let class = self.request.class;
        let is_allowed = self
            .exposure
            .allows(context, CanaryAttempt { class, build }, limit);
        exposures.push(BuildExposure { build, is_allowed });
        is_allowed
    }

    /// Whether an endpoint may receive the request, apart from the exposure limit and slow start.
    fn may_receive(&self, endpoint: &Endpoint, is_canary: bool) -> bool {
        let context = self.fleet.context;
        let build = endpoint.record.build;
        let retry_safety = context.class(self.request.class).retry_safety;
        let is_guarded = is_canary
            && self.fleet.rollout.stage_index_of(build) < context.parameters.rollout.guarded_stages
            && retry_safety != RetrySafety::Idempotent;
        endpoint.is_ready()
            && build >= self.sticky_build
            && (!is_canary || self.has_room_for_key)
            && !is_guarded
            && endpoint.concurrency.has_capacity()
            && !endpoint.health.is_backing_off(context.now)
            && may_retry_at(context, self.fleet.endpoints, endpoint, self.request)
    }

    /// The rank of an endpoint; lower ranks are chosen first. Healthy endpoints that the request has not tried rank first, and
    /// among these the preferred arm.
    fn rank(&self, id: EndpointId, endpoint: &Endpoint, is_preferred: bool) -> usize {
        let is_healthy = self.fleet.is_healthy(endpoint);
        let was_tried = self
            .request
            .attempts
            .iter()
            .any(|attempt| attempt.endpoint == id);
        if is_healthy && !was_tried {
            return usize::from(!is_preferred);
        }
        HEALTHY_TIERS + 2 * usize::from(was_tried || !is_preferred) - usize::from(is_healthy)
    }

    /// Builds the tier of a rank from the candidates that slow start admits. Healthy endpoints of both arms share the first
    /// attempts, so all of them compete with a warming endpoint.
    fn build_tier(
        &self,
        rank: usize,
        candidates: &[Candidate],
        by_rank: &BTreeMap<usize, Vec<Candidate>>,
    ) -> Tier {
        let next_rank = rank + 1;
        let competitors = by_rank
            .range(next_rank..HEALTHY_TIERS.max(next_rank))
            .flat_map(|(_, tier)| tier);
        let competing_weight = candidates
            .iter()
            .chain(competitors)
            .map(|candidate| candidate.represented_endpoints * self.weight(candidate.id))
            .sum::<f64>();
        let endpoints = candidates
            .iter()
            .map(|candidate| candidate.id)
            .filter(|id| self.slow_start_admits(*id, competing_weight, 0.0))
            .collect();
        Tier {
            competing_weight,
            endpoints,
        }
    }

    fn select_from_tier(&mut self, mut tier: Tier) -> Option<EndpointId> {
        let selected = self.pick_less_loaded(&tier.endpoints)?;
        let draw = self.rng.generate::<f64>();
        if self.slow_start_admits(selected, tier.competing_weight, draw) {
            return Some(selected);
        }
        // Slow start admission is drawn at most once per selection: after a refusal, only warm endpoints remain.
        tier.endpoints
            .retain(|id| !self.is_warming(&self.fleet.endpoints[*id]));
        self.pick_less_loaded(&tier.endpoints)
    }

    fn slow_start_admits(&self, id: EndpointId, competing_weight: f64, draw: f64) -> bool {
        let endpoint = &self.fleet.endpoints[id];
        if !self.is_warming(endpoint) {
            return true;
        }
        let arm = arm_if_canary(self.fleet.is_canary(endpoint.record.build));
        let candidate = WarmingCandidate {
            endpoint,
            fleet_size: self.fleet.endpoints.fleet_size(),
            arm_size: self.fleet.endpoints.arm(arm).len(),
            subset_size: self.subset_size(arm),
            competing_weight,
            draw,
        };
        self.slow_start.admits(self.fleet.context, &candidate)
    }

    fn is_warming(&self, endpoint: &Endpoint) -> bool {
        endpoint.capacity_ratio(self.fleet.context) < 1.0
    }

    fn weight(&self, id: EndpointId) -> f64 {
        self.fleet.endpoints[id].weight(self.fleet.context)
    }

    /// The less loaded of two random endpoints, relative to their weights. `None` if `ids` is empty.
    fn pick_less_loaded(&mut self, ids: &[EndpointId]) -> Option<EndpointId> {
        let first = self.draw_by_weight(ids)?;
        let second = self.draw_by_weight(ids)?;
        let load_ratio = |id: EndpointId| {
            self.fleet.endpoints[id].concurrency.in_flight() as f64 / self.weight(id)
        };
        if load_ratio(second) < load_ratio(first) {
            Some(second)
        } else {
            Some(first)
        }
    }

    /// A random endpoint, drawn in proportion to weight. Choosing the largest weight instead would send hundreds of idle gateways
    /// to the same endpoint.
    fn draw_by_weight(&mut self, ids: &[EndpointId]) -> Option<EndpointId> {
        let weights: Vec<f64> = ids.iter().map(|id| self.weight(*id)).collect();
        let mut remaining_weight = self.rng.generate::<f64>() * weights.iter().sum::<f64>();
        for (id, weight) in ids.iter().zip(&weights) {
            remaining_weight -= weight;
            if remaining_weight < 0.0 {
                return Some(*id);
            }
        }
        ids.first().copied()
    }
}
