//! Limits this gateway's concurrent attempts at one endpoint. Owns the limit and the counts of attempts in flight and abandoned.

use harrierdock_types::{AttemptOutcome, TimeDelta, Timestamp};

use crate::context::LEARNING_RATE;

/// The limit of an endpoint without responses yet, in attempts.
const INITIAL_LIMIT: f64 = 3.0;
/// The smallest limit, in attempts.
const MIN_LIMIT: f64 = 1.0;
/// A mean latency above this ratio to the latency objective indicates a queue at the endpoint.
const QUEUEING_LATENCY_RATIO: f64 = 0.25;
/// The limit is multiplied by this when the endpoint rejects, times out or resets.
const DECREASE_RATIO: f64 = 0.8;
/// The limit grows only while the attempts in flight are within this distance of it.
const GROWTH_MARGIN_ATTEMPTS: usize = 2;

/// The concurrency limit of one endpoint.
///
/// The limit shrinks as latency rises, and grows while latency is low and the limit is nearly reached. This handles overload, slow
/// builds, noisy neighbours and frozen endpoints in the same way. An endpoint whose unloaded latency is near the latency objective
/// gets fewer attempts than it could handle.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    in_flight: usize,
    /// The start times of abandoned attempts.
    abandoned: Vec<AbandonedAttempt>,
    /// The most attempts that may be in flight; fractions accumulate as the limit grows.
    limit: f64,
    /// The running mean latency, as a ratio to the latency objective.
    latency_ratio: f64,
}

/// An attempt that ended without an answer.
#[derive(Clone, Copy, Debug)]
struct AbandonedAttempt {
    started: Timestamp,
    /// When the endpoint has finished it at the latest; `None` if that is only known by the longest timeout.
    finished_by: Option<Timestamp>,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        ConcurrencyLimit {
            in_flight: 0,
            abandoned: Vec::new(),
            limit: INITIAL_LIMIT,
            latency_ratio: 0.0,
        }
    }
}

impl ConcurrencyLimit {
    /// The initial limit of a restarted endpoint with `in_flight` attempts from before the restart.
    pub fn with_in_flight(in_flight: usize) -> ConcurrencyLimit {
        ConcurrencyLimit {
            in_flight,
            ..ConcurrencyLimit::default()
        }
    }

    /// The number of attempts that have started and not finished.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Whether one more attempt may start. Abandoned attempts count, as the endpoint may still work on them.
    pub fn has_capacity(&self) -> bool {
        ((self.in_flight + self.abandoned.len()) as f64) < self.limit
    }

    /// Records that an attempt has started.
    pub fn record_attempt_start(&mut self) {
        self.in_flight += 1;
    }

    /// Records the end of an attempt that began at `started`. `latency_ratio` is its duration as a ratio to the latency objective.
    pub fn record_attempt_end(
        &mut self,
        outcome: AttemptOutcome,
        started: Timestamp,
        latency_ratio: f64,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            // The endpoint may still work on the attempt. A success of an attempt that started later shows that it no longer does.
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => {
                self.abandoned.push(AbandonedAttempt {
                    started,
                    finished_by: None,
                });
            }
            AttemptOutcome::Succeeded => {
                self.abandoned
                    .retain(|abandoned| abandoned.started > started);
            }
            _ => {}
        }
        match outcome {
            AttemptOutcome::Succeeded => self.adapt_to_latency(latency_ratio),
            AttemptOutcome::TimedOut | AttemptOutcome::Rejected | AttemptOutcome::Reset => {
                self.limit *= DECREASE_RATIO;
            }
            _ => {}
        }
        self.limit = self.limit.max(MIN_LIMIT);
    }

    /// Records that an attempt ended unanswered because its client waits for too short a time. That is no evidence about the
    /// endpoint, which may work on the attempt until `finished_by`.
    pub fn record_early_end(&mut self, started: Timestamp, finished_by: Timestamp) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.abandoned.push(AbandonedAttempt {
            started,
            finished_by: Some(finished_by),
        });
    }

    fn adapt_to_latency(&mut self, latency_ratio: f64) {
        self.latency_ratio += 2.0 * LEARNING_RATE * (latency_ratio - self.latency_ratio);
        if self.latency_ratio > QUEUEING_LATENCY_RATIO {
            let excess = (self.latency_ratio / QUEUEING_LATENCY_RATIO - 1.0).min(1.0);
            self.limit *= 1.0 - LEARNING_RATE * excess;
        } else if (self.in_flight + GROWTH_MARGIN_ATTEMPTS) as f64 > self.limit {
            self.limit += 1.0 / self.limit;
        }
    }

    /// Forgets abandoned attempts that started at least `longest_timeout` ago.
    pub fn forget_abandoned(&mut self, now: Timestamp, longest_timeout: TimeDelta) {
        self.abandoned.retain(|abandoned| {
            now - abandoned.started < longest_timeout
                && abandoned.finished_by.is_none_or(|at| now < at)
        });
    }
}
