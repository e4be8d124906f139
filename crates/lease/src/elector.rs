//! An elector: grants each lease to one gateway at a time, for a limited time, and forgets the grant only by its own clock. All is kept
//! in memory, so an elector that has started anew grants nothing until whatever it granted before has expired.

use std::collections::{BTreeMap, VecDeque};

use harrierdock_types::{PeerId, TimeDelta, Timestamp};

use crate::{Epoch, LeaseName};

/// Candidates that an elector remembers for each lease, the first in line. Bounds its memory whatever the size of the fleet.
pub(crate) const MAX_CANDIDATES: usize = 8;
/// Candidates that look as soon as the lease they know of expires; those behind look seldom.
pub(crate) const NEXT_CANDIDATES: usize = 2;
/// Released epochs that an elector remembers for each lease: more than can be under way on a slow path at once.
const MAX_RELEASED_EPOCHS: usize = 8;

/// One process of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Requester {
    /// The gateway.
    pub peer: PeerId,
    /// Its process.
    pub incarnation: u64,
}

/// A request for a grant, or for its renewal.
#[derive(Clone, Copy, Debug)]
pub struct AcquireRequest {
    /// Who asks.
    pub requester: Requester,
    /// The epoch.
    pub epoch: Epoch,
    /// For how long.
    pub lease_duration: TimeDelta,
    /// Whether the requester holds the lease already, by a majority's grants.
    pub is_renewal: bool,
}

/// An elector's reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectorReply {
    /// None: the elector has started lately, or does not know the lease.
    NoReply,
    /// Promised or granted.
    Accepted,
    /// Not now.
    Rejected(Rejection),
}

/// Why an elector grants nothing now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The newest epoch that the elector knows of.
    pub newest: Epoch,
    /// For how long another gateway holds the lease.
    pub remaining: TimeDelta,
    /// That gateway.
    pub holder: Option<PeerId>,
}

/// For how long a candidate is remembered without being heard: the next ones look often, later ones seldom.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CandidateTimeouts {
    pub(crate) next: TimeDelta,
    pub(crate) later: TimeDelta,
}

/// A candidate and its rank.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CandidateRank {
    pub(crate) rank: u64,
    pub(crate) peer: PeerId,
}

/// A grant in force until it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GrantInForce {
    pub(crate) holder: PeerId,
    pub(crate) expires_at: Timestamp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    to: Requester,
    epoch: Epoch,
    expires_at: Timestamp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Candidate {
    peer: PeerId,
    heard_at: Timestamp,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct LeaseVote {
    /// No older epoch may begin.
    newest: Epoch,
    /// Who may begin the newest epoch.
    promised_to: Option<Requester>,
    grant: Option<Grant>,
    /// The last that holders released: a late copy of a renewal would hold the next holder up.
    released: VecDeque<Epoch>,
    candidates: BTreeMap<u64, Candidate>,
}

/// The grants and promises of one elector.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Elector {
    /// A grant given before this start and forgotten with it could make a second holder. The cost: after a start of all electors at
    /// once nothing is held for one lease.
    no_grants_until: Timestamp,
    /// No epoch is older than this start, so that electors which have all forgotten an epoch don't begin it anew.
    epoch_floor: Epoch,
    longest_lease: TimeDelta,
    votes: BTreeMap<LeaseName, LeaseVote>,
}

impl Elector {
    /// `epoch_floor` is Unix time in milliseconds at the end of the silence; `longest_lease` is the longest that may be granted.
    pub fn new(
        leases: &[LeaseName],
        no_grants_until: Timestamp,
        epoch_floor: Epoch,
        longest_lease: TimeDelta,
    ) -> Elector {
        let votes = leases
            .iter()
            .map(|lease| (*lease, LeaseVote::default()))
            .collect();
        Elector {
            no_grants_until,
            epoch_floor,
            longest_lease,
            votes,
        }
    }

    pub(crate) fn no_grants_until(&self) -> Timestamp {
        self.no_grants_until
    }

    pub(crate) fn newest_epoch(&self, lease: LeaseName) -> Epoch {
        self.votes.get(&lease).map_or(Epoch(0), |vote| vote.newest)
    }

    /// Records an epoch that this gateway has heard of.
    pub(crate) fn learn_epoch(&mut self, lease: LeaseName, epoch: Epoch) {
        if let Some(vote) = self.votes.get_mut(&lease) {
            if epoch > vote.newest {
                vote.newest = epoch;
                vote.promised_to = None;
            }
        }
    }

    /// This elector's grant of a lease, if it has not expired.
    pub(crate) fn grant_in_force(&self, now: Timestamp, lease: LeaseName) -> Option<GrantInForce> {
        let grant = self.votes.get(&lease)?.grant?;
        (now < grant.expires_at).then_some(GrantInForce {
            holder: grant.to.peer,
            expires_at: grant.expires_at,
        })
    }

    fn active_vote(&mut self, now: Timestamp, lease: LeaseName) -> Option<&mut LeaseVote> {
        if now < self.no_grants_until {
            return None;
        }
        self.votes.get_mut(&lease)
    }

