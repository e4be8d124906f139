//! Whether the list of servers that is held may still be acted on, where lists come only when they are asked for.

use harrierdock_types::interface::{Discovery, Terms};
use harrierdock_types::time::{Point, Span};

/// The protocol: whatever a call for lists came to, a change counts as told this long after discovery had it.
pub const TOLD_ANYWAY: Span = Span(6_000_000);
/// For how long a list counts that was kept over a start: half of that.
pub(crate) const KEPT: Span = Span(3_000_000);
/// A call that has stood for longer has not failed late: a tenth more than the 2 s that one waits at the most.
const CALL: Span = Span(2_200_000);

/// Since when nothing has said that the list held is still all there is.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    /// An agent that is pushed lists learns nothing while it is silent, so nothing counts as told then.
    asks: bool,
    /// How long after that something new may still be sent.
    grace: Span,
    started: Point,
    confirmed: Option<Point>,
}

impl Freshness {
    pub fn new(terms: &Terms, started: Point) -> Freshness {
        let (asks, grace) = (terms.discovery == Discovery::OnRequest, terms.rules.drain_grace - terms.tick);
        Freshness { asks, grace: grace.max(Span::ZERO), started, confirmed: None }
    }

    /// Whether a call that was made then, and has not failed by now, works though it has told no list.
    pub fn works(made: Point, now: Point) -> bool {
        now - made > CALL
    }

    /// Discovery has told a list, or that nothing has changed since.
    pub fn confirm(&mut self, now: Point) {
        self.confirmed = Some(now);
    }

    /// Guards drains where discovery turns this gateway away for longer than a change goes without counting as told, and
    /// the grace after that: what is listed may drain by now. A list kept over a start is older than the start, by how much nobody knows, and counts
    /// for half as long. Harms by declining what might have been served.
    pub fn is_stale(&self, now: Point) -> bool {
        let (since, most) = match self.confirmed {
            Some(at) => (at, TOLD_ANYWAY + self.grace),
            None => (self.started, KEPT),
        };
        self.asks && now - since >= most
    }
}
