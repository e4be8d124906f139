//! This gateway's state as a candidate or holder of one lease.

use std::collections::{BTreeSet, VecDeque};

use harrierdock_types::{PeerId, TimeDelta, Timestamp};

use crate::Epoch;

/// Rounds whose grants still count. The grants of older rounds have expired.
const MAX_ROUNDS: usize = 4;
/// The round number of the first request for grants; renewals have higher numbers.
pub(crate) const FIRST_ROUND: u16 = 1;

/// One request for grants to all electors.
#[derive(Clone, Debug)]
pub(crate) struct Round {
    pub(crate) number: u16,
    /// When the request was sent. The lease duration starts here.
    pub(crate) sent_at: Timestamp,
    /// The electors that have granted this round.
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

/// The phase of this gateway's attempt to get the lease.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// No request is outstanding. A candidate tries again at `next_try`.
    Waiting { next_try: Timestamp },
    /// Waits for one elector's reply on whether the lease is free.
    Probing {
        epoch: Epoch,
        elector: PeerId,
        deadline: Timestamp,
    },
    /// Waits for promises of all electors.
    Preparing {
        epoch: Epoch,
        transferred_epoch: Option<Epoch>,
        deadline: Timestamp,
        promises: BTreeSet<PeerId>,
        rejections: BTreeSet<PeerId>,
    },
    /// Waits for grants of all electors.
    Acquiring {
        epoch: Epoch,
        round: Round,
        deadline: Timestamp,
        rejections: BTreeSet<PeerId>,
    },
    /// Holds the lease, unless it has just expired.
    Held(HeldLease),
}

/// A lease that this gateway holds.
#[derive(Clone, Debug)]
pub(crate) struct HeldLease {
    pub(crate) epoch: Epoch,
    pub(crate) expires_at: Timestamp,
    pub(crate) renew_at: Timestamp,
    /// The latest rounds, oldest first; at most `MAX_ROUNDS`.
    pub(crate) rounds: VecDeque<Round>,
    pub(crate) last_round_number: u16,
}

/// A release that is sent a second time, since the first message may be lost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RepeatedRelease {
    pub(crate) send_at: Timestamp,
    pub(crate) epoch: Epoch,
    pub(crate) successor: Option<PeerId>,
}

/// This gateway's state for one lease.
#[derive(Clone, Debug)]
pub(crate) struct LeaseState {
    /// Whether this gateway seeks or holds the lease.
    pub(crate) is_candidate: bool,
    pub(crate) phase: Phase,
    /// How many candidates rank before this one, by the latest rejection of an elector.
    pub(crate) candidates_before: usize,
    /// Consecutive failed tries to acquire the lease, for the exponential delay before the next try.
    pub(crate) failures: u32,
    /// For how long another gateway still holds the lease, by the rejections of the latest try.
    pub(crate) remaining: TimeDelta,
    /// The next try to acquire the lease proposes a higher epoch than this one.
    pub(crate) epoch_floor: Epoch,
    /// The first candidates by rank that electors have reported with their latest grants.
    pub(crate) successors: BTreeSet<PeerId>,
    pub(crate) repeated_release: Option<RepeatedRelease>,
    /// Probes that timed out, counted to probe another elector after each one.
    pub(crate) timed_out_probes: usize,
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
            timed_out_probes: 0,
        }
    }

    /// The held lease, which may have expired; `None` if this gateway doesn't hold it.
    pub(crate) fn held(&self) -> Option<&HeldLease> {
        match &self.phase {
            Phase::Held(held) => Some(held),
            _ => None,
        }
    }

    /// When this lease needs its next action; `None` if it needs none.
    pub(crate) fn next_deadline(&self) -> Option<Timestamp> {
        let phase = match &self.phase {
            Phase::Waiting { next_try } => self.is_candidate.then_some(*next_try),
            Phase::Probing { deadline, .. }
            | Phase::Preparing { deadline, .. }
            | Phase::Acquiring { deadline, .. } => Some(*deadline),
            Phase::Held(held) => Some(held.expires_at.min(held.renew_at)),
        };
        let release = self.repeated_release.map(|release| release.send_at);
        phase.into_iter().chain(release).min()
    }

    /// Starts a renewal round. Returns the epoch and the round number, or `None` if the lease is not held.
    pub(crate) fn start_renewal(
        &mut self,
        now: Timestamp,
        heartbeat_interval: TimeDelta,
    ) -> Option<(Epoch, u16)> {
        let Phase::Held(held) = &mut self.phase else {
            return None;
        };
        // After an overflow, skip the first round's number, which marks a request that isn't a renewal.
        let number = held
            .last_round_number
            .checked_add(1)
            .unwrap_or(FIRST_ROUND + 1);
        held.last_round_number = number;
        held.renew_at = now + heartbeat_interval;
        held.rounds.push_back(Round::new(number, now));
        if held.rounds.len() > MAX_ROUNDS {
            held.rounds.pop_front();
        }
        // Electors report the next candidate in odd rounds.
        if number % 2 == 1 {
            self.successors.clear();
        }
        Some((held.epoch, number))
    }
}
