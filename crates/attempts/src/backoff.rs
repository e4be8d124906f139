//! How long to wait before something that failed is tried again.

use harrierdock::time::Span;
use nanorand::{Rng, WyRand};

/// Waits that double from the least to the most, each drawn between its half and its whole. Guards a service that all
/// gateways ask at once, and that turns away what is more than it can answer, against being asked by all in step.
pub struct Backoff {
    least: Span,
    most: Span,
    failures: i32,
    chance: WyRand,
}

impl Backoff {
    pub fn new(least: Span, most: Span, seed: u64) -> Backoff {
        Backoff { least, most, failures: 0, chance: WyRand::new_seed(seed) }
    }

    /// It failed. Gives back how long to wait.
    pub fn failed(&mut self) -> Span {
        let whole = (self.least * f64::powi(2.0, self.failures)).min(self.most);
        self.failures += i32::from(whole < self.most);
        (whole * (0.5 + self.chance.generate::<f64>() / 2.0)).max(self.least)
    }

    /// It worked: the next failure is a first one again.
    pub fn worked(&mut self) {
        self.failures = 0;
    }
}
