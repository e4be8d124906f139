//! The schedule of a graceful shutdown. The grace period starts when the gateway handles its first signal. The deadline for responses
//! counts from the earliest time at which the signal may have been sent.

use harrierdock_types::{TimeDelta, Timestamp};

/// How long after the signal new requests may still arrive and idle connections stay open.
const GRACE_PERIOD: TimeDelta = TimeDelta::from_millis(700);
/// The longest request time that the platform waits for after the grace period before it kills the process.
const MAX_REQUEST_TIME: TimeDelta = TimeDelta::from_millis(3_000);
/// The longest time for which the process may not be scheduled.
const MAX_STALL: TimeDelta = TimeDelta::from_millis(150);
/// The time needed to write the last responses.
const WRITE_TIME: TimeDelta = TimeDelta::from_millis(50);

/// The times of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownSchedule {
    handled_at: Timestamp,
    earliest_signal_at: Timestamp,
    max_request_time: TimeDelta,
}

impl ShutdownSchedule {
    /// Creates the schedule for a signal sent and handled at `handled_at`. `longest_timeout` is the longest timeout of all request
    /// classes.
    pub fn new(handled_at: Timestamp, longest_timeout: TimeDelta) -> ShutdownSchedule {
        ShutdownSchedule {
            handled_at,
            earliest_signal_at: handled_at,
            max_request_time: longest_timeout.min(MAX_REQUEST_TIME),
        }
    }

    /// The schedule if the signal may have been sent as early as `earliest_signal_at`. Responses are due as if it was sent then, and
    /// connections stay open as if it was sent when it was handled.
    pub fn with_signal_since(self, earliest_signal_at: Timestamp) -> ShutdownSchedule {
        ShutdownSchedule {
            earliest_signal_at: earliest_signal_at.min(self.handled_at),
            ..self
        }
    }

    /// Until when new requests may arrive and idle connections stay open.
    pub fn grace_ends_at(&self) -> Timestamp {
        self.handled_at + GRACE_PERIOD
    }

    /// The earliest time at which the platform may kill the process.
    pub fn earliest_kill_at(&self) -> Timestamp {
        self.earliest_signal_at + GRACE_PERIOD + self.max_request_time
    }

    /// When the platform kills the process if the signal was handled as soon as it was sent. The shutdown does not wait any longer.
    pub fn ends_at(&self) -> Timestamp {
        self.handled_at + GRACE_PERIOD + self.max_request_time
    }

    /// When all responses must be ready. The margin before the earliest kill covers one stall between the signal and its handling, a
    /// second one before the responses are written, and the write.
    pub fn answers_due_at(&self) -> Timestamp {
        let margin = MAX_STALL + MAX_STALL + WRITE_TIME;
        self.earliest_kill_at() - margin.min(self.max_request_time)
    }

    /// The longest time that a request received now may take. After the grace period, the request must also finish one
    /// `connect_time` before the earliest kill.
    pub fn time_left(&self, now: Timestamp, connect_time: TimeDelta) -> TimeDelta {
        let mut deadline = self.answers_due_at();
        if now > self.grace_ends_at() {
            deadline = deadline.min(self.earliest_kill_at() - connect_time);
        }
        (deadline - now).max(TimeDelta::ZERO)
    }
}
