//! What gateways of one fleet share: duties that one of them holds at a time, by leases of a majority of a few
//! electors, kept in memory only. `Fleet` takes what happens and gives back what to do, in order. No I/O, no
//! clock of its own, chance by the told seed. See `docs/design/fleet.md`.
//!
//! A holder asks `may_act` with the time of that very moment before each act, and the act carries the epoch it
//! gets; whoever is acted on asks a `Guard`.

pub mod form;
mod guard;
mod terms;

use std::fmt;

use harrierdock::time::{Point, Span};
use serde::{Deserialize, Serialize};

pub use form::{Ballot, Body, Holding, Message, Unread};
pub use guard::{Guard, Stale};
pub use terms::{id_of, Duty, Electorate, Misfit, NodeIx, Terms, Told};

/// The number of a holding: each that follows has a higher one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message has come, read by `form::read`; `from` is by the road it came on.
    Heard { from: NodeIx, message: Message },
    /// The time asked for by `Action::Wake` has come; one too early or too late does no harm.
    Wake,
    /// This gateway would hold the duty, or would no longer: then it hands it on.
    Wants { duty: Duty, wants: bool },
    /// Whoever was acted on has refused the act as older than `newest`.
    Refused { duty: Duty, newest: Epoch },
    /// This process is about to end: it hands on all that it holds.
    Ending,
    /// The operator has told another electorate, checked by `Fleet::may_change`.
    Electorate(Electorate),
}

/// Why a holding has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// It was not renewed by a majority in time.
    Lapsed,
    /// It was handed on, in order.
    HandedOn,
    /// Whoever was acted on knows a newer epoch.
    Refused,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Tell {
        to: NodeIx,
        message: Message,
    },
    Holds {
        duty: Duty,
        epoch: Epoch,
    },
    Ended {
        duty: Duty,
        epoch: Epoch,
        why: Why,
    },
    /// `Event::Wake` is due so much later; the newest one asked for counts.
    Wake {
        after: Span,
    },
}

/// Who holds a duty, as far as is known here. For status only: nothing may be done on its strength.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Known {
    pub holder: NodeIx,
    pub epoch: Epoch,
    /// When its lease runs out, by what was heard last.
    pub until: Point,
}

/// Counted since the start, for status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages of an earlier process, or of a gateway not told.
    pub outdated: u64,
    /// Messages under an electorate that this gateway cannot count with.
    pub unlike: u64,
    /// Epochs so far ahead that no clock can be meant.
    pub absurd: u64,
    pub taken: u64,
    pub lapsed: u64,
    pub handed_on: u64,
}

pub struct Fleet {
    terms: Terms,
}

impl Fleet {
    /// `incarnation` is Unix time in milliseconds at this process' start; `seed` another at each start.
    pub fn new(terms: Terms, _incarnation: u64, _seed: u64, _now: Point) -> Fleet {
        Fleet { terms }
    }

    /// The first commit of the interface: nothing is held yet, which is each duty's safe state.
    pub fn take(&mut self, _now: Point, _event: Event) -> Vec<Action> {
        vec![Action::Wake { after: self.terms.heartbeat }]
    }

    /// Whether this gateway may act in this duty at this moment, and in which epoch. To be asked immediately
    /// before each act, with a fresh reading of a clock that never steps.
    pub fn may_act(&self, _now: Point, _duty: Duty) -> Option<Epoch> {
        None
    }

    /// Who holds a duty as known here.
    pub fn holder(&self, _now: Point, _duty: Duty) -> Option<Known> {
        None
    }

    /// Whether this electorate may follow the held one now.
    pub fn may_change(&self, _next: &Electorate) -> Result<(), Misfit> {
        Ok(())
    }

    /// The electorate that counts, and whether the one before has to agree as well yet.
    pub fn electorate(&self) -> (&Electorate, bool) {
        (&self.terms.electorate, false)
    }

    pub fn counts(&self) -> Counts {
        Counts::default()
    }

    /// Whether all that was held is handed on: the process may end.
    pub fn done(&self) -> bool {
        true
    }
}
