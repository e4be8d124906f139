//! The machine's clocks. Points come from the monotonic one, set by Unix time once, at the start; so Unix time
//! serves only to tell how long ago a server started, and a start told twice is one point.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use harrierdock_types::time::{Point, Span};

#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    /// Guards against a clock that begins at nought: to the module that would be long ago, and a gateway that
    /// was just started would take itself for one that has just seen trouble.
    started: Point,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), started: Point(unix.as_micros() as i64) }
    }

    pub fn now(&self) -> Point {
        self.started + Span(self.start.elapsed().as_micros() as i64)
    }

    pub fn at_unix_ms(&self, ms: i64) -> Point {
        Point(ms.saturating_mul(1000))
    }

    /// How long to wait from now to a point.
    pub fn until(&self, at: Point) -> Duration {
        Duration::from_micros((at - self.now()).0.max(0) as u64)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_began_before_the_gateway_lies_after_the_beginning_of_time() {
        let clock = Clock::start();
        assert!(clock.now() - Span::secs(3600.0) > Point::default());
        // A start told twice is one point, whenever it is told.
        let at = clock.at_unix_ms(1_700_000_000_000);
        let ages = [clock.now(), clock.now() + Span::secs(1.0)].map(|now| (now, now - at));
        assert!(ages.iter().all(|(now, age)| *now - *age == at));
    }
}
