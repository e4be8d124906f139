//! A token bucket that limits the octets sent to one collector.

use harrierdock_types::{TimeDelta, Timestamp};

/// Unused tokens accumulate for at most this time.
const MAX_ACCUMULATION: TimeDelta = TimeDelta::from_millis(2000);

/// A token bucket; each token is one octet.
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

    /// Adds the tokens for the time since the last refill. Returns the number of octets that may be sent now.
    pub(crate) fn refill(&mut self, now: Timestamp) -> usize {
        let rate = self.octets_per_second;
        let elapsed = (now - self.refilled_at).as_seconds();
        self.available_octets =
            (self.available_octets + rate * elapsed).min(rate * MAX_ACCUMULATION.as_seconds());
        self.refilled_at = now;
        self.available_octets as usize
    }

    /// Removes tokens for sent octets. The balance may become negative.
    pub(crate) fn consume(&mut self, octets: u64) {
        self.available_octets -= octets as f64;
    }
}
