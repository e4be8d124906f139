//! An elector grants each lease to one gateway at a time, for a limited time measured by the elector's own clock. All its state is in
//! memory, so after a restart it grants nothing until every grant from before the restart has expired.

use std::collections::{BTreeMap, VecDeque};

use harrierdock_types::{PeerId, TimeDelta, Timestamp};

use crate::{Epoch, LeaseName};

/// How many candidates an elector keeps for each lease: the candidates with the lowest ranks. Bounds the elector's memory in a fleet of any
/// size.
pub(crate) const MAX_CANDIDATES: usize = 8;
/// How many candidates try as soon as the lease should be free. The candidates behind them probe rarely.
pub(crate) const NEXT_CANDIDATES: usize = 2;
/// How many released epochs an elector keeps for each lease: more than can be in transit on a slow path at once.
const MAX_RELEASED_EPOCHS: usize = 8;

/// One process of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Requester {
    /// The gateway that sent the request.
    pub peer: PeerId,
    /// The incarnation of the gateway's process.
    pub incarnation: u64,
}

/// A request for a grant, or for its renewal.
#[derive(Clone, Copy, Debug)]
pub struct AcquireRequest {
    /// The process that the grant is for.
    pub requester: Requester,
    /// The epoch that the requester proposed.
    pub epoch: Epoch,
    /// For how long the grant is to last, by the elector's clock.
    pub lease_duration: TimeDelta,
    /// Whether the requester already holds the lease, granted by a majority.
    pub is_renewal: bool,
}

/// An elector's reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectorReply {
    /// The elector doesn't answer: it grants nothing yet after its start, or the lease isn't configured.
    NoReply,
    /// The elector has given the promise or grant.
    Accepted,
    /// The elector gives no promise or grant now.
    Rejected(Rejection),
}

/// Why an elector gives no promise or grant now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The newest epoch that the elector knows of.
    pub newest: Epoch,
    /// How long the grant of another gateway still lasts; zero without such a grant.
    pub remaining: TimeDelta,
    /// The gateway that has this elector's grant; `None` if no gateway has it.
    pub holder: Option<PeerId>,
}

/// For how long an elector keeps a candidate after its last message. The first [`NEXT_CANDIDATES`] by rank have the timeout `next`; the
/// candidates behind them probe rarely and have the longer timeout `later`.
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
    last_message_at: Timestamp,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct LeaseEntry {
    /// The newest known epoch; older proposals are rejected.
    newest: Epoch,
    /// Which process may acquire the lease in the newest epoch.
    promised_to: Option<Requester>,
    grant: Option<Grant>,
    /// The epochs released most recently. Without them, a late duplicate of a renewal would renew a released grant and delay the next
    /// holder.
    released: VecDeque<Epoch>,
    /// Candidates by rank.
    candidates: BTreeMap<u64, Candidate>,
}

/// The grants and promises of one elector.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Elector {
    /// Before this time, a grant that this elector gave before its restart may still be valid, and a new grant could make a second
    /// holder. The cost: if all electors restart at once, no lease has a holder for one lease duration.
    no_grants_until: Timestamp,
    /// Proposals need a higher epoch. So an epoch can't be reused after all electors that knew it have restarted.
    epoch_floor: Epoch,
    longest_lease: TimeDelta,
    entries: BTreeMap<LeaseName, LeaseEntry>,
}

impl Elector {
    /// `epoch_floor` is the Unix time in milliseconds at `no_grants_until`; requests for more than `longest_lease` are rejected.
    pub fn new(
        leases: &[LeaseName],
        no_grants_until: Timestamp,
        epoch_floor: Epoch,
        longest_lease: TimeDelta,
    ) -> Elector {
        let entries = leases
            .iter()
            .map(|lease| (*lease, LeaseEntry::default()))
            .collect();
        Elector {
            no_grants_until,
            epoch_floor,
            longest_lease,
            entries,
        }
    }

    pub(crate) fn no_grants_until(&self) -> Timestamp {
        self.no_grants_until
    }

    pub(crate) fn newest_epoch(&self, lease: LeaseName) -> Epoch {
        self.entries
            .get(&lease)
            .map_or(Epoch(0), |entry| entry.newest)
    }

    /// Records an epoch from a message. A newer epoch cancels the current promise.
    pub(crate) fn learn_epoch(&mut self, lease: LeaseName, epoch: Epoch) {
        if let Some(entry) = self.entries.get_mut(&lease) {
            if epoch > entry.newest {
                entry.newest = epoch;
                entry.promised_to = None;
            }
        }
    }

    /// This elector's grant of a lease; `None` if there is none or it has expired.
    pub(crate) fn grant_in_force(&self, now: Timestamp, lease: LeaseName) -> Option<GrantInForce> {
        let grant = self.entries.get(&lease)?.grant?;
        (now < grant.expires_at).then_some(GrantInForce {
            holder: grant.to.peer,
            expires_at: grant.expires_at,
        })
    }

    fn active_entry(&mut self, now: Timestamp, lease: LeaseName) -> Option<&mut LeaseEntry> {
        if now < self.no_grants_until {
            return None;
        }
        self.entries.get_mut(&lease)
    }

