//! Exponential backoff with jitter.

use harrierdock_types::{DiscoveryMode, Parameters, TimeDelta};
use nanorand::{Rng, WyRand};

use crate::list_freshness::CACHED_LIST_LIFETIME;

/// Where lists are polled, calls that failed may be this many poll intervals apart at the most.
const MAX_DISCOVERY_BACKOFF_INTERVALS: f64 = 4.0;

/// Waits between calls to a service that refuses them. Each is drawn from the upper half of a bound that doubles from the
/// minimum to the maximum, so that gateways that failed together do not come back together.
pub struct Backoff {
    min: TimeDelta,
    max: TimeDelta,
    /// The upper bound of the last wait.
    bound: TimeDelta,
    rng: WyRand,
}

impl Backoff {
    /// Waits between `min` and `max`. A `max` below `min` counts as `min`.
    pub fn new(min: TimeDelta, max: TimeDelta, seed: u64) -> Backoff {
        Backoff {
            min,
            max: max.max(min),
            bound: TimeDelta::ZERO,
            rng: WyRand::new_seed(seed),
        }
    }

    /// The waits between polls of discovery. `None` where lists are pushed: they come from an agent of this gateway's own, which
    /// answers at once and at no cost to others.
    pub fn for_discovery(parameters: &Parameters, min: TimeDelta, seed: u64) -> Option<Backoff> {
        match parameters.discovery_mode {
            DiscoveryMode::Push => None,
            DiscoveryMode::Poll => {
                let max = parameters.safety.max_poll_interval * MAX_DISCOVERY_BACKOFF_INTERVALS;
                Some(Backoff::new(min, max, seed))
            }
        }
    }

    /// Notes that a call has failed after this long, and returns how long to wait from now on.
    ///
    /// A service that refuses late has a queue. The wait is at least about as long as the call took, so that the service is
    /// not kept busy with calls that nobody waits for any more.
    pub fn next_wait(&mut self, call_duration: TimeDelta) -> TimeDelta {
        let doubled = self.bound * 2.0;
        let queued = call_duration * 2.0;
        self.bound = doubled.max(queued).max(self.min).min(self.max);
        let jitter = 0.5 + self.rng.generate::<f64>() / 2.0;
        (self.bound * jitter).max(self.min)
    }

    /// A wait for a call that is not urgent, as a list is held that may still be acted on. Spreads the calls of gateways that
    /// start, or see a service return, at the same moment.
    pub fn draw_spread_wait(&mut self) -> TimeDelta {
        CACHED_LIST_LIFETIME * self.rng.generate::<f64>()
    }

    /// Notes that a call has succeeded: the next failure counts as the first.
    pub fn reset(&mut self) {
        self.bound = TimeDelta::ZERO;
    }
}
