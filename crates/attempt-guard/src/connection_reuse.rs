//! Which idle connection may carry an attempt.

use harrierdock_types::{TimeDelta, Timestamp};

/// How long a connection rests after an answer, as a ratio of the connect timeout.
const REST_RATIO: f64 = 0.08;

/// What an idle connection may be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// Not used yet: a duplicate answer that is still on its way would be taken for the next request's. If it arrives while
    /// the connection rests, the connection is closed.
    CoolingDown,
    /// May carry the next attempt.
    Reusable,
    /// Not used again: the endpoint may be about to close it.
    Expired,
}

/// When an idle connection may be used again.
#[derive(Clone, Copy, Debug)]
pub struct ReusePolicy {
    rest: TimeDelta,
    max_idle: TimeDelta,
}

impl ReusePolicy {
    /// `connect_timeout` is how long a connection may take to come up, `idle_timeout` when an endpoint closes an unused one.
    pub fn new(connect_timeout: TimeDelta, idle_timeout: TimeDelta) -> ReusePolicy {
        ReusePolicy {
            rest: connect_timeout * REST_RATIO,
            max_idle: idle_timeout - connect_timeout,
        }
    }

    /// The state of a connection that has been idle since `idle_since`.
    pub fn state(&self, idle_since: Timestamp, now: Timestamp) -> IdleState {
        let idle = now - idle_since;
        if idle >= self.max_idle {
            IdleState::Expired
        } else if idle < self.rest {
            IdleState::CoolingDown
        } else {
            IdleState::Reusable
        }
    }
}
