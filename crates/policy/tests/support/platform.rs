//! A rollout platform that takes so many votes a second.

use std::collections::BTreeMap;

use harrierdock_types::{PeerId, TimeDelta, Timestamp};

/// What a rested platform takes at once, in seconds of its rate.
const BURST_SECONDS: f64 = 2.0;

/// Counts votes. A vote stands for its lifetime.
#[derive(Default)]
pub struct Platform {
    calls_per_second: f64,
    vote_ttl: TimeDelta,
    tokens: f64,
    refilled: Timestamp,
    standing: BTreeMap<PeerId, Timestamp>,
    pub accepted: usize,
    pub refused: usize,
    pub most_standing: usize,
    pub first_call: Option<Timestamp>,
}

impl Platform {
    pub fn new(calls_per_second: f64, vote_ttl: TimeDelta) -> Platform {
        Platform {
            calls_per_second,
            vote_ttl,
            tokens: BURST_SECONDS * calls_per_second,
            ..Platform::default()
        }
    }

    /// Whether the vote of a gateway is counted.
    pub fn vote(&mut self, now: Timestamp, from: PeerId) -> bool {
        self.first_call.get_or_insert(now);
        let burst = BURST_SECONDS * self.calls_per_second;
        let refill = (now - self.refilled).as_seconds() * self.calls_per_second;
        self.tokens = (self.tokens + refill).min(burst);
        self.refilled = now;
        if self.tokens < 1.0 {
            self.refused += 1;
            return false;
        }
        self.tokens -= 1.0;
        self.accepted += 1;
        self.standing.insert(from, now + self.vote_ttl);
        self.standing.retain(|_, until| *until > now);
        self.most_standing = self.most_standing.max(self.standing.len());
        true
    }
}
