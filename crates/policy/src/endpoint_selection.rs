//! Which endpoint the next attempt of a request goes to: the arm by its share of capacity, then the less loaded of two random
//! choices by weight. Owns nothing.

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

/// The first tiers, of endpoints that are healthy and not tried yet: those of the preferred arm, and those of the other one.
const HEALTHY_TIERS: usize = 2;

/// An endpoint that a selection looks at.
#[derive(Clone, Copy)]
struct Candidate {
    id: EndpointId,
    /// How many endpoints of its arm it stands for.
    stands_for: f64,
}

/// What a selection looks at.
#[derive(Default)]
struct Sample {
    candidates: Vec<Candidate>,
    /// The warm endpoints of each arm. A warming one counts for what it carries; the warm ones of its build would else carry its
    /// part too.
    capacity: PerArm<f64>,
}

/// Endpoints that rank alike.
struct Tier {
    /// The weights of all that compete with a warming one.
    competing_weight: f64,
    endpoints: Vec<EndpointId>,
}

/// Whether one more attempt at a build stays within its exposure limit.
struct BuildExposure {
    build: BuildId,
    is_allowed: bool,
}

/// What one selection reads.
pub(crate) struct EndpointSelector<'a> {
    pub(crate) fleet: FleetView<'a>,
    pub(crate) exposure: &'a ExposureLimiter,
    pub(crate) slow_start: &'a SlowStartAdmission,
    pub(crate) request: &'a Request,
    /// The oldest build that may answer the request.
    pub(crate) sticky_build: BuildId,
    pub(crate) rng: &'a mut WyRand,
}

impl EndpointSelector<'_> {
    /// Selects an endpoint for the request. `free_canary_ratio` turns the canary's share of capacity into its share of the
    /// requests that may choose. `None` if no endpoint may take it now.
    pub(crate) fn select(&mut self, free_canary_ratio: impl Fn(f64) -> f64) -> Option<EndpointId> {
        let sample = self.sample();
        let capacity = &sample.capacity;
        let canary_ratio =
            capacity.canary / (capacity.baseline + capacity.canary).max(f64::EPSILON);
        let draw = self.rng.generate::<f64>();
        let prefers_canary =
            draw < free_canary_ratio(canary_ratio) && self.request.attempts.is_empty();
        for tier in self.tiers(&sample.candidates, prefers_canary) {
            if let Some(endpoint) = self.select_in(tier) {
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

    /// The endpoints that this gateway sends to, or a few of them drawn at random.
    fn sample(&mut self) -> Sample {
        let fleet = self.fleet;
        let mut sample = Sample::default();
        for arm in [Arm::Baseline, Arm::Canary] {
            let ids = fleet.endpoints.arm(arm);
            let subset_size = self.subset_size(arm);
            let sample_size = subset_size.min(SAMPLE_SIZE);
            for index in 0..sample_size {
                let at = if subset_size > SAMPLE_SIZE {
                    self.rng.generate_range(0..subset_size)
                } else {
                    index
                };
                let id = ids[at];
                let stands_for = ids.len() as f64 / sample_size as f64;
                let endpoint = &fleet.endpoints[id];
                *sample.capacity.get_mut(arm) +=
                    stands_for * endpoint.capacity_ratio(fleet.context);
                sample.candidates.push(Candidate { id, stands_for });
            }
        }
        sample
    }

    /// The candidates that may take the request, by rank.
    fn tiers(&self, candidates: &[Candidate], prefers_canary: bool) -> Vec<Tier> {
        let mut exposures: Vec<BuildExposure> = Vec::new();
        let mut by_rank: BTreeMap<usize, Vec<Candidate>> = BTreeMap::new();
        for candidate in candidates {
            let endpoint = &self.fleet.endpoints[candidate.id];
            let build = endpoint.record.build;
            let is_canary = self.fleet.is_canary(build);
            let is_over_limit = is_canary && !self.has_exposure(build, &mut exposures);
            if is_over_limit || !self.may_take(endpoint, is_canary) {
                continue;
            }
            let rank = self.rank(candidate.id, endpoint, is_canary == prefers_canary);
            by_rank.entry(rank).or_default().push(*candidate);
        }
        by_rank
            .iter()
            .map(|(rank, tier)| self.tier(*rank, tier, &by_rank))
            .collect()
    }

    /// Whether one more attempt at a build stays within its exposure limit. Asked once for each build.
    fn has_exposure(&self, build: BuildId, exposures: &mut Vec<BuildExposure>) -> bool {
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

    /// Whether an endpoint may take the request, exposure and slow start aside.
    fn may_take(&self, endpoint: &Endpoint, is_canary: bool) -> bool {
        let context = self.fleet.context;
        let build = endpoint.record.build;
        let retry_safety = context.class(self.request.class).retry_safety;
        let is_guarded = is_canary
            && self.fleet.rollout.stage_index_of(build) < context.parameters.rollout.guarded_stages
            && retry_safety != RetrySafety::Idempotent;
        endpoint.is_ready()
            && build >= self.sticky_build
            && !is_guarded
            && endpoint.load.has_capacity()
            && !endpoint.health.is_resting(context.now)
            && may_retry_at(context, self.fleet.endpoints, endpoint, self.request)
    }

    /// The lower, the sooner an endpoint is chosen: healthy ones not tried yet first, those of the preferred arm before the others.
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

    /// The endpoints of a rank that slow start admits. Healthy endpoints of both arms share the first attempts, so all of them
    /// compete with a warming one.
    fn tier(
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
            .map(|candidate| candidate.stands_for * self.weight(candidate.id))
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

    fn select_in(&mut self, mut tier: Tier) -> Option<EndpointId> {
        let selected = self.pick(&tier.endpoints)?;
        let draw = self.rng.generate::<f64>();
        if self.slow_start_admits(selected, tier.competing_weight, draw) {
            return Some(selected);
        }
        // A selection has one chance at a warming endpoint.
        tier.endpoints
            .retain(|id| !self.is_warming(&self.fleet.endpoints[*id]));
        self.pick(&tier.endpoints)
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

    /// The less loaded, for its weight, of two random endpoints. `None` if there are none.
    fn pick(&mut self, ids: &[EndpointId]) -> Option<EndpointId> {
        let first = self.draw(ids)?;
        let second = self.draw(ids)?;
        let load_ratio =
            |id: EndpointId| self.fleet.endpoints[id].load.in_flight() as f64 / self.weight(id);
        if load_ratio(second) < load_ratio(first) {
            Some(second)
        } else {
            Some(first)
        }
    }

    /// A random endpoint, with odds by weight. By rank, hundreds of gateways that hold nothing would all choose the same one.
    fn draw(&mut self, ids: &[EndpointId]) -> Option<EndpointId> {
        let weights: Vec<f64> = ids.iter().map(|id| self.weight(*id)).collect();
        let mut left = self.rng.generate::<f64>() * weights.iter().sum::<f64>();
        for (id, weight) in ids.iter().zip(&weights) {
            left -= weight;
            if left < 0.0 {
                return Some(*id);
            }
        }
        ids.first().copied()
    }
}
