//! Decides which idle connections may carry an attempt.

use harrierdock_types::{TimeDelta, Timestamp};

/// How long a connection stays unused after a response, as a ratio to the connect timeout.
const COOLDOWN_RATIO: f64 = 0.08;

/// Whether an idle connection may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// Too early to use: a duplicate response still in transit would be taken for the response to the next request. A response that
    /// arrives in this state closes the connection.
    CoolingDown,
    /// May carry the next attempt.
    Reusable,
    /// Too old to use: the endpoint may be about to close the connection.
    Expired,
}

/// The limits of the idle time within which a connection may be reused.
#[derive(Clone, Copy, Debug)]
pub struct ReusePolicy {
    cooldown: TimeDelta,
    max_idle: TimeDelta,
}

impl ReusePolicy {
    /// `connect_timeout` limits how long a connection may take to open. Endpoints close a connection after it was idle for
    /// `idle_timeout`.
    pub fn new(connect_timeout: TimeDelta, idle_timeout: TimeDelta) -> ReusePolicy {
        ReusePolicy {
            cooldown: connect_timeout * COOLDOWN_RATIO,
            max_idle: idle_timeout - connect_timeout,
        }
    }

    /// The state of a connection that has been idle since `idle_since`.
    pub fn state(&self, idle_since: Timestamp, now: Timestamp) -> IdleState {
        let idle = now - idle_since;
        if idle >= self.max_idle {
            IdleState::Expired
        } else if idle < self.cooldown {
            IdleState::CoolingDown
        } else {
            IdleState::Reusable
        }
    }
}
