//! Decides which electors form a quorum, also while the electorate changes. Consecutive electorates differ by one member, so any majority
//! of one overlaps any majority of the next, and grants under both numbers count together. Majorities of electorates two changes apart
//! may not overlap. So an electorate may be replaced only once a majority of its electors, and of its predecessor's, use it.

use std::collections::BTreeSet;

use harrierdock_types::{PeerId, TimeDelta, Timestamp};

use crate::{ConfigurationError, Electorate};

/// The current electorate, its predecessor, and the progress of the change between them.
pub(crate) struct Quorum {
    current: Electorate,
    /// The members before the last change; `None` if the electorate hasn't changed since this process started.
    previous: Option<Vec<PeerId>>,
    /// Whether the current electorate's majority suffices alone.
    is_in_force: bool,
    /// Since when enough electors have used the current electorate without interruption.
    agreed_since: Option<Timestamp>,
    /// The highest electorate number received from each peer, indexed by `PeerId`.
    received_numbers: Vec<u32>,
    /// For how long the agreement has to last, so that every grant under an electorate two changes back has expired.
    agreement_duration: TimeDelta,
    local_peer: PeerId,
}

/// A checksum of the electors' names. It depends neither on their order nor on their positions in the list of names, so it stays the
/// same when that list grows.
pub(crate) fn electorate_digest(electors: &[PeerId], name_hashes: &[u32]) -> u8 {
    let mixed = electors
        .iter()
        .filter_map(|elector| name_hashes.get(elector.0))
        .map(|hash| hash.wrapping_mul(0x9e37_79b1));
    let sum = mixed.fold(0u32, |sum, hash| sum.wrapping_add(hash ^ (hash >> 15)));
    (sum >> 11) as u8
}

fn is_majority(electors: &[PeerId], peers: &BTreeSet<PeerId>) -> bool {
    2 * electors.iter().filter(|e| peers.contains(e)).count() > electors.len()
}

impl Quorum {
    pub(crate) fn new(
        electorate: Electorate,
        peer_count: usize,
        local_peer: PeerId,
        agreement_duration: TimeDelta,
    ) -> Quorum {
        Quorum {
            current: electorate,
            previous: None,
            is_in_force: false,
            agreed_since: None,
            received_numbers: vec![0; peer_count],
            agreement_duration,
            local_peer,
        }
    }

    pub(crate) fn electorate(&self) -> &Electorate {
        &self.current
    }

    pub(crate) fn is_in_force(&self) -> bool {
        self.is_in_force
    }

    /// The previous electorate's members while a majority of them is needed as well; `None` once the current electorate is in force.
    fn previous_in_force(&self) -> Option<&Vec<PeerId>> {
        self.previous.as_ref().filter(|_| !self.is_in_force)
    }

    /// All electors to send requests to, in ascending order.
    pub(crate) fn electors(&self) -> Vec<PeerId> {
        let previous = self.previous_in_force().into_iter().flatten();
        let all: BTreeSet<PeerId> = self
            .current
            .electors
            .iter()
            .chain(previous)
            .copied()
            .collect();
        all.into_iter().collect()
    }

    pub(crate) fn is_elector(&self, peer: PeerId) -> bool {
        self.electors().contains(&peer)
    }

    /// Whether these electors are a majority of the current electorate and, until it is in force, of the previous one too.
    pub(crate) fn is_reached(&self, peers: &BTreeSet<PeerId>) -> bool {
        is_majority(&self.current.electors, peers)
            && self
                .previous_in_force()
                .is_none_or(|previous| is_majority(previous, peers))
    }

    /// Whether grants under this electorate number count together with grants under the current one.
    pub(crate) fn is_compatible(&self, number: u32) -> bool {
        number.abs_diff(self.current.number) <= 1
    }

    /// Checks whether this electorate may replace the current one now. The current electorate itself is accepted.
    pub(crate) fn check_successor(&self, next: &Electorate) -> Result<(), ConfigurationError> {
        let proposed = next.number;
        let current = self.current.number;
        let new_members: BTreeSet<_> = next.electors.iter().collect();
        let old_members: BTreeSet<_> = self.current.electors.iter().collect();
        match new_members.symmetric_difference(&old_members).count() {
            0 if proposed == current => Ok(()),
            _ if Some(proposed) != current.checked_add(1) => {
                Err(ConfigurationError::ElectorateNumberNotNext { proposed, current })
            }
            1 if self.is_in_force => Ok(()),
            1 => Err(ConfigurationError::ElectorateNotInForce { current }),
            _ => Err(ConfigurationError::ElectorateChangeNotByOne { proposed, current }),
        }
    }

    /// Replaces the current electorate if `check_successor` allows it.
    pub(crate) fn change_electorate(&mut self, next: Electorate) {
        if next.number == self.current.number || self.check_successor(&next).is_err() {
            return;
        }
        let previous = std::mem::replace(&mut self.current, next);
        self.previous = Some(previous.electors);
        self.is_in_force = false;
        self.agreed_since = None;
    }

    /// Records the number of the electorate that a peer uses.
    pub(crate) fn record_number(&mut self, now: Timestamp, from: PeerId, number: u32) {
        if let Some(highest) = self.received_numbers.get_mut(from.0) {
            *highest = number.max(*highest);
        }
        self.update(now);
    }

    /// Puts the current electorate in force once electors have agreed on it for `agreement_duration`.
    pub(crate) fn update(&mut self, now: Timestamp) {
        if self.is_in_force {
            return;
        }
        let since = *self.agreed_since.get_or_insert(now);
        if !self.is_agreed() {
            self.agreed_since = None;
        } else if now - since >= self.agreement_duration {
            self.is_in_force = true;
        }
    }

    /// Whether enough electors are known to use the current electorate.
    fn is_agreed(&self) -> bool {
        let electors = self.electors();
        let agreeing: BTreeSet<PeerId> = electors
            .into_iter()
            .filter(|elector| self.uses_current(*elector))
            .collect();
        if self.previous.is_some() {
            return self.is_reached(&agreeing);
        }
        // The previous electorate is unknown, but differs by one member. So one elector more than a majority of the current electorate
        // includes a majority of any possible predecessor.
        let members = self.current.electors.len();
        agreeing.len() > (members / 2 + 1).min(members - 1)
    }

    fn uses_current(&self, elector: PeerId) -> bool {
        let highest = self.received_numbers.get(elector.0);
        elector == self.local_peer
            || highest.is_some_and(|number| *number >= self.current.number.max(1))
    }
}
