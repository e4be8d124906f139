//! Exponential backoff with jitter.

use harrierdock_types::{DiscoveryMode, Parameters, TimeDelta};
use nanorand::{Rng, WyRand};

use crate::list_freshness::CACHED_LIST_LIFETIME;

/// The longest backoff of discovery polls, in multiples of the maximum poll interval.
const MAX_DISCOVERY_BACKOFF_INTERVALS: f64 = 4.0;

/// The waits between failed calls to a service. Each wait is drawn between half of an upper bound and the bound itself, which
/// doubles from the minimum to the maximum. The jitter keeps gateways whose calls failed together from retrying together.
pub struct Backoff {
    min: TimeDelta,
    max: TimeDelta,
    /// The upper bound of the last wait.
    bound: TimeDelta,
    rng: WyRand,
}

impl Backoff {
    /// Creates a backoff with waits between `min` and `max`. A `max` below `min` is raised to `min`.
    pub fn new(min: TimeDelta, max: TimeDelta, seed: u64) -> Backoff {
        Backoff {
            min,
            max: max.max(min),
            bound: TimeDelta::ZERO,
            rng: WyRand::new_seed(seed),
        }
    }

    /// Creates the backoff between polls of discovery. `None` in push mode: an agent dedicated to this gateway pushes the lists, and
    /// responds at once without load on other gateways.
    pub fn for_discovery(parameters: &Parameters, min: TimeDelta, seed: u64) -> Option<Backoff> {
        match parameters.discovery_mode {
            DiscoveryMode::Push => None,
            DiscoveryMode::Poll => {
                let max = parameters.safety.max_poll_interval * MAX_DISCOVERY_BACKOFF_INTERVALS;
                Some(Backoff::new(min, max, seed))
            }
        }
    }

    /// Records a call that failed after `call_duration`, and returns the wait until the next call.
    ///
    /// A service that rejects calls late has a queue. The wait is about as long as the call or longer, so that the service does not
    /// spend its time on abandoned calls.
    pub fn next_wait(&mut self, call_duration: TimeDelta) -> TimeDelta {
        let doubled = self.bound * 2.0;
        let queueing_bound = call_duration * 2.0;
        self.bound = doubled.max(queueing_bound).max(self.min).min(self.max);
        let jitter = 0.5 + self.rng.generate::<f64>() / 2.0;
        (self.bound * jitter).max(self.min)
    }

    /// Draws the wait before a call that is not urgent because a usable list is available. The wait spreads the calls of gateways
    /// that start, or see a service recover, at the same time.
    pub fn draw_spread_wait(&mut self) -> TimeDelta {
        CACHED_LIST_LIFETIME * self.rng.generate::<f64>()
    }

    /// Records a successful call: the next failed call starts at the minimum again.
    pub fn reset(&mut self) {
        self.bound = TimeDelta::ZERO;
    }
}
