//! How long to wait before something that failed is tried again.

use harrierdock_types::interface::{Discovery, Terms};
use harrierdock_types::time::Span;
use nanorand::{Rng, WyRand};

use crate::freshness::KEPT;

/// Where lists are asked for: so many told times to ask may pass after calls that failed.
const AFTER_FAILURES: f64 = 4.0;

/// Waits that double from the least to the most, each drawn between its half and its whole. Guards a service that all
/// gateways ask at once, and that turns away what is more than it can answer, against being asked by all in step.
pub struct Backoff {
    least: Span,
    most: Span,
    whole: Span,
    chance: WyRand,
}

impl Backoff {
    pub fn new(least: Span, most: Span, seed: u64) -> Backoff {
        Backoff { least, most: most.max(least), whole: Span::ZERO, chance: WyRand::new_seed(seed) }
    }

    /// Of calls for lists. Where these are pushed, an agent of this gateway's own answers at once, at no cost, and there is
    /// none; where they are asked for, all gateways share what discovery can do, and are told how long each may go without.
    pub fn of_discovery(terms: &Terms, least: Span, seed: u64) -> Option<Backoff> {
        let asks = terms.discovery == Discovery::OnRequest;
        asks.then(|| Backoff::new(least, terms.rules.ask_within * AFTER_FAILURES, seed))
    }

    /// It failed, after this long. Gives back how long to wait from now on. Guards a service with a queue: one that
    /// turned the call away late has more waiting than it answers in that time, and works on calls that nobody waits
    /// for any more until all have waited for longer than that.
    pub fn failed(&mut self, took: Span) -> Span {
        let (doubled, queued) = (self.whole * 2.0, took * 2.0);
        self.whole = doubled.max(queued).max(self.least).min(self.most);
        (self.whole * (0.5 + self.chance.generate::<f64>() / 2.0)).max(self.least)
    }

    /// How long to wait where a list is held that may still be acted on. Guards a service against being asked by all at the
    /// moment at which it is back, or at which all start.
    pub fn spread(&mut self) -> Span {
        KEPT * self.chance.generate::<f64>()
    }

    /// It worked: the next failure is a first one again.
    pub fn worked(&mut self) {
        self.whole = Span::ZERO;
    }
}
