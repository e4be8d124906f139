//! The condition that an attempt carries from its decision to its writing.

use harrierdock_types::interface::{Build, Lifecycle};
use harrierdock_types::time::Point;

/// What an attempt was decided on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Condition {
    /// The server as it was listed: its build, and when it started, if that was told.
    pub build: Build,
    pub started: Option<Point>,
    /// The cap on exposure that was told for this build.
    pub cap: f64,
    /// From here on its repeat would no longer be dropped: an earlier attempt may have run.
    pub repeat_until: Option<Point>,
}

/// How all of this stands when the attempt is about to be written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    pub now: Point,
    /// The txn has its answer, or nobody waits for one.
    pub closed: bool,
    /// The list held may not be acted on any more.
    pub stale: bool,
    /// The server as it is listed now, if it is, at the address that the connection was made to.
    pub listed: Option<(Lifecycle, Build, Option<Point>)>,
    pub cap: f64,
    /// The build that the txn's key stays with.
    pub pin: Build,
}

/// Why an attempt is not written after all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lapse {
    /// Guards against work for a client that has left, or has its answer.
    Closed,
    /// Guards drains that discovery could not tell: see `Freshness`.
    Stale,
    /// Guards drains: a send counts from its first byte, which may come long after the list did.
    Drains,
    /// Guards the exposure cap and the pins: what runs at the address now is another start, or another build.
    Replaced,
    /// Guards the exposure cap, which binds what arrives under it, whenever that was decided.
    CapLowered,
    /// Guards the exposure cap, where connections that were long in coming up would carry many attempts at once.
    CapReached,
    /// Guards a key that a later build has answered meanwhile.
    Pinned,
    /// Guards against an effect twice, where servers forget repeats sooner than a connection may come up.
    Forgotten,
}

impl Condition {
    /// Why an attempt with this condition may not be written any more, if it may not.
    pub fn lapse(&self, standing: &Standing) -> Option<Lapse> {
        if standing.closed {
            return Some(Lapse::Closed);
        }
        if standing.stale {
            return Some(Lapse::Stale);
        }
        match standing.listed {
            Some((Lifecycle::Ready, build, started)) if (build, started) == (self.build, self.started) => {}
            Some((Lifecycle::Ready, ..)) | None => return Some(Lapse::Replaced),
            Some(_) => return Some(Lapse::Drains),
        }
        if standing.cap < self.cap {
            return Some(Lapse::CapLowered);
        }
        if self.build < standing.pin {
            return Some(Lapse::Pinned);
        }
        self.repeat_until.is_some_and(|until| standing.now >= until).then_some(Lapse::Forgotten)
    }
}
