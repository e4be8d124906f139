//! The times of a graceful shutdown, counted from the moment at which the gateway handled its first signal; those of answers from
//! the earliest moment at which that may have been sent.

use harrierdock_types::{TimeDelta, Timestamp};

/// How long after the signal new requests may still arrive, and connections are kept between requests.
const GRACE: TimeDelta = TimeDelta::from_millis(700);
/// The longest request timeout that the platform waits for before it kills the process.
const MAX_REQUEST_TIME: TimeDelta = TimeDelta::from_millis(3_000);
/// How long the process may be kept from running at any moment.
const MAX_STALL: TimeDelta = TimeDelta::from_millis(150);
/// How long it takes to write the last answers.
const WRITE_TIME: TimeDelta = TimeDelta::from_millis(50);

/// When a gateway that shuts down does what, until the platform kills it at the earliest.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownSchedule {
    handled_at: Timestamp,
    earliest_signal_at: Timestamp,
    max_request_time: TimeDelta,
}

impl ShutdownSchedule {
    /// The schedule of a shutdown that starts now, where requests may take as long as the longest of their classes.
    pub fn new(handled_at: Timestamp, longest_timeout: TimeDelta) -> ShutdownSchedule {
        ShutdownSchedule {
            handled_at,
            earliest_signal_at: handled_at,
            max_request_time: longest_timeout.min(MAX_REQUEST_TIME),
        }
    }

    /// The schedule where the signal may have been sent at any time since then. Answers are due as if it had been, and
    /// connections are kept as if it had just been.
    pub fn with_signal_since(self, earliest_signal_at: Timestamp) -> ShutdownSchedule {
        ShutdownSchedule {
            earliest_signal_at: earliest_signal_at.min(self.handled_at),
            ..self
        }
    }

    /// Until when new requests are expected and connections stay open between requests.
    pub fn grace_ends_at(&self) -> Timestamp {
        self.handled_at + GRACE
    }

    /// When the process may be killed at the earliest.
    pub fn earliest_kill_at(&self) -> Timestamp {
        self.earliest_signal_at + GRACE + self.max_request_time
    }

    /// When the process is killed if the signal was handled as soon as it was sent. There is nothing to wait for after that.
    pub fn ends_at(&self) -> Timestamp {
        self.handled_at + GRACE + self.max_request_time
    }

    /// When every request must have its answer. Before the earliest kill there is time for one stall between the signal and
    /// its handling, and for another one before the answers are written.
    pub fn answers_due_at(&self) -> Timestamp {
        let margin = MAX_STALL + MAX_STALL + WRITE_TIME;
        self.earliest_kill_at() - margin.min(self.max_request_time)
    }

    /// How long a request that is received now may take at the most. After the grace period it has to leave the time of one
    /// connection set-up before the earliest kill, too.
    pub fn time_left(&self, now: Timestamp, connect_time: TimeDelta) -> TimeDelta {
        let mut deadline = self.answers_due_at();
        if now > self.grace_ends_at() {
            deadline = deadline.min(self.earliest_kill_at() - connect_time);
        }
        (deadline - now).max(TimeDelta::ZERO)
    }
}
