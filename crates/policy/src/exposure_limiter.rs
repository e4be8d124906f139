//! How much of the traffic goes to builds that are not released. Owns the requests and canary attempts of the exposure window.

use harrierdock_types::{BuildId, ClassId, ExposureCounting, Timestamp};

use crate::context::Context;
use crate::sliding_window::SlidingWindow;

/// An attempt at a build that is not released.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CanaryAttempt {
    /// The class of the request.
    pub class: ClassId,
    /// The build of the endpoint.
    pub build: BuildId,
}

/// Keeps each build's share of attempts within its exposure limit.
#[derive(Debug, Default)]
pub struct ExposureLimiter {
    received: SlidingWindow<ClassId>,
    attempts: SlidingWindow<CanaryAttempt>,
}

impl ExposureLimiter {
    /// Counts a request.
    pub fn record_request(&mut self, now: Timestamp, class: ClassId) {
        self.received.push(now, class);
    }

    /// How many requests the window holds.
    pub fn received_count(&self) -> usize {
        self.received.len()
    }

    /// Counts an attempt.
    pub fn record_attempt(&mut self, now: Timestamp, attempt: CanaryAttempt) {
        self.attempts.push(now, attempt);
    }

    /// Takes back an attempt that was counted at this time.
    pub fn withdraw_attempt(&mut self, at: Timestamp, attempt: CanaryAttempt) {
        self.attempts.remove(at, &attempt);
    }

    /// Whether one more attempt fits. It must fit the window that ends now, and those that end a tick of the platform's clock
    /// before or after.
    pub fn allows(&self, context: &Context, attempt: CanaryAttempt, exposure_limit: f64) -> bool {
        if exposure_limit <= 0.0 {
            return false;
        }
        let rollout = &context.parameters.rollout;
        let tick = context.parameters.tick;
        let counts = |class: ClassId| {
            rollout.exposure_counting == ExposureCounting::Combined || class == attempt.class
        };
        let edge = context.now - rollout.exposure_window;
        let sent = self.attempts.count_after(edge - tick - tick, |other| {
            other.build == attempt.build && counts(other.class)
        });
        let received = self
            .received
            .count_after(edge + tick, |class| counts(*class));
        sent + 1.0 <= rollout.exposure_allowance + exposure_limit * received
    }

    /// Forgets what was counted before this time.
    pub fn drop_before(&mut self, edge: Timestamp) {
        self.received.drop_before(edge);
        self.attempts.drop_before(edge);
    }
}
