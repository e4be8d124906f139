//! Limits the share of traffic that goes to unreleased builds. Owns the requests and canary attempts of the exposure window.

use harrierdock_types::{BuildId, ClassId, ExposureCounting, Timestamp};

use crate::context::Context;
use crate::sliding_window::SlidingWindow;

/// An attempt at an endpoint with an unreleased build.
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
    /// Counts a request of any build towards the total that the exposure limit applies to.
    pub fn record_request(&mut self, now: Timestamp, class: ClassId) {
        self.received.push(now, class);
    }

    /// Number of requests in the window.
    pub fn received_count(&self) -> usize {
        self.received.len()
    }

    /// Counts an attempt towards the share of its build.
    pub fn record_attempt(&mut self, now: Timestamp, attempt: CanaryAttempt) {
        self.attempts.push(now, attempt);
    }

    /// Removes an attempt that was counted at `at`.
    pub fn withdraw_attempt(&mut self, at: Timestamp, attempt: CanaryAttempt) {
        self.attempts.remove(at, &attempt);
    }

    /// Whether one more attempt is within the limit. The window that ends now must admit it, and so must the windows that end
    /// one `clock_resolution` earlier and later, because the platform may count in either window.
    pub fn allows(&self, context: &Context, attempt: CanaryAttempt, exposure_limit: f64) -> bool {
        if exposure_limit <= 0.0 {
            return false;
        }
        let rollout = &context.parameters.rollout;
        let resolution = context.parameters.clock_resolution;
        let is_counted = |class: ClassId| {
            rollout.exposure_counting == ExposureCounting::Combined || class == attempt.class
        };
        let window_start = context.now - rollout.exposure_window;
        let sent = self
            .attempts
            .count_after(window_start - resolution - resolution, |other| {
                other.build == attempt.build && is_counted(other.class)
            });
        let received = self
            .received
            .count_after(window_start + resolution, |class| is_counted(*class));
        sent + 1.0 <= rollout.exposure_allowance + exposure_limit * received
    }

    /// Drops requests and attempts counted before `time`.
    pub fn drop_before(&mut self, time: Timestamp) {
        self.received.drop_before(time);
        self.attempts.drop_before(time);
    }
}
