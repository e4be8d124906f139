//! How much an endpoint that is warming up is sent. Owns the traffic counts that the budget is derived from.

use harrierdock_types::{SafetyParameters, TimeDelta, Timestamp};

use crate::context::Context;
use crate::endpoint_table::Endpoint;
use crate::sliding_window::SlidingWindow;

/// Share of a warming endpoint's overload threshold that all gateways together may use.
const SLOW_START_BUDGET_RATIO: f64 = 0.5;

/// The share of its capacity (0 to 1) that an endpoint has at a time, at the least.
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

/// What one endpoint has been sent while it warms up.
#[derive(Debug, Default)]
pub(crate) struct SlowStartBudget {
    attempts: SlidingWindow<()>,
    /// Offsets the budget before it is rounded down (0 to 1), so that not all gateways round alike.
    tie_breaker: f64,
}

impl SlowStartBudget {
    pub(crate) fn new(tie_breaker: f64) -> SlowStartBudget {
        SlowStartBudget {
            attempts: SlidingWindow::default(),
            tie_breaker,
        }
    }

    pub(crate) fn attempt_started(&mut self, now: Timestamp) {
        self.attempts.push(now, ());
    }

    pub(crate) fn drop_before(&mut self, edge: Timestamp) {
        self.attempts.drop_before(edge);
    }
}

/// A warming endpoint that a selection has come upon.
pub(crate) struct WarmingCandidate<'a> {
    pub(crate) endpoint: &'a Endpoint,
    /// The most ready endpoints that have run one build.
    pub(crate) fleet_size: usize,
    /// The ready endpoints of its arm.
    pub(crate) arm_size: usize,
    /// Those of them that this gateway sends to.
    pub(crate) subset_size: usize,
    /// The weights of all endpoints that compete for the attempt.
    pub(crate) competing_weight: f64,
    /// Drawn evenly from 0 to 1.
    pub(crate) draw: f64,
}

/// Admission of attempts to warming endpoints.
///
/// This gateway's share of what may go to one within the overload window is what an average endpoint answers this gateway, times
/// the part of the overload multiple that all gateways may use. Answers are counted and not requests received: client retries
/// multiply those, but no endpoint answers more than it can.
#[derive(Debug, Default)]
pub(crate) struct SlowStartAdmission {
    answered: SlidingWindow<()>,
    selections: SlidingWindow<()>,
}

impl SlowStartAdmission {
    pub(crate) fn record_answer(&mut self, now: Timestamp) {
        self.answered.push(now, ());
    }

    /// Notes that an endpoint is selected. A selection that finds none is a chance at a warming endpoint too.
    pub(crate) fn record_selection(&mut self, now: Timestamp) {
        self.selections.push(now, ());
    }

    pub(crate) fn drop_before(&mut self, edge: Timestamp) {
        self.answered.drop_before(edge);
        self.selections.drop_before(edge);
    }

    /// Whether one more attempt may go to an endpoint that is warming up.
    pub(crate) fn admits(&self, context: &Context, candidate: &WarmingCandidate<'_>) -> bool {
        let endpoint = candidate.endpoint;
        let warmth = endpoint.capacity_ratio(context);
        let safety = &context.parameters.safety;
        let window_ratio = safety
            .overload_window
            .ratio_to(context.parameters.rollout.exposure_window);
        let fleet_budget = SLOW_START_BUDGET_RATIO
            * safety.overload_multiple
            * warmth
            * window_ratio
            * self.answered.len() as f64;
        let budget = fleet_budget / candidate.fleet_size.max(1) as f64;
        let sent = endpoint
            .slow_start
            .attempts
            .count_after(context.now - safety.overload_window, |()| true);
        // The fewer gateways send to each endpoint, the more each of them may send there.
        let own_budget = budget * candidate.arm_size as f64 / candidate.subset_size.max(1) as f64;
        if own_budget >= 1.0 {
            return sent < (own_budget + endpoint.slow_start.tie_breaker).floor();
        }
        // The budget is less than one attempt: draw, with the budget over what this gateway would send there if each selection
        // ended at one of the competing endpoints by weight.
        let selections = self.selections.len() as f64 + 1.0;
        sent < 1.0
            && candidate.draw * selections * window_ratio * endpoint.weight(context)
                < budget * candidate.competing_weight
    }
}
