//! How many attempts one endpoint may hold of this gateway's. Owns the attempts in flight, those abandoned, and the limit.

use harrierdock_types::{AttemptOutcome, TimeDelta, Timestamp};

use crate::context::LEARNING_RATE;

/// The limit of an endpoint that has not answered yet, in attempts.
const INITIAL_LIMIT: f64 = 3.0;
/// The least limit, in attempts.
const MIN_LIMIT: f64 = 1.0;
/// A mean answer time above this ratio to the latency objective means that the endpoint has a queue.
const QUEUEING_LATENCY_RATIO: f64 = 0.25;
/// What is kept of a limit when the endpoint rejects, times out or resets.
const DECREASE_RATIO: f64 = 0.8;
/// How close to the limit the attempts in flight must be for it to grow.
const GROWTH_MARGIN_ATTEMPTS: usize = 2;

/// The concurrency limit of one endpoint.
///
/// It shrinks as answers take longer, and grows while they are quick and the limit is nearly reached. It answers overload, slow
/// builds, noisy neighbours and frozen endpoints alike. An endpoint that is slow by nature, near the latency objective, gets less
/// than it could carry.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    in_flight: usize,
    abandoned: Vec<Timestamp>,
    limit: f64,
    latency_ratio: f64,
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
    /// The limit of an endpoint that has just started anew, and holds attempts from before.
    pub fn with_in_flight(in_flight: usize) -> ConcurrencyLimit {
        ConcurrencyLimit {
            in_flight,
            ..ConcurrencyLimit::default()
        }
    }

    /// Attempts that have started and not ended.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Whether one more attempt may start. Abandoned attempts count, as the endpoint may still work on them.
    pub fn has_capacity(&self) -> bool {
        ((self.in_flight + self.abandoned.len()) as f64) < self.limit
    }

    /// Notes that an attempt has started.
    pub fn attempt_started(&mut self) {
        self.in_flight += 1;
    }

    /// Notes that an attempt has ended. `started` is when it started, `latency_ratio` its duration over the latency objective.
    pub fn attempt_finished(
        &mut self,
        outcome: AttemptOutcome,
        started: Timestamp,
        latency_ratio: f64,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            // The endpoint may go on working. Its next answer to an attempt that started later shows that it has ended.
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => self.abandoned.push(started),
            AttemptOutcome::Succeeded => self.abandoned.retain(|abandoned| *abandoned > started),
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
        self.abandoned
            .retain(|started| now - *started < longest_timeout);
    }
}
