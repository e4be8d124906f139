//! A token bucket that limits the octets sent to one collector.

use harrierdock_types::{TimeDelta, Timestamp};

/// Unused tokens are kept for this long.
const BURST: TimeDelta = TimeDelta::from_millis(2000);

/// Tokens of one octet each, added at a steady rate.
pub(crate) struct RateLimit {
    octets_per_second: f64,
    available_octets: f64,
    refilled_at: Timestamp,
}

impl RateLimit {
    pub(crate) fn new(now: Timestamp, octets_per_second: u32) -> RateLimit {
        RateLimit {
            octets_per_second: f64::from(octets_per_second),
            available_octets: 0.0,
            refilled_at: now,
        }
    }

    /// Adds the tokens of the time since the last refill, and returns how many octets may be sent now.
    pub(crate) fn refill(&mut self, now: Timestamp) -> usize {
        let rate = self.octets_per_second;
        let elapsed = (now - self.refilled_at).as_seconds();
        self.available_octets =
            (self.available_octets + rate * elapsed).min(rate * BURST.as_seconds());
        self.refilled_at = now;
        self.available_octets as usize
    }

    /// Takes the tokens of what was sent. More than are available leaves a debt.
    pub(crate) fn consume(&mut self, octets: u64) {
        self.available_octets -= octets as f64;
    }
}
