//! A rollout platform that limits the rate of vote calls.

use std::collections::BTreeMap;

use harrierdock_types::{PeerId, TimeDelta, Timestamp};

/// Number of calls accepted at once after an idle time, in seconds of the call rate.
const BURST_SECONDS: f64 = 2.0;

/// Accepts votes by a token bucket. An accepted vote counts for `vote_ttl`.
#[derive(Default)]
pub struct Platform {
    calls_per_second: f64,
    vote_ttl: TimeDelta,
    tokens: f64,
    refilled_at: Timestamp,
    /// When the vote of each gateway expires.
    vote_expiry: BTreeMap<PeerId, Timestamp>,
    pub accepted_calls: usize,
    pub refused_calls: usize,
    /// Largest number of votes that counted at once.
    pub max_counted_votes: usize,
    pub first_call_at: Option<Timestamp>,
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

    /// Handles a gateway's vote call, and returns whether it is accepted.
    pub fn vote(&mut self, now: Timestamp, from: PeerId) -> bool {
        self.first_call_at.get_or_insert(now);
        let burst = BURST_SECONDS * self.calls_per_second;
        let refill = (now - self.refilled_at).as_seconds() * self.calls_per_second;
        self.tokens = (self.tokens + refill).min(burst);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            self.refused_calls += 1;
            return false;
        }
        self.tokens -= 1.0;
        self.accepted_calls += 1;
        self.vote_expiry.insert(from, now + self.vote_ttl);
        self.vote_expiry.retain(|_, expires_at| *expires_at > now);
        self.max_counted_votes = self.max_counted_votes.max(self.vote_expiry.len());
        true
    }
}
