//! How far this gateway has come with one lease: it waits, proposes, acquires or holds.

use std::collections::{BTreeSet, VecDeque};

use harrierdock_types::{PeerId, TimeDelta, Timestamp};

use crate::Epoch;

/// Rounds whose grants are still counted; older ones are past the lease.
const MAX_ROUNDS: usize = 4;
/// The round of the first grant.
pub(crate) const FIRST_ROUND: u16 = 1;

/// One request for grants to all electors.
#[derive(Clone, Debug)]
pub(crate) struct Round {
    pub(crate) number: u16,
    /// When it was sent: the lease counts from then.
    pub(crate) sent_at: Timestamp,
    pub(crate) grants: BTreeSet<PeerId>,
}

impl Round {
    pub(crate) fn new(number: u16, sent_at: Timestamp) -> Round {
        Round {
            number,
            sent_at,
            grants: BTreeSet::new(),
        }
    }
}

/// What is under way.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// Nothing; tries again at `next_try`.
    Waiting { next_try: Timestamp },
    /// Has asked one elector whether the lease is free.
    Probing {
        epoch: Epoch,
        elector: PeerId,
        deadline: Timestamp,
    },
    /// Has asked all electors for a promise.
    Preparing {
        epoch: Epoch,
        transferred_epoch: Option<Epoch>,
        deadline: Timestamp,
        promises: BTreeSet<PeerId>,
        rejections: BTreeSet<PeerId>,
    },
    /// Has asked all electors for a grant.
    Acquiring {
        epoch: Epoch,
        round: Round,
        deadline: Timestamp,
        rejections: BTreeSet<PeerId>,
    },
    /// Holds the lease.
    Held(HeldLease),
}

/// A lease that this gateway holds.
#[derive(Clone, Debug)]
pub(crate) struct HeldLease {
    pub(crate) epoch: Epoch,
    pub(crate) expires_at: Timestamp,
    pub(crate) renew_at: Timestamp,
    pub(crate) rounds: VecDeque<Round>,
    pub(crate) last_round: u16,
}

/// A release that is sent once more, as one message may be lost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RepeatedRelease {
    pub(crate) at: Timestamp,
    pub(crate) epoch: Epoch,
    pub(crate) successor: Option<PeerId>,
}

/// This gateway's state with one lease.
#[derive(Clone, Debug)]
pub(crate) struct LeaseState {
    pub(crate) is_candidate: bool,
    pub(crate) phase: Phase,
    /// How many candidates are in line before this one, by an elector's latest message.
    pub(crate) candidates_before: usize,
    /// Tries in a row that came to nothing.
    pub(crate) failures: u32,
    /// For how long others hold the lease, by the latest try.
    pub(crate) remaining: TimeDelta,
    /// The next try's epoch is above this one.
    pub(crate) epoch_floor: Epoch,
    /// The next candidates, as electors have reported with their latest grants.
    pub(crate) successors: BTreeSet<PeerId>,
    pub(crate) repeated_release: Option<RepeatedRelease>,
    /// How many electors in turn have not replied.
    pub(crate) silent_electors: usize,
}

impl LeaseState {
    pub(crate) fn new(next_try: Timestamp, candidates_before: usize) -> LeaseState {
        LeaseState {
            is_candidate: false,
            phase: Phase::Waiting { next_try },
            candidates_before,
            failures: 0,
            remaining: TimeDelta::ZERO,
            epoch_floor: Epoch(0),
            successors: BTreeSet::new(),
            repeated_release: None,
            silent_electors: 0,
        }
    }

    /// The lease, if this gateway holds it; it may have expired.
    pub(crate) fn held(&self) -> Option<&HeldLease> {
        match &self.phase {
            Phase::Held(held) => Some(held),
            _ => None,
        }
    }

    /// When there is something to do.
    pub(crate) fn next_deadline(&self) -> Option<Timestamp> {
        let phase = match &self.phase {
            Phase::Waiting { next_try } => self.is_candidate.then_some(*next_try),
            Phase::Probing { deadline, .. }
            | Phase::Preparing { deadline, .. }
            | Phase::Acquiring { deadline, .. } => Some(*deadline),
            Phase::Held(held) => Some(held.expires_at.min(held.renew_at)),
        };
        let release = self.repeated_release.map(|release| release.at);
        phase.into_iter().chain(release).min()
    }

    /// Begins a renewal. Returns the epoch and the round's number, or none if the lease is not held.
    pub(crate) fn begin_renewal(
        &mut self,
        now: Timestamp,
        heartbeat_interval: TimeDelta,
    ) -> Option<(Epoch, u16)> {
        let Phase::Held(held) = &mut self.phase else {
            return None;
        };
        // The first round's number is used for nothing else.
        let number = held.last_round.checked_add(1).unwrap_or(FIRST_ROUND + 1);
        held.last_round = number;
        held.renew_at = now + heartbeat_interval;
        held.rounds.push_back(Round::new(number, now));
        if held.rounds.len() > MAX_ROUNDS {
            held.rounds.pop_front();
        }
        // Electors report the next candidate with odd rounds.
        if number % 2 == 1 {
            self.successors.clear();
        }
        Some((held.epoch, number))
    }
}
