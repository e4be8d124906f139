//! Whose grants count. Any majority of an electorate meets any majority of the next, since they differ by one member; so grants may be
//! counted under both at once. Two steps apart they need not meet: an electorate is only followed by another once most electors of it,
//! and of the one before, have been heard to have it.

use std::collections::BTreeSet;

use harrierdock_types::{PeerId, TimeDelta, Timestamp};

use crate::{ConfigurationError, Electorate};

/// The current electorate, the one before, and how far the change has come.
pub(crate) struct Quorum {
    current: Electorate,
    /// The members before the last change; none where this process has not seen one.
    previous: Option<Vec<PeerId>>,
    in_force: bool,
    agreed_since: Option<Timestamp>,
    /// By peer: the highest electorate number heard of it.
    heard_numbers: Vec<u32>,
    /// For how long agreement has to last: until each grant given under the electorate before the last has expired.
    agreement_duration: TimeDelta,
    local_peer: PeerId,
}

/// What an electorate is besides its number, in 8 bits; by name, in any order, so that it stays when the list of names grows.
pub(crate) fn electorate_digest(electors: &[PeerId], name_hashes: &[u32]) -> u8 {
    let mixed = electors
        .iter()
        .filter_map(|elector| name_hashes.get(elector.0))
        .map(|hash| hash.wrapping_mul(0x9e37_79b1));
    let sum = mixed.fold(0u32, |sum, hash| sum.wrapping_add(hash ^ (hash >> 15)));
    (sum >> 11) as u8
}

fn is_majority(electors: &[PeerId], votes: &BTreeSet<PeerId>) -> bool {
    2 * electors.iter().filter(|e| votes.contains(e)).count() > electors.len()
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
            in_force: false,
            agreed_since: None,
            heard_numbers: vec![0; peer_count],
            agreement_duration,
            local_peer,
        }
    }

    pub(crate) fn electorate(&self) -> &Electorate {
        &self.current
    }

    pub(crate) fn is_in_force(&self) -> bool {
        self.in_force
    }

    /// The previous electorate's members, while they have to agree as well.
    fn previous_in_force(&self) -> Option<&Vec<PeerId>> {
        self.previous.as_ref().filter(|_| !self.in_force)
    }

    /// All electors that are to be asked, in ascending order.
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

    /// Whether these are most of the electorate, and of the one before until the change is in force.
    pub(crate) fn is_reached(&self, votes: &BTreeSet<PeerId>) -> bool {
        is_majority(&self.current.electors, votes)
            && self
                .previous_in_force()
                .is_none_or(|previous| is_majority(previous, votes))
    }

    /// Whether grants under this electorate number can be counted together with ours.
    pub(crate) fn is_compatible(&self, number: u32) -> bool {
        number.abs_diff(self.current.number) <= 1
    }

    /// Whether this electorate may follow the current one now.
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
            1 if self.in_force => Ok(()),
            1 => Err(ConfigurationError::ElectorateNotInForce { current }),
            _ => Err(ConfigurationError::ElectorateChangeNotByOne { proposed, current }),
        }
    }

    /// Takes another electorate, if it may follow.
    pub(crate) fn follow(&mut self, next: Electorate) {
        if next.number == self.current.number || self.check_successor(&next).is_err() {
            return;
        }
        let previous = std::mem::replace(&mut self.current, next);
        self.previous = Some(previous.electors);
        self.in_force = false;
        self.agreed_since = None;
    }

    /// Records the electorate number that a peer has.
    pub(crate) fn record_number(&mut self, now: Timestamp, from: PeerId, number: u32) {
        if let Some(heard) = self.heard_numbers.get_mut(from.0) {
            *heard = number.max(*heard);
        }
        self.update(now);
    }

    /// Puts the current electorate in force once it has been agreed on for long enough.
    pub(crate) fn update(&mut self, now: Timestamp) {
        if self.in_force {
            return;
        }
        let since = *self.agreed_since.get_or_insert(now);
        if !self.is_agreed() {
            self.agreed_since = None;
        } else if now - since >= self.agreement_duration {
            self.in_force = true;
        }
    }

    /// Whether enough electors have been heard to have the current electorate.
    fn is_agreed(&self) -> bool {
        let electors = self.electors();
        let have: BTreeSet<PeerId> = electors
            .into_iter()
            .filter(|elector| self.has_current(*elector))
            .collect();
        if self.previous.is_some() {
            return self.is_reached(&have);
        }
        // Where the one before is not known, one more than most of this one are most of any it can have been.
        let members = self.current.electors.len();
        have.len() > (members / 2 + 1).min(members - 1)
    }

    fn has_current(&self, elector: PeerId) -> bool {
        let heard = self.heard_numbers.get(elector.0);
        elector == self.local_peer
            || heard.is_some_and(|number| *number >= self.current.number.max(1))
    }
}
