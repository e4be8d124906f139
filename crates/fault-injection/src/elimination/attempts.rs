//! How an attempt at an endpoint ends.

use harrierdock_types::{Arm, AttemptOutcome, ClassId};
use nanorand::{Rng, WyRand};

use super::scenario::{BuildFault, EndpointFault, EndpointPlan};

/// Errors where neither the endpoint nor its build is at fault.
const USUAL_ERROR_RATIO: f64 = 0.001;
/// Slow answers where neither is.
const USUAL_SLOW_RATIO: f64 = 0.03;
/// Slow answers that are also later than the latency objective.
const LATE_RATIO_OF_SLOW: f64 = 0.4;

/// An attempt to be made.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The endpoint that it goes to.
    pub endpoint: EndpointPlan,
    /// The arm that the endpoint runs.
    pub arm: Arm,
    /// The class of the request.
    pub class: ClassId,
    /// When it is made, in seconds from the start of the rollout.
    pub at_seconds: f64,
}

/// How an attempt has ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// Its outcome.
    pub outcome: AttemptOutcome,
    /// Whether it was answered within the latency objective, and no error.
    pub in_time: bool,
    /// Whether it was answered about as fast as usual.
    pub fast: bool,
}

impl Attempt {
    /// Draws how the attempt ends. Faults of the endpoint and of the build are independent.
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
        let failed = happens(error_ratios, rng);
        let slow = happens(slow_ratios, rng);
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
            Some(EndpointFault::Errors { ratio, class }) if self.concerns(class) => ratio,
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
            Some(BuildFault::Errors { ratio, class }) if self.concerns(class) => ratio,
            _ => 0.0,
        }
    }

    fn build_slow_ratio(&self, fault: Option<BuildFault>) -> f64 {
        match fault {
            Some(BuildFault::Slow { ratio, class }) if self.concerns(class) => ratio,
            _ => 0.0,
        }
    }

    /// Whether a fault of one class or all shows on this attempt.
    fn concerns(&self, class: Option<ClassId>) -> bool {
        class.is_none_or(|class| class == self.class)
    }
}

/// Draws whether one of several independent causes acts.
fn happens(cause_ratios: [f64; 3], rng: &mut WyRand) -> bool {
    let none: f64 = cause_ratios.iter().map(|ratio| 1.0 - ratio).product();
    rng.generate::<f64>() >= none
}
