//! The machine's clocks. Points come from the monotonic one; Unix time serves only to tell how long ago a
//! server started.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use harrierdock::time::{Point, Span};

#[derive(Clone, Copy)]
pub struct Clock {
    zero: Instant,
    /// The point at which Unix time began. It is kept from the start on, so that a start told twice is one point.
    unix_zero: Point,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { zero: Instant::now(), unix_zero: Point(0) - Span(unix.as_micros() as i64) }
    }

    pub fn now(&self) -> Point {
        Point(self.zero.elapsed().as_micros() as i64)
    }

    pub fn at_unix_ms(&self, ms: i64) -> Point {
        self.unix_zero + Span(ms.saturating_mul(1000))
    }

    /// How long to wait from now to a point.
    pub fn until(&self, at: Point) -> Duration {
        Duration::from_micros((at - self.now()).0.max(0) as u64)
    }
}
