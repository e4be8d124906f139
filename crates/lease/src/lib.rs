//! What gateways of one fleet share: duties that one of them holds at a time, by leases of a majority of a
//! few electors, kept in memory only. `Fleet` takes what happens and gives back what to do, in order. No I/O,
//! no clock of its own, chance by the told seed. See `docs/design/fleet.md`.
//!
//! A holder asks `may_act` with the time of that very moment before each act, and the act carries the epoch
//! it gets; whoever is acted on asks a `Guard`.

pub mod elector;
pub mod codec;
mod fencing;
mod message_handling;
mod lease_state;
mod candidate;
mod configuration;
mod quorum;

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use harrierdock_types::{TimeDelta, Timestamp};
use nanorand::{Rng, WyRand};
use serde::{Deserialize, Serialize};

use elector::Elector;
use lease_state::Seat;
use quorum::Voters;

pub use codec::{Ballot, Body, Holding, Message, Unread};
pub use fencing::{Guard, Stale};
pub use configuration::{id_of, Duty, Electorate, Misfit, NodeIx, Terms, Told};

/// The shortest wait asked for. Guards against a driver that wakes this without end.
const SHORTEST: TimeDelta = TimeDelta(1_000);

/// The number of a holding: each that follows has a higher one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message has come, read by `codec::read`; `from` is by the road it came on.
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
        after: TimeDelta,
    },
}

/// Who holds a duty, as far as is known here. For status only: nothing may be done on its strength.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Known {
    pub holder: NodeIx,
    pub epoch: Epoch,
    /// When its lease runs out, by what was heard last.
    pub until: Timestamp,
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
    incarnation: u64,
    chance: WyRand,
    voters: Voters,
    digest: u8,
    elector: Elector,
    seats: BTreeMap<Duty, Seat>,
    known: BTreeMap<Duty, Known>,
    /// By place: the newest process of each gateway that was heard.
    peers: Vec<u64>,
    counts: Counts,
    ending: bool,
    next_hearsay: Timestamp,
    /// Where the telling of what is known stands.
    told: usize,
    /// Messages of this gateway to itself, as elector and as asker.
    own: VecDeque<Body>,
    actions: Vec<Action>,
}

impl Fleet {
    /// `incarnation` is Unix time in milliseconds at this process' start; `seed` another at each start.
    pub fn new(terms: Terms, incarnation: u64, seed: u64, now: Timestamp) -> Fleet {
        let nodes = terms.ids.len();
        // A grant lasts no longer than the silence that would follow a start, by the same clock.
        let longest = terms.silence / (1.0 + terms.drift);
        let floor = Epoch(incarnation.saturating_add((terms.silence.0 / 1000).max(0) as u64));
        let elector = Elector::new(&terms.duties, now + terms.silence, floor, longest);
        let voters = Voters::new(terms.electorate.clone(), nodes, terms.own, terms.silence);
        let digest = quorum::digest(&terms.electorate.electors, &terms.ids);
        let mut chance = WyRand::new_seed(seed);
        let next_hearsay = now + terms.heartbeat * chance.generate::<f64>();
        let mut fleet = Fleet {
            incarnation,
            chance,
            voters,
            digest,
            elector,
            seats: BTreeMap::new(),
            known: BTreeMap::new(),
            peers: vec![0; nodes],
            counts: Counts::default(),
            ending: false,
            next_hearsay,
            told: 0,
            own: VecDeque::new(),
            actions: Vec::new(),
            terms,
        };
        for duty in fleet.terms.duties.clone() {
            let place = if nodes <= elector::WAITING {
                0
            } else {
                elector::WAITING
            };
            fleet.seats.insert(duty, Seat::new(now, place));
        }
        fleet
    }

    pub fn take(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        // Guards against a process that stood still: what lapsed meanwhile has ended before anything is
        // heard.
        self.lapse(now);
        match event {
            Event::Heard { from, message } => self.hear(now, from, message),
            Event::Wake => {}
            Event::Wants { duty, wants } => self.want(now, duty, wants),
            Event::Refused { duty, newest } => self.refused(now, duty, newest),
            Event::Ending => {
                self.ending = true;
                for duty in self.terms.duties.clone() {
                    self.want(now, duty, false);
                }
            }
            Event::Electorate(next) => {
                self.voters.follow(next);
                self.digest = quorum::digest(&self.voters.told().electors, &self.terms.ids);
            }
        }
        self.voters.judge(now);
        self.settle_own(now);
        for duty in self.terms.duties.clone() {
            self.seek(now, duty);
            self.settle_own(now);
        }
        self.hearsay(now);
        let due = self
            .seats
            .values()
            .filter_map(Seat::due)
            .chain([self.next_hearsay])
            .min();
        let after = due.map_or(self.terms.heartbeat, |due| due - now);
        self.actions.push(Action::Wake {
            after: after.max(SHORTEST),
        });
        std::mem::take(&mut self.actions)
    }

    /// Whether this gateway may act in this duty at this moment, and in which epoch. To be asked immediately
    /// before each act, with a fresh reading of a clock that never steps. Guards against a deposed holder
    /// that acts on; it harms one whose renewals are late: it stops although nobody else has the duty yet.
    pub fn may_act(&self, now: Timestamp, duty: Duty) -> Option<Epoch> {
        let (epoch, until) = self.seats.get(&duty)?.held()?;
        (now < until).then_some(epoch)
    }

    /// Who holds a duty as known here.
    pub fn holder(&self, now: Timestamp, duty: Duty) -> Option<Known> {
        let own = self
            .seats
            .get(&duty)
            .and_then(Seat::held)
            .filter(|(_, until)| now < *until);
        let own = own.map(|(epoch, until)| Known {
            holder: self.terms.own,
            epoch,
            until,
        });
        own.or_else(|| self.known.get(&duty).copied())
    }

    /// Whether this electorate may follow the held one now.
    pub fn may_change(&self, next: &Electorate) -> Result<(), Misfit> {
        self.voters.may_follow(next)
    }

    /// The electorate that counts, and whether it is in force: until then the one before has to agree as
    /// well.
    pub fn electorate(&self) -> (&Electorate, bool) {
        (self.voters.told(), self.voters.in_force())
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Whether all that was held is handed on, and told twice: an ending process may end.
    pub fn done(&self) -> bool {
        self.ending
            && self
                .seats
                .values()
                .all(|s| s.again.is_none() && s.held().is_none())
    }

    fn settle_own(&mut self, now: Timestamp) {
        while let Some(body) = self.own.pop_front() {
            self.read(now, self.terms.own, self.incarnation, body);
        }
    }

    fn tell(&mut self, to: NodeIx, body: Body) {
        if to == self.terms.own {
            return self.own.push_back(body);
        }
        let electorate = self.voters.told().number;
        let message = Message {
            incarnation: self.incarnation,
            electorate,
            digest: self.digest,
            body,
        };
        self.actions.push(Action::Tell { to, message });
    }
}
