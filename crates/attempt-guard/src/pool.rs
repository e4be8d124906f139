//! Which kept connection may carry an attempt: one that has rested, and that its server is not about to close.

use harrierdock_types::time::{Point, Span};

/// Of the told time in which a connection comes up: how long one rests after an answer before its next use.
const REST: f64 = 0.08;

/// How a connection in the pool stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kept {
    /// Guards against an answer that comes a second time, a moment late: on a connection used again meanwhile it
    /// would be taken for the next txn's, and a client be given another's. While the connection rests, it ends it.
    Rests,
    Usable,
    /// Guards against a request that crosses the server's close.
    Old,
}

/// The spans of a pool, from the told limits.
#[derive(Clone, Copy, Debug)]
pub struct Pool {
    rest: Span,
    keep: Span,
}

impl Pool {
    /// `connect`: the told time in which a connection comes up; `idle`: when a server closes one that is unused.
    pub fn new(connect: Span, idle: Span) -> Pool {
        Pool { rest: connect * REST, keep: idle - connect }
    }

    pub fn stands(&self, idle_since: Point, now: Point) -> Kept {
        match now - idle_since {
            idle if idle >= self.keep => Kept::Old,
            idle if idle < self.rest => Kept::Rests,
            _ => Kept::Usable,
        }
    }
}
