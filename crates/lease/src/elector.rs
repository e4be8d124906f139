//! An elector: lets one gateway at a time have a duty, for so long, and forgets it only by its own clock. All
//! is kept in memory: so one that has started anew keeps silent until whatever it gave before has lapsed.

use std::collections::{BTreeMap, VecDeque};

use harrierdock_types::{TimeDelta, Timestamp};

use crate::{Duty, Epoch, NodeIx};

/// Waiting gateways that an elector knows by duty, best ranks first. Guards against growing with the fleet.
pub const WAITING: usize = 8;
/// Those of them that look as soon as the lease they know of runs out; later ones in turn look seldom.
pub const NEAR: usize = 2;
/// Holdings given up that an elector remembers by duty: more than can be under way on a slow road at once.
const CLOSED: usize = 8;

/// A process of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Asker {
    pub node: NodeIx,
    pub incarnation: u64,
}

/// For how long one that waits is remembered without being heard: the first look often, later ones seldom.
#[derive(Clone, Copy, Debug)]
pub struct Lasts {
    pub near: TimeDelta,
    pub later: TimeDelta,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    to: Asker,
    epoch: Epoch,
    until: Timestamp,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Vote {
    /// No older epoch is let begin.
    newest: Epoch,
    /// Who may begin the newest.
    open_to: Option<Asker>,
    grant: Option<Grant>,
    /// The last that holders gave up: guards against a late copy of a renewal, which would hold the next one
    /// up.
    closed: VecDeque<Epoch>,
    /// By rank, when it was heard last.
    waiting: BTreeMap<u64, (NodeIx, Timestamp)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Silent,
    Yes,
    /// Not now: for how long another has it yet, and who.
    No {
        newest: Epoch,
        left: TimeDelta,
        holder: Option<NodeIx>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Elector {
    /// Guards against a second holder by a vote given before this start and forgotten with it. It harms a
    /// start of all at once: nothing is held for one lease.
    silent_until: Timestamp,
    /// Guards against an epoch begun anew by electors that have all forgotten it: none is older than this
    /// start.
    floor: Epoch,
    longest: TimeDelta,
    votes: BTreeMap<Duty, Vote>,
}

impl Elector {
    /// `floor` is Unix time in milliseconds at the end of the silence; `longest` is the longest lease given.
    pub fn new(
        duties: &[Duty],
        silent_until: Timestamp,
        floor: Epoch,
        longest: TimeDelta,
    ) -> Elector {
        let votes = duties.iter().map(|duty| (*duty, Vote::default())).collect();
        Elector {
            silent_until,
            floor,
            longest,
            votes,
        }
    }

    pub fn silent_until(&self) -> Timestamp {
        self.silent_until
    }

    pub fn newest(&self, duty: Duty) -> Epoch {
        self.votes.get(&duty).map_or(Epoch(0), |v| v.newest)
    }

    /// An epoch of which this gateway has heard.
    pub fn learn(&mut self, duty: Duty, epoch: Epoch) {
        if let Some(vote) = self.votes.get_mut(&duty) {
            if epoch > vote.newest {
                (vote.newest, vote.open_to) = (epoch, None);
            }
        }
    }

    /// Who has it by this elector's vote, and until when.
    pub fn granted(&self, now: Timestamp, duty: Duty) -> Option<(NodeIx, Timestamp)> {
        let grant = self.votes.get(&duty)?.grant.filter(|g| now < g.until)?;
        Some((grant.to.node, grant.until))
    }

    /// May this gateway begin this epoch?
    pub fn ask(
        &mut self,
        now: Timestamp,
        duty: Duty,
        by: Asker,
        epoch: Epoch,
        after: Option<Epoch>,
    ) -> Answer {
        let Some(vote) = self.votes.get_mut(&duty) else {
            return Answer::Silent;
        };
        if now < self.silent_until {
            return Answer::Silent;
        }
        if let Some(passed) = after.filter(|passed| vote.grant.is_some_and(|g| g.epoch == *passed))
        {
            vote.close(passed);
        }
        if let Some(no) = vote.taken(now, by) {
            return no;
        }
        let newest = vote.newest.max(self.floor);
        if epoch > newest {
            (vote.newest, vote.open_to) = (epoch, Some(by));
            return Answer::Yes;
        }
        match (epoch == vote.newest, vote.open_to) {
            (true, Some(open)) if open == by => Answer::Yes,
            _ => Answer::No {
                newest,
                left: TimeDelta::ZERO,
                holder: None,
            },
        }
    }

    /// Holds it from now on for a lease. One that renews has held it all along, so that no promise given
    /// since can have come to anything: it is bound by another's vote only.
    pub fn take(
        &mut self,
        now: Timestamp,
        duty: Duty,
        by: Asker,
        epoch: Epoch,
        lease: TimeDelta,
        renews: bool,
    ) -> Answer {
        let Some(vote) = self.votes.get_mut(&duty) else {
            return Answer::Silent;
        };
        if now < self.silent_until {
            return Answer::Silent;
        }
        if let Some(no) = vote.taken(now, by) {
            return no;
        }
        // Guards against an older epoch after a newer one: a start in between has forgotten the newer one,
        // but the promise to the older one as well. It harms a begin whose question was lost on its way here:
        // this vote comes with the first renewal.
        let begins = epoch == vote.newest && vote.open_to == Some(by);
        // Guards against a lease that outlasts this elector's silence after a start.
        let bounded = TimeDelta::ZERO < lease && lease <= self.longest;
        let older = vote.grant.is_some_and(|g| g.to == by && g.epoch > epoch);
        if !(begins || renews) || vote.closed.contains(&epoch) || !bounded || older {
            return Answer::No {
                newest: vote.newest,
                left: TimeDelta::ZERO,
                holder: None,
            };
        }
        if epoch > vote.newest {
            (vote.newest, vote.open_to) = (epoch, Some(by));
        }
        vote.grant = Some(Grant {
            to: by,
            epoch,
            until: now + lease,
        });
        Answer::Yes
    }

    /// The holder gives it up.
    pub fn release(&mut self, duty: Duty, by: Asker, epoch: Epoch) -> bool {
        let Some(vote) = self.votes.get_mut(&duty) else {
            return false;
        };
        let granted = vote.grant.is_some_and(|g| g.to == by && g.epoch == epoch);
        if granted || (vote.newest == epoch && vote.open_to == Some(by)) {
            vote.close(epoch);
        }
        granted
    }

    /// How many that wait are heard before this one, which is heard now.
    pub fn place(
        &mut self,
        now: Timestamp,
        duty: Duty,
        rank: u64,
        node: NodeIx,
        lasts: Lasts,
    ) -> usize {
        let Some(vote) = self.votes.get_mut(&duty) else {
            return WAITING;
        };
        let mut before = 0;
        vote.waiting.retain(|_, (_, heard)| {
            let lasting = if before < NEAR {
                lasts.near
            } else {
                lasts.later
            };
            let stays = now - *heard <= lasting;
            before += usize::from(stays);
            stays
        });
        vote.waiting.insert(rank, (node, now));
        if vote.waiting.len() > WAITING {
            vote.waiting.pop_last();
        }
        vote.waiting.range(..rank).count().min(WAITING)
    }

    /// The first that waits, other than this one.
    pub fn first(
        &self,
        now: Timestamp,
        duty: Duty,
        but: NodeIx,
        lasting: TimeDelta,
    ) -> Option<NodeIx> {
        let waiting = self.votes.get(&duty)?.waiting.values();
        let mut waiting = waiting.filter(|(node, heard)| *node != but && now - *heard <= lasting);
        waiting.next().map(|(node, _)| *node)
    }
}

impl Vote {
    fn close(&mut self, epoch: Epoch) {
        if self.grant.is_some_and(|g| g.epoch == epoch) {
            self.grant = None;
        }
        self.closed.push_back(epoch);
        if self.closed.len() > CLOSED {
            self.closed.pop_front();
        }
    }

    /// Guards against two holders: while one has this vote, no other gets it, whatever its epoch.
    fn taken(&self, now: Timestamp, by: Asker) -> Option<Answer> {
        let grant = self.grant.filter(|g| now < g.until && g.to != by)?;
        let (left, holder) = (grant.until - now, Some(grant.to.node));
        Some(Answer::No {
            newest: self.newest.max(grant.epoch),
            left,
            holder,
        })
    }
}
