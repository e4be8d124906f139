//! Limits the attempts at endpoints that are warming up. Owns the traffic counts that the limit is derived from.

use harrierdock_types::{SafetyParameters, TimeDelta, Timestamp};

use crate::context::Context;
use crate::endpoint_table::Endpoint;
use crate::sliding_window::SlidingWindow;

/// The share of a warming endpoint's overload threshold that all gateways together may use.
const SLOW_START_BUDGET_RATIO: f64 = 0.5;

/// A lower bound of an endpoint's share of its full capacity (0 to 1) at a time. 1 if `started` is `None`.
pub(crate) fn capacity_ratio(
    started: Option<Timestamp>,
    at: Timestamp,
    safety: &SafetyParameters,
) -> f64 {
    let Some(started) = started else {
        return 1.0;
    };
    let age: TimeDelta = at - started;
    let initial = safety.initial_capacity_ratio;
    (initial + (1.0 - initial) * age.ratio_to(safety.slow_start_window)).min(1.0)
}

/// The recent attempts at one endpoint that is warming up.
#[derive(Debug, Default)]
pub(crate) struct SlowStartBudget {
    attempts: SlidingWindow<()>,
    /// Added to the budget before it is rounded down (0 to 1), so that gateways round differently.
    tie_breaker: f64,
}

impl SlowStartBudget {
    pub(crate) fn new(tie_breaker: f64) -> SlowStartBudget {
        SlowStartBudget {
            attempts: SlidingWindow::default(),
            tie_breaker,
        }
    }

    pub(crate) fn record_attempt_start(&mut self, now: Timestamp) {
        self.attempts.push(now, ());
    }

    pub(crate) fn drop_before(&mut self, cutoff: Timestamp) {
        self.attempts.drop_before(cutoff);
    }
}

/// A warming endpoint that a selection considers.
pub(crate) struct WarmingCandidate<'a> {
    pub(crate) endpoint: &'a Endpoint,
    /// The largest number of ready endpoints that has run a single build.
    pub(crate) fleet_size: usize,
    /// The number of ready endpoints of the endpoint's arm.
    pub(crate) arm_size: usize,
    /// The number of the arm's endpoints that this gateway sends to.
    pub(crate) subset_size: usize,
    /// The total weight of the endpoints that compete for the attempt.
    pub(crate) competing_weight: f64,
    /// A uniform random number from 0 to 1.
    pub(crate) draw: f64,
}

/// Admission of attempts to warming endpoints.
///
/// The budget per endpoint and overload window is the number of requests that an average endpoint answers for this gateway, times
/// the usable part of the overload multiple. The budget is based on answered instead of received requests: client retries inflate
/// the received requests, while an endpoint's capacity bounds the answered requests.
#[derive(Debug, Default)]
pub(crate) struct SlowStartAdmission {
    answered: SlidingWindow<()>,
    selections: SlidingWindow<()>,
}

impl SlowStartAdmission {
    pub(crate) fn record_response(&mut self, now: Timestamp) {
        self.answered.push(now, ());
    }

    /// Records an endpoint selection. Selections that find no endpoint count, as they could have chosen a warming endpoint.
    pub(crate) fn record_selection(&mut self, now: Timestamp) {
        self.selections.push(now, ());
    }

    pub(crate) fn drop_before(&mut self, cutoff: Timestamp) {
        self.answered.drop_before(cutoff);
        self.selections.drop_before(cutoff);
    }

    /// Whether one more attempt may go to an endpoint that is warming up.
    pub(crate) fn admits(&self, context: &Context, candidate: &WarmingCandidate<'_>) -> bool {
        let endpoint = candidate.endpoint;
        let capacity_ratio = endpoint.capacity_ratio(context);
        let safety = &context.parameters.safety;
        let window_ratio = safety
            .overload_window
            .ratio_to(context.parameters.rollout.exposure_window);
        let fleet_budget = SLOW_START_BUDGET_RATIO
            * safety.overload_multiple
            * capacity_ratio
            * window_ratio
            * self.answered.len() as f64;
        let budget = fleet_budget / candidate.fleet_size.max(1) as f64;
        let sent = endpoint
            .slow_start
            .attempts
            .count_after(context.now - safety.overload_window, |()| true);
        // With subsets, fewer gateways send to each endpoint, so each of them may send more.
        let own_budget = budget * candidate.arm_size as f64 / candidate.subset_size.max(1) as f64;
        if own_budget >= 1.0 {
            return sent < (own_budget + endpoint.slow_start.tie_breaker).floor();
        }
        // The budget is less than one attempt, so admission is random. Its probability is the budget divided by the attempts that
        // this gateway would send to the endpoint if it selected among the competing endpoints by weight.
        let selections = self.selections.len() as f64 + 1.0;
        sent < 1.0
            && candidate.draw * selections * window_ratio * endpoint.weight(context)
                < budget * candidate.competing_weight
    }
}
