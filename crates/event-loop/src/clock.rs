//! A monotonic clock with Unix timestamps.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use harrierdock_types::{TimeDelta, Timestamp};

const MICROS_PER_MILLISECOND: i64 = 1000;

/// A monotonic clock that is set to Unix time once, at its start. Later steps of the system clock do not affect it, and the
/// same Unix time always converts to the same timestamp.
#[derive(Clone, Copy)]
pub struct Clock {
    source: fn() -> Instant,
    started: Instant,
    /// Unix time at the start. It must not be near zero, because the policy treats a time near zero as a recent failure.
    started_at: Timestamp,
}

impl Clock {
    /// Starts a clock on the system's monotonic clock.
    pub fn start() -> Clock {
        Clock::with_source(Instant::now)
    }

    /// Starts a clock on `source`. Tests use a source of their own to simulate a stall between two readings.
    pub fn with_source(source: fn() -> Instant) -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            source,
            started: source(),
            started_at: Timestamp(unix.as_micros() as i64),
        }
    }

    /// The current time since the Unix epoch.
    pub fn now(&self) -> Timestamp {
        self.at((self.source)())
    }

    /// The timestamp of an instant, which may lie before the clock's start.
    pub fn at(&self, instant: Instant) -> Timestamp {
        let after_start = instant.saturating_duration_since(self.started);
        let before_start = self.started.saturating_duration_since(instant);
        self.started_at + time_delta(after_start) - time_delta(before_start)
    }

    /// Converts Unix time in milliseconds to a timestamp.
    pub fn at_unix_ms(&self, unix_ms: i64) -> Timestamp {
        Timestamp(unix_ms.saturating_mul(MICROS_PER_MILLISECOND))
    }

    /// How long to wait from now until a deadline; zero if it has passed.
    pub fn duration_until(&self, deadline: Timestamp) -> Duration {
        Duration::from_micros((deadline - self.now()).0.max(0) as u64)
    }
}

fn time_delta(duration: Duration) -> TimeDelta {
    TimeDelta(duration.as_micros() as i64)
}
