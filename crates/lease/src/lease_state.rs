//! Where a gateway stands with a duty: it waits, asks, takes or holds. Kept apart from how it is told.

use std::collections::{BTreeSet, VecDeque};

use harrierdock_types::{TimeDelta, Timestamp};

use crate::{Epoch, NodeIx};

/// Renewals whose votes are still counted. Older ones are past the lease.
const ROUNDS: usize = 4;

#[derive(Clone, Debug)]
pub struct Round {
    pub no: u16,
    /// When it was asked: the lease counts from then.
    pub sent: Timestamp,
    pub votes: BTreeSet<NodeIx>,
}

#[derive(Clone, Debug)]
pub enum State {
    /// Nothing is under way; asks again at `next`.
    Waits { next: Timestamp },
    /// Has asked one elector whether it is free.
    Looks {
        epoch: Epoch,
        at: NodeIx,
        until: Timestamp,
    },
    /// Has asked all whether it may begin.
    Asks {
        epoch: Epoch,
        after: Option<Epoch>,
        until: Timestamp,
        open: BTreeSet<NodeIx>,
        no: BTreeSet<NodeIx>,
    },
    /// Has asked all to hold it.
    Takes {
        epoch: Epoch,
        round: Round,
        until: Timestamp,
        no: BTreeSet<NodeIx>,
    },
    Holds {
        epoch: Epoch,
        until: Timestamp,
        renew: Timestamp,
        rounds: VecDeque<Round>,
        last: u16,
    },
}

#[derive(Clone, Debug)]
pub struct Seat {
    pub wants: bool,
    pub state: State,
    /// The electors' latest word on how many wait before this one.
    pub place: usize,
    /// Tries in a row that came to nothing.
    pub fails: u32,
    /// How long others hold it yet, by the latest try.
    pub left: TimeDelta,
    /// The next try's epoch is above this one.
    pub above: Epoch,
    /// Who comes next, as electors have said with their latest votes.
    pub heirs: BTreeSet<NodeIx>,
    /// What was given up is told once more then: one message may be lost.
    pub again: Option<(Timestamp, Epoch, Option<NodeIx>)>,
    /// How many electors in turn have said nothing.
    pub turn: usize,
}

impl Seat {
    pub fn new(next: Timestamp, place: usize) -> Seat {
        Seat {
            wants: false,
            state: State::Waits { next },
            place,
            fails: 0,
            left: TimeDelta::ZERO,
            above: Epoch(0),
            heirs: BTreeSet::new(),
            again: None,
            turn: 0,
        }
    }

    /// Until when it is held, by this gateway's own clock.
    pub fn held(&self) -> Option<(Epoch, Timestamp)> {
        match &self.state {
            State::Holds { epoch, until, .. } => Some((*epoch, *until)),
            _ => None,
        }
    }

    /// When something is due.
    pub fn due(&self) -> Option<Timestamp> {
        let state = match &self.state {
            State::Waits { next } => self.wants.then_some(*next),
            State::Looks { until, .. } | State::Asks { until, .. } | State::Takes { until, .. } => {
                Some(*until)
            }
            State::Holds { until, renew, .. } => Some(*until.min(renew)),
        };
        state.into_iter().chain(self.again.map(|a| a.0)).min()
    }

    /// Begins another renewal, and says its number.
    pub fn renew(&mut self, now: Timestamp, heartbeat: TimeDelta) -> Option<(Epoch, u16)> {
        let State::Holds {
            epoch,
            renew,
            rounds,
            last,
            ..
        } = &mut self.state
        else {
            return None;
        };
        // The first round is the one that began; its number is used for nothing else.
        *last = last.checked_add(1).unwrap_or(2);
        *renew = now + heartbeat;
        rounds.push_back(Round {
            no: *last,
            sent: now,
            votes: BTreeSet::new(),
        });
        if rounds.len() > ROUNDS {
            rounds.pop_front();
        }
        // Electors say who waits with odd rounds.
        if *last % 2 == 1 {
            self.heirs.clear();
        }
        Some((*epoch, *last))
    }
}