    /// Promises an epoch to a requester, unless another gateway has the grant or the epoch is too old. `transferred_epoch` is the epoch
    /// of the holder that transferred the lease to the requester, if one did.
    pub fn prepare(
        &mut self,
        now: Timestamp,
        lease: LeaseName,
        requester: Requester,
        epoch: Epoch,
        transferred_epoch: Option<Epoch>,
    ) -> ElectorReply {
        let epoch_floor = self.epoch_floor;
        let Some(entry) = self.active_entry(now, lease) else {
            return ElectorReply::NoReply;
        };
        let granted_epoch = entry.grant.map(|grant| grant.epoch);
        if let Some(transferred) =
            transferred_epoch.filter(|transferred_epoch| granted_epoch == Some(*transferred_epoch))
        {
            entry.release(transferred);
        }
        if let Some(rejection) = entry.rejection_by_grant(now, requester) {
            return ElectorReply::Rejected(rejection);
        }
        let newest = entry.newest.max(epoch_floor);
        if epoch > newest {
            entry.promise(epoch, requester);
            return ElectorReply::Accepted;
        }
        if entry.is_promised(epoch, requester) {
            return ElectorReply::Accepted;
        }
        ElectorReply::Rejected(Rejection {
            newest,
            remaining: TimeDelta::ZERO,
            holder: None,
        })
    }

    /// Grants or renews a lease from now on. A renewing gateway has held the lease without a break, so no proposal with a later promise
    /// can have succeeded. A renewal is therefore rejected for another gateway's grant, but not for a promise.
    pub fn acquire(
        &mut self,
        now: Timestamp,
        lease: LeaseName,
        request: AcquireRequest,
    ) -> ElectorReply {
        let longest_lease = self.longest_lease;
        let Some(entry) = self.active_entry(now, lease) else {
            return ElectorReply::NoReply;
        };
        let AcquireRequest {
            requester,
            epoch,
            lease_duration,
            is_renewal,
        } = request;
        if let Some(rejection) = entry.rejection_by_grant(now, requester) {
            return ElectorReply::Rejected(rejection);
        }
        // A first grant needs a promise, so an older epoch can't follow a newer one. A restart that loses the newer epoch also loses the
        // promise to the older one. If the prepare message was lost, this elector grants the lease at the first renewal.
        let is_promised = entry.is_promised(epoch, requester);
        // A longer lease could still be valid when this elector starts to grant again after a restart.
        let is_bounded = TimeDelta::ZERO < lease_duration && lease_duration <= longest_lease;
        let is_older = entry
            .grant
            .is_some_and(|grant| grant.to == requester && grant.epoch > epoch);
        let is_released = entry.released.contains(&epoch);
        if !(is_promised || is_renewal) || is_released || !is_bounded || is_older {
            return ElectorReply::Rejected(Rejection {
                newest: entry.newest,
                remaining: TimeDelta::ZERO,
                holder: None,
            });
        }
        if epoch > entry.newest {
            entry.promise(epoch, requester);
        }
        entry.grant = Some(Grant {
            to: requester,
            epoch,
            expires_at: now + lease_duration,
        });
        ElectorReply::Accepted
    }

    /// Releases the requester's grant or promise of this epoch. Returns whether there was such a grant.
    pub fn release(&mut self, lease: LeaseName, requester: Requester, epoch: Epoch) -> bool {
        let Some(entry) = self.entries.get_mut(&lease) else {
            return false;
        };
        let was_granted = entry
            .grant
            .is_some_and(|grant| grant.to == requester && grant.epoch == epoch);
        if was_granted || entry.is_promised(epoch, requester) {
            entry.release(epoch);
        }
        was_granted
    }

    /// Records a message of a candidate. Returns how many candidates rank before it.
    pub(crate) fn record_candidate(
        &mut self,
        now: Timestamp,
        lease: LeaseName,
        candidate: CandidateRank,
        timeouts: CandidateTimeouts,
    ) -> usize {
        let Some(entry) = self.entries.get_mut(&lease) else {
            return MAX_CANDIDATES;
        };
        let CandidateRank { rank, peer } = candidate;
        entry.remove_stale_candidates(now, timeouts);
        entry.candidates.insert(
            rank,
            Candidate {
                peer,
                last_message_at: now,
            },
        );
        if entry.candidates.len() > MAX_CANDIDATES {
            entry.candidates.pop_last();
        }
        entry.candidates.range(..rank).count().min(MAX_CANDIDATES)
    }

    /// The lowest-ranked candidate with a message within the timeout, other than `except`.
    pub(crate) fn first_candidate(
        &self,
        now: Timestamp,
        lease: LeaseName,
        except: PeerId,
        timeout: TimeDelta,
    ) -> Option<PeerId> {
        self.entries
            .get(&lease)?
            .candidates
            .values()
            .find(|candidate| {
                candidate.peer != except && now - candidate.last_message_at <= timeout
            })
            .map(|candidate| candidate.peer)
    }
}

impl LeaseEntry {
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

    /// Rejects the requester while another process has this elector's grant, even if the requester's epoch is newer. Otherwise there
    /// could be two holders.
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

    fn remove_stale_candidates(&mut self, now: Timestamp, timeouts: CandidateTimeouts) {
        let mut kept_count = 0;
        self.candidates.retain(|_, candidate| {
            let timeout = if kept_count < NEXT_CANDIDATES {
                timeouts.next
            } else {
                timeouts.later
            };
            let is_kept = now - candidate.last_message_at <= timeout;
            kept_count += usize::from(is_kept);
            is_kept
        });
    }
}
