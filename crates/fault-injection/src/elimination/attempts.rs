//! Draws the result of an attempt at an endpoint.

use harrierdock_types::{Arm, AttemptOutcome, ClassId};
use nanorand::{Rng, WyRand};

use super::scenario::{BuildFault, EndpointFault, EndpointPlan};

/// Share of errors without a fault of the endpoint or its build.
const USUAL_ERROR_RATIO: f64 = 0.001;
/// Share of slow responses without a fault of the endpoint or its build.
const USUAL_SLOW_RATIO: f64 = 0.03;
/// Share of the slow responses that miss the latency objective.
const LATE_RATIO_OF_SLOW: f64 = 0.4;

/// An attempt whose result is not drawn yet.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The target of the attempt.
    pub endpoint: EndpointPlan,
    /// The arm that the endpoint runs at `at_seconds`.
    pub arm: Arm,
    /// Request class.
    pub class: ClassId,
    /// When the attempt is sent, in seconds from the start of the rollout.
    pub at_seconds: f64,
}

/// The result of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// Success, server error or timeout.
    pub outcome: AttemptOutcome,
    /// Whether the attempt succeeded within the latency objective.
    pub in_time: bool,
    /// Whether the attempt succeeded without a slow response.
    pub fast: bool,
}

impl Attempt {
    /// Draws the result. Faults of the endpoint and of the build act independently.
    pub fn draw_result(&self, build_fault: Option<BuildFault>, rng: &mut WyRand) -> AttemptResult {
        let is_paused = self
            .endpoint
            .fault
            .is_some_and(|fault| fault.is_paused(self.at_seconds));
        if is_paused {
            return AttemptResult {
                outcome: AttemptOutcome::TimedOut,
                in_time: false,
                fast: false,
            };
        }
        let build_fault = build_fault.filter(|_| self.arm == Arm::Canary);
        let error_ratios = [
            USUAL_ERROR_RATIO,
            self.endpoint_error_ratio(),
            self.build_error_ratio(build_fault),
        ];
        let slow_ratios = [
            USUAL_SLOW_RATIO,
            self.endpoint_slow_ratio(),
            self.build_slow_ratio(build_fault),
        ];
        let failed = draw_any_cause(error_ratios, rng);
        let slow = draw_any_cause(slow_ratios, rng);
        let late = slow && rng.generate::<f64>() < LATE_RATIO_OF_SLOW;
        AttemptResult {
            outcome: if failed {
                AttemptOutcome::ServerError
            } else {
                AttemptOutcome::Succeeded
            },
            in_time: !failed && !late,
            fast: !failed && !slow,
        }
    }

    fn endpoint_error_ratio(&self) -> f64 {
        match self.endpoint.fault {
            Some(EndpointFault::Errors { ratio, class }) if self.is_affected_in(class) => ratio,
            _ => 0.0,
        }
    }

    fn endpoint_slow_ratio(&self) -> f64 {
        match self.endpoint.fault {
            Some(EndpointFault::Slow { ratio }) => ratio,
            _ => 0.0,
        }
    }

    fn build_error_ratio(&self, fault: Option<BuildFault>) -> f64 {
        match fault {
            Some(BuildFault::Errors { ratio, class }) if self.is_affected_in(class) => ratio,
            _ => 0.0,
        }
    }

    fn build_slow_ratio(&self, fault: Option<BuildFault>) -> f64 {
        match fault {
            Some(BuildFault::Slow { ratio, class }) if self.is_affected_in(class) => ratio,
            _ => 0.0,
        }
    }

    /// Whether a fault in this class affects the attempt; `None` stands for all classes.
    fn is_affected_in(&self, class: Option<ClassId>) -> bool {
        class.is_none_or(|class| class == self.class)
    }
}

/// Draws whether at least one of several independent causes acts.
fn draw_any_cause(cause_ratios: [f64; 3], rng: &mut WyRand) -> bool {
    let no_cause_probability: f64 = cause_ratios.iter().map(|ratio| 1.0 - ratio).product();
    rng.generate::<f64>() >= no_cause_probability
}
