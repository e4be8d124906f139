//! What the driver's book holds of each txn, until it has had its answer and all its submissions have ended.

use harrierdock_attempt_guard::Condition;
use harrierdock_types::interface::{Key, ProductIx, ServerIx};
use harrierdock_types::time::Point;

pub struct Sent {
    pub server: ServerIx,
    pub at: Point,
    /// From when on it counts against the cap on exposure.
    pub counted: Point,
    /// What it was decided on.
    pub condition: Condition,
    pub out: bool,
    /// It never ran, for certain.
    pub never_ran: bool,
    /// Octets of the request's body.
    pub octets: usize,
}

/// Where a txn is, of those two sites may have.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Whereabouts {
    /// Nobody has been asked yet.
    AtTheDoor,
    Here,
    Across,
    /// Here, after it was across.
    Back,
}

pub struct Entry {
    pub product: ProductIx,
    pub key: Option<Key>,
    pub again: bool,
    pub taken: Point,
    pub expiry: Point,
    pub overdue: Point,
    pub answered: bool,
    pub whereabouts: Whereabouts,
    /// The other site has handed it over.
    pub inward: bool,
    pub sent: Vec<Sent>,
}

impl Entry {
    pub fn may_have_run(&self) -> bool {
        self.sent.iter().any(|s| !s.never_ran)
    }
}
