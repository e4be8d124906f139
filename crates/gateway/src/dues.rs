//! What falls due, in one ordered structure.

use std::collections::BTreeSet;

use harrierdock::interface::TxnId;
use harrierdock::time::Point;

/// The number of a connection, never used twice.
pub type ConnectionNo = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// The module asked to be woken.
    Wake,
    /// A submission has waited for its connection or its answer for as long as it may.
    Submission(ConnectionNo),
    /// A vote has waited for its answer for as long as it may.
    Vote(ConnectionNo),
    /// A txn must have been answered by now.
    Txn(TxnId),
    /// Connections, streams and descriptors are looked after.
    Tend,
    /// The counters are logged.
    Report,
    /// Told to end, the gateway looks whether it can.
    End,
}

#[derive(Default)]
pub struct Dues(BTreeSet<(Point, Due)>);

impl Dues {
    pub fn set(&mut self, at: Point, due: Due) {
        self.0.insert((at, due));
    }

    pub fn clear(&mut self, at: Point, due: Due) {
        self.0.remove(&(at, due));
    }

    pub fn next(&self) -> Option<Point> {
        self.0.first().map(|d| d.0)
    }

    pub fn pop(&mut self, now: Point) -> Option<Due> {
        self.next().filter(|at| *at <= now)?;
        self.0.pop_first().map(|d| d.1)
    }
}