    /// Promises an epoch to a requester, unless another gateway holds the lease or a newer epoch is promised. `transferred_epoch` is the epoch of
    /// a holder that has transferred the lease to the requester.
    pub fn prepare(
        &mut self,
        now: Timestamp,
        lease: LeaseName,
        requester: Requester,
        epoch: Epoch,
        transferred_epoch: Option<Epoch>,
    ) -> ElectorReply {
        let epoch_floor = self.epoch_floor;
        let Some(vote) = self.active_vote(now, lease) else {
            return ElectorReply::NoReply;
        };
        let granted_epoch = vote.grant.map(|grant| grant.epoch);
        if let Some(transferred) =
            transferred_epoch.filter(|transferred_epoch| granted_epoch == Some(*transferred_epoch))
        {
            vote.release(transferred);
        }
        if let Some(rejection) = vote.rejection_by_grant(now, requester) {
            return ElectorReply::Rejected(rejection);
        }
        let newest = vote.newest.max(epoch_floor);
        if epoch > newest {
            vote.promise(epoch, requester);
            return ElectorReply::Accepted;
        }
        if vote.is_promised(epoch, requester) {
            return ElectorReply::Accepted;
        }
        ElectorReply::Rejected(Rejection {
            newest,
            remaining: TimeDelta::ZERO,
            holder: None,
        })
    }

    /// Grants a lease from now on. A gateway that renews has held it all along, so no promise given since can have come to anything:
    /// it is bound by another's grant only.
    pub fn acquire(
        &mut self,
        now: Timestamp,
        lease: LeaseName,
        request: AcquireRequest,
    ) -> ElectorReply {
        let longest_lease = self.longest_lease;
        let Some(vote) = self.active_vote(now, lease) else {
            return ElectorReply::NoReply;
        };
        let AcquireRequest {
            requester,
            epoch,
            lease_duration,
            is_renewal,
        } = request;
        if let Some(rejection) = vote.rejection_by_grant(now, requester) {
            return ElectorReply::Rejected(rejection);
        }
        // No older epoch comes after a newer one: a start in between has forgotten the newer one, but the promise to the older one as
        // well. Where the prepare message was lost on its way here, this grant comes with the first renewal.
        let is_promised = vote.is_promised(epoch, requester);
        // A longer lease would outlast this elector's silence after a start.
        let is_bounded = TimeDelta::ZERO < lease_duration && lease_duration <= longest_lease;
        let is_older = vote
            .grant
            .is_some_and(|grant| grant.to == requester && grant.epoch > epoch);
        let is_released = vote.released.contains(&epoch);
        if !(is_promised || is_renewal) || is_released || !is_bounded || is_older {
            return ElectorReply::Rejected(Rejection {
                newest: vote.newest,
                remaining: TimeDelta::ZERO,
                holder: None,
            });
        }
        if epoch > vote.newest {
            vote.promise(epoch, requester);
        }
        vote.grant = Some(Grant {
            to: requester,
            epoch,
            expires_at: now + lease_duration,
        });
        ElectorReply::Accepted
    }

    /// The holder gives the lease up. Returns whether this elector had granted it.
    pub fn release(&mut self, lease: LeaseName, requester: Requester, epoch: Epoch) -> bool {
        let Some(vote) = self.votes.get_mut(&lease) else {
            return false;
        };
        let was_granted = vote
            .grant
            .is_some_and(|grant| grant.to == requester && grant.epoch == epoch);
        if was_granted || vote.is_promised(epoch, requester) {
            vote.release(epoch);
        }
        was_granted
    }

    /// Records that a candidate was heard. Returns how many are in line before it.
    pub(crate) fn record_candidate(
        &mut self,
        now: Timestamp,
        lease: LeaseName,
        candidate: CandidateRank,
        timeouts: CandidateTimeouts,
    ) -> usize {
        let Some(vote) = self.votes.get_mut(&lease) else {
            return MAX_CANDIDATES;
        };
        let CandidateRank { rank, peer } = candidate;
        vote.forget_silent_candidates(now, timeouts);
        vote.candidates.insert(
            rank,
            Candidate {
                peer,
                heard_at: now,
            },
        );
        if vote.candidates.len() > MAX_CANDIDATES {
            vote.candidates.pop_last();
        }
        vote.candidates.range(..rank).count().min(MAX_CANDIDATES)
    }

    /// The first candidate in line heard within the timeout, other than this one.
    pub(crate) fn first_candidate(
        &self,
        now: Timestamp,
        lease: LeaseName,
        except: PeerId,
        timeout: TimeDelta,
    ) -> Option<PeerId> {
        self.votes
            .get(&lease)?
            .candidates
            .values()
            .find(|candidate| candidate.peer != except && now - candidate.heard_at <= timeout)
            .map(|candidate| candidate.peer)
    }
}

impl LeaseVote {
    fn promise(&mut self, epoch: Epoch, requester: Requester) {
        self.newest = epoch;
        self.promised_to = Some(requester);
    }

    fn is_promised(&self, epoch: Epoch, requester: Requester) -> bool {
        self.newest == epoch && self.promised_to == Some(requester)
    }

    fn release(&mut self, epoch: Epoch) {
        if self.grant.is_some_and(|grant| grant.epoch == epoch) {
            self.grant = None;
        }
        self.released.push_back(epoch);
        if self.released.len() > MAX_RELEASED_EPOCHS {
            self.released.pop_front();
        }
    }

    /// While one gateway has this grant, no other gets it, whatever its epoch: there would be two holders.
    fn rejection_by_grant(&self, now: Timestamp, requester: Requester) -> Option<Rejection> {
        let grant = self
            .grant
            .filter(|grant| now < grant.expires_at && grant.to != requester)?;
        Some(Rejection {
            newest: self.newest.max(grant.epoch),
            remaining: grant.expires_at - now,
            holder: Some(grant.to.peer),
        })
    }

    fn forget_silent_candidates(&mut self, now: Timestamp, timeouts: CandidateTimeouts) {
        let mut kept = 0;
        self.candidates.retain(|_, candidate| {
            let timeout = if kept < NEXT_CANDIDATES {
                timeouts.next
            } else {
                timeouts.later
            };
            let stays = now - candidate.heard_at <= timeout;
            kept += usize::from(stays);
            stays
        });
    }
}
