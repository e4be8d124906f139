//! Whose votes count. Any majority of an electorate meets any majority of the next, since they differ by one
//! member; so votes may be counted under both at once. Two steps apart they need not meet: an electorate is
//! only followed by another once most electors of it, and of the one before, have been heard to have it.

use std::collections::BTreeSet;

use harrierdock_types::{TimeDelta, Timestamp};

use crate::{Electorate, Misfit, NodeIx};

pub struct Voters {
    now: Electorate,
    /// The members before the last change; none where this process has not seen one.
    before: Option<Vec<NodeIx>>,
    in_force: bool,
    agreed: Option<Timestamp>,
    /// By place: the highest number heard of each gateway.
    heard: Vec<u32>,
    /// For how long agreement has to last: until each vote given under the electorate before the last has
    /// lapsed.
    lasting: TimeDelta,
    own: NodeIx,
}

/// What an electorate is besides its number, in few bits.
pub fn digest(electors: &[NodeIx], ids: &[u32]) -> u8 {
    // Told by id, so that it stays when the list of names grows; in any order.
    let mixed = electors
        .iter()
        .filter_map(|e| ids.get(*e))
        .map(|id| id.wrapping_mul(0x9e37_79b1));
    (mixed.fold(0u32, |sum, id| sum.wrapping_add(id ^ (id >> 15))) >> 11) as u8
}

fn majority(of: &[NodeIx], votes: &BTreeSet<NodeIx>) -> bool {
    2 * of.iter().filter(|e| votes.contains(e)).count() > of.len()
}

impl Voters {
    pub fn new(told: Electorate, nodes: usize, own: NodeIx, lasting: TimeDelta) -> Voters {
        let heard = vec![0; nodes];
        Voters {
            now: told,
            before: None,
            in_force: false,
            agreed: None,
            heard,
            lasting,
            own,
        }
    }

    pub fn told(&self) -> &Electorate {
        &self.now
    }

    pub fn in_force(&self) -> bool {
        self.in_force
    }

    /// All that are to be asked.
    pub fn all(&self) -> Vec<NodeIx> {
        let before = self.before.iter().flatten().filter(|_| !self.in_force);
        let all: BTreeSet<NodeIx> = self.now.electors.iter().chain(before).copied().collect();
        all.into_iter().collect()
    }

    pub fn votes(&self, node: NodeIx) -> bool {
        self.all().contains(&node)
    }

    /// Whether these are most of the electorate, and of the one before until the change is in force.
    pub fn most(&self, votes: &BTreeSet<NodeIx>) -> bool {
        let before = self.before.as_ref().filter(|_| !self.in_force);
        majority(&self.now.electors, votes) && before.is_none_or(|before| majority(before, votes))
    }

    /// Whether votes asked or given under this number can be counted together with ours.
    pub fn near(&self, number: u32) -> bool {
        number.abs_diff(self.now.number) <= 1
    }

    pub fn may_follow(&self, next: &Electorate) -> Result<(), Misfit> {
        let (told, held) = (next.number, self.now.number);
        let (new, old): (BTreeSet<_>, BTreeSet<_>) = (
            next.electors.iter().collect(),
            self.now.electors.iter().collect(),
        );
        match new.symmetric_difference(&old).count() {
            0 if told == held => Ok(()),
            _ if Some(told) != held.checked_add(1) => Err(Misfit::NotTheNext { told, held }),
            1 if self.in_force => Ok(()),
            1 => Err(Misfit::TooSoon { held }),
            _ => Err(Misfit::NotByOne { told, held }),
        }
    }

    /// Takes another electorate, if it may follow.
    pub fn follow(&mut self, next: Electorate) {
        if next.number == self.now.number || self.may_follow(&next).is_err() {
            return;
        }
        self.before = Some(std::mem::replace(&mut self.now, next).electors);
        (self.in_force, self.agreed) = (false, None);
    }

    pub fn heard(&mut self, now: Timestamp, from: NodeIx, number: u32) {
        if let Some(heard) = self.heard.get_mut(from) {
            *heard = number.max(*heard);
        }
        self.judge(now);
    }

    pub fn judge(&mut self, now: Timestamp) {
        if self.in_force {
            return;
        }
        let own = self.now.number;
        let has =
            |e: &&NodeIx| **e == self.own || self.heard.get(**e).is_some_and(|n| *n >= own.max(1));
        let have: BTreeSet<NodeIx> = self.all().iter().filter(has).copied().collect();
        let agreed = match &self.before {
            Some(_) => self.most(&have),
            // Where the one before is not known, one more than most of this one are most of any it can have
            // been.
            None => have.len() > (self.now.electors.len() / 2 + 1).min(self.now.electors.len() - 1),
        };
        let since = *self.agreed.get_or_insert(now);
        if !agreed {
            self.agreed = None;
        } else if now - since >= self.lasting {
            self.in_force = true;
        }
    }
}
