//! Which endpoints are left out of selection for a while, because they fail, reject or don't answer. Owns each endpoint's health.

use harrierdock_types::{AttemptOutcome, TimeDelta, Timestamp};

use crate::context::LEARNING_RATE;

/// An endpoint with a success rate below this is ejected.
pub const FAILING_SUCCESS_RATIO: f64 = 0.6;
/// A success rate above this ends a series of ejections.
const RECOVERED_SUCCESS_RATIO: f64 = 1.0 - LEARNING_RATE;
/// Ejections double in length up to this number of times.
const MAX_DOUBLINGS: i32 = 3;
/// How long an endpoint that rejects gets nothing, as a ratio to the class's latency objective.
const REJECTED_REST_RATIO: f64 = 0.5;
/// How long an endpoint that took no connection counts as unreachable, as a ratio to the first ejection.
const UNREACHABLE_RATIO: f64 = 1.5;
/// An endpoint that owes an answer for this many mean answer times is unresponsive.
const UNRESPONSIVE_RATIO: f64 = 4.0;

/// How long a series of ejections lasts next: twice as long each time, up to a bound.
pub fn ejection_length(first: TimeDelta, consecutive_ejections: i32) -> TimeDelta {
    first * f64::powi(2.0, consecutive_ejections.min(MAX_DOUBLINGS))
}

/// The health of one endpoint, as this gateway and its gossip group see it.
#[derive(Debug)]
pub struct EndpointHealth {
    unanswered_since: Option<Timestamp>,
    resting_until: Timestamp,
    unreachable_until: Timestamp,
    success_rate: f64,
    consecutive_ejections: i32,
    ejected_until: Timestamp,
}

impl Default for EndpointHealth {
    fn default() -> Self {
        EndpointHealth {
            unanswered_since: None,
            resting_until: Timestamp::default(),
            unreachable_until: Timestamp::default(),
            success_rate: 1.0,
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

    /// Whether the endpoint gets nothing because it was full or took no connection.
    pub fn is_resting(&self, now: Timestamp) -> bool {
        now < self.resting_until
    }

    /// Whether the endpoint has lately taken no connection.
    pub fn is_unreachable(&self, now: Timestamp) -> bool {
        now < self.unreachable_until
    }

    /// Whether the endpoint owes an answer for far longer than the mean.
    pub fn is_unresponsive(&self, now: Timestamp, mean_latency: TimeDelta) -> bool {
        self.unanswered_since
            .is_some_and(|since| now - since >= mean_latency * UNRESPONSIVE_RATIO)
    }

    /// The start of the first attempt since the endpoint last answered, or that answer if it owes another.
    pub fn unanswered_since(&self) -> Option<Timestamp> {
        self.unanswered_since
    }

    /// Notes that an attempt has started.
    pub fn attempt_started(&mut self, now: Timestamp) {
        self.unanswered_since = self.unanswered_since.or(Some(now));
    }

    /// Notes that an attempt of this gateway's has ended, with `in_flight` others left. `latency_objective` is the class's,
    /// `first_ejection` how long an endpoint that takes no connection rests.
    pub fn attempt_finished(
        &mut self,
        now: Timestamp,
        outcome: AttemptOutcome,
        in_flight: usize,
        latency_objective: TimeDelta,
        first_ejection: TimeDelta,
    ) {
        let is_silent = matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectFailed | AttemptOutcome::Cancelled
        );
        if !is_silent {
            self.unanswered_since = (in_flight > 0).then_some(now);
        } else if in_flight == 0 {
            self.unanswered_since = None;
        }
        match outcome {
            AttemptOutcome::Rejected => {
                self.resting_until = now + latency_objective * REJECTED_REST_RATIO;
            }
            AttemptOutcome::ConnectFailed => {
                self.success_rate = 0.0;
                self.resting_until = now + first_ejection;
            }
            _ => {}
        }
    }

    /// Notes an outcome of this gateway's or of one of its group, and ejects the endpoint if too many have failed.
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
        self.success_rate += 2.0 * LEARNING_RATE * (f64::from(succeeded) - self.success_rate);
        if self.success_rate < FAILING_SUCCESS_RATIO {
            self.ejected_until = now + ejection_length(first_ejection, self.consecutive_ejections);
            self.consecutive_ejections += 1;
            // Back from its ejection, an endpoint fails a few times before it is ejected again.
            self.success_rate = (1.0 + FAILING_SUCCESS_RATIO) / 2.0;
        } else if succeeded && self.success_rate > RECOVERED_SUCCESS_RATIO {
            self.consecutive_ejections = 0;
        }
        if outcome == AttemptOutcome::ConnectFailed {
            self.unreachable_until = now + first_ejection * UNREACHABLE_RATIO;
        }
    }

    /// Ejects the endpoint until then, as the group's aggregator has.
    pub fn eject_until(&mut self, until: Timestamp) {
        self.ejected_until = self.ejected_until.max(until);
    }
}
