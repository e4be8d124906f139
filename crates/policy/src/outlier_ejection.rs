//! Temporarily avoids endpoints that fail, reject, or don't respond. Owns each endpoint's health.

use harrierdock_types::{AttemptOutcome, TimeDelta, Timestamp};

use crate::context::LEARNING_RATE;

/// An endpoint with a success rate below this is ejected.
pub const FAILING_SUCCESS_RATIO: f64 = 0.6;
/// A success rate above this resets the count of consecutive ejections.
const RECOVERED_SUCCESS_RATIO: f64 = 1.0 - LEARNING_RATE;
/// The ejection duration doubles at most this many times.
const MAX_DOUBLINGS: i32 = 3;
/// The backoff of an endpoint after a rejection, as a ratio to the class's latency objective.
const REJECTION_BACKOFF_RATIO: f64 = 0.5;
/// How long an endpoint counts as unreachable after a failed connection, as a ratio to the first ejection.
const UNREACHABLE_RATIO: f64 = 1.5;
/// An endpoint that has not responded for this many mean latencies, with attempts in flight, is unresponsive.
pub(crate) const UNRESPONSIVE_RATIO: f64 = 4.0;

/// The duration of the next ejection: twice the duration of the previous ejection, up to a bound. `first` is the duration of the
/// first ejection.
pub fn ejection_length(first: TimeDelta, consecutive_ejections: i32) -> TimeDelta {
    first * f64::powi(2.0, consecutive_ejections.min(MAX_DOUBLINGS))
}

/// The health of one endpoint, from the outcomes at this gateway and its gossip group.
#[derive(Debug)]
pub struct EndpointHealth {
    /// Since when this gateway has attempts in flight without any response; `None` if it has none.
    unanswered_since: Option<Timestamp>,
    backoff_until: Timestamp,
    unreachable_until: Timestamp,
    /// Succeeded attempts as a ratio (0 to 1) to all attempts, as a running mean.
    success_ratio: f64,
    consecutive_ejections: i32,
    ejected_until: Timestamp,
}

impl Default for EndpointHealth {
    fn default() -> Self {
        EndpointHealth {
            unanswered_since: None,
            backoff_until: Timestamp::default(),
            unreachable_until: Timestamp::default(),
            success_ratio: 1.0,
            consecutive_ejections: 0,
            ejected_until: Timestamp::default(),
        }
    }
}

impl EndpointHealth {
    /// Whether the endpoint is ejected as an outlier.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Whether the endpoint receives no attempts because it recently rejected one or failed to accept a connection.
    pub fn is_backing_off(&self, now: Timestamp) -> bool {
        now < self.backoff_until
    }

    /// Whether a connection to the endpoint failed recently, at this gateway or in its group.
    pub fn is_unreachable(&self, now: Timestamp) -> bool {
        now < self.unreachable_until
    }

    /// Whether the endpoint has attempts in flight and has not responded for several times `mean_latency`.
    pub fn is_unresponsive(&self, now: Timestamp, mean_latency: TimeDelta) -> bool {
        self.unanswered_since
            .is_some_and(|since| now - since >= mean_latency * UNRESPONSIVE_RATIO)
    }

    /// Since when attempts wait for a response: the last response, or the first attempt started after it. `None` if none waits.
    pub fn unanswered_since(&self) -> Option<Timestamp> {
        self.unanswered_since
    }

    /// Records that this gateway has started an attempt.
    pub fn record_attempt_start(&mut self, now: Timestamp) {
        self.unanswered_since = self.unanswered_since.or(Some(now));
    }

    /// Records the end of an attempt by this gateway, with `in_flight` attempts remaining. `latency_objective` is the
    /// latency objective of the request's class; `first_ejection` is the backoff after a failed connection.
    pub fn record_attempt_end(
        &mut self,
        now: Timestamp,
        outcome: AttemptOutcome,
        in_flight: usize,
        latency_objective: TimeDelta,
        first_ejection: TimeDelta,
    ) {
        let is_unanswered = matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectFailed | AttemptOutcome::Cancelled
        );
        if !is_unanswered {
            self.unanswered_since = (in_flight > 0).then_some(now);
        } else if in_flight == 0 {
            self.unanswered_since = None;
        }
        match outcome {
            AttemptOutcome::Rejected => {
                self.backoff_until = now + latency_objective * REJECTION_BACKOFF_RATIO;
            }
            AttemptOutcome::ConnectFailed => {
                self.success_ratio = 0.0;
                self.backoff_until = now + first_ejection;
            }
            _ => {}
        }
    }

    /// Records an outcome at this gateway or a member of its group, and ejects the endpoint if its success rate is too low.
    pub fn record_outcome(
        &mut self,
        now: Timestamp,
        outcome: AttemptOutcome,
        first_ejection: TimeDelta,
    ) {
        let succeeded = match outcome {
            AttemptOutcome::Succeeded => true,
            AttemptOutcome::ServerError
            | AttemptOutcome::TimedOut
            | AttemptOutcome::Reset
            | AttemptOutcome::ConnectFailed => false,
            AttemptOutcome::Rejected | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {
                return;
            }
        };
        self.success_ratio += 2.0 * LEARNING_RATE * (f64::from(succeeded) - self.success_ratio);
        if self.success_ratio < FAILING_SUCCESS_RATIO {
            self.ejected_until = now + ejection_length(first_ejection, self.consecutive_ejections);
            self.consecutive_ejections += 1;
            // After its ejection, the endpoint must fail a few more times before it is ejected again.
            self.success_ratio = (1.0 + FAILING_SUCCESS_RATIO) / 2.0;
        } else if succeeded && self.success_ratio > RECOVERED_SUCCESS_RATIO {
            self.consecutive_ejections = 0;
        }
        if outcome == AttemptOutcome::ConnectFailed {
            self.unreachable_until = now + first_ejection * UNREACHABLE_RATIO;
        }
    }

    /// Ejects the endpoint until the time that the group's aggregator reported. Never shortens an ejection.
    pub fn eject_until(&mut self, until: Timestamp) {
        self.ejected_until = self.ejected_until.max(until);
    }
}
