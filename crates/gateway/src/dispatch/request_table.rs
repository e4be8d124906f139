//! What the driver's book holds of each request, until it has had its answer and all its attempts have ended.

use harrierdock_attempt_guard::Precondition;
use harrierdock_types::Timestamp;
use harrierdock_types::{AffinityKey, ClassId, EndpointId};

pub struct Sent {
    pub endpoint: EndpointId,
    pub at: Timestamp,
    /// From when on it counts against the cap on exposure.
    pub counted: Timestamp,
    /// What it was decided on.
    pub precondition: Precondition,
    pub out: bool,
    /// It never ran, for certain.
    pub never_ran: bool,
    /// Octets of the request's body.
    pub octets: usize,
}

/// Where a request is, of those two sites may have.
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
    pub class: ClassId,
    pub key: Option<AffinityKey>,
    pub again: bool,
    pub taken: Timestamp,
    pub expiry: Timestamp,
    pub overdue: Timestamp,
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
