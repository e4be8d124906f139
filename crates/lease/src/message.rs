//! Messages between gateways about leases. The order of fields and variants is part of the wire format.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::LeaseName;

/// A fencing token. Each holder of a lease has a higher epoch than the holders before it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A message between two gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The start of the sender's process, as Unix time in milliseconds.
    pub incarnation: u64,
    /// The number of the sender's electorate.
    pub electorate_number: u32,
    /// A checksum of that electorate's members. Gateways with different members under the same number drop each other's messages.
    pub electorate_digest: u8,
    /// The request, reply or notification.
    pub body: MessageBody,
}

/// Identifies the proposal that a reply answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProposalId {
    /// The requester's epoch.
    pub epoch: Epoch,
    /// The requester's incarnation in 16 bits.
    pub requester_tag: u16,
}

/// The holder of a lease as known to the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The held lease.
    pub lease: LeaseName,
    /// The holder's epoch.
    pub epoch: Epoch,
    /// The hash of the holder's name; 0 if the holder is unknown.
    pub holder_hash: u32,
    /// How long the lease still lasts as far as the sender knows; 0 if it has expired.
    pub remaining_ms: u16,
}

/// The kinds of lease messages, each about one lease except `KnownLeases`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Requests a promise of the lease in this epoch from an elector.
    Prepare {
        /// The lease to promise.
        lease: LeaseName,
        /// The proposed epoch.
        epoch: Epoch,
        /// The epoch of the holder that transferred the lease to the sender; `None` without a transfer.
        transferred_epoch: Option<Epoch>,
    },
    /// The elector promises the lease in the proposed epoch, and rejects proposals with older epochs from now on.
    Promised {
        /// The promised lease.
        lease: LeaseName,
        /// The accepted proposal.
        proposal: ProposalId,
    },
    /// Requests a grant of the lease, or the renewal of a grant, from an elector.
    Acquire {
        /// The lease to grant.
        lease: LeaseName,
        /// The promised epoch; in a renewal, the epoch in which the sender holds the lease.
        epoch: Epoch,
        /// 1 for the first grant; renewals have higher numbers.
        round: u16,
        /// For how long the grant is to last by the elector's clock.
        lease_ms: u16,
    },
    /// The elector has granted the lease.
    Granted {
        /// The granted lease.
        lease: LeaseName,
        /// The proposal that led to the grant.
        proposal: ProposalId,
        /// The round of the answered request.
        round: u16,
        /// The hash of the next candidate's name; `None` if none is known or this round doesn't report it.
        next_candidate_hash: Option<u32>,
    },
    /// The elector gives no promise or grant now.
    Rejected {
        /// The requested lease.
        lease: LeaseName,
        /// The rejected proposal.
        proposal: ProposalId,
        /// The newest epoch that the elector knows of.
        epoch: Epoch,
        /// How long the grant of another gateway still lasts; 0 without such a grant.
        remaining_ms: u16,
        /// How many candidates rank before the requester.
        candidates_before: u8,
        /// The hash of the name of the gateway that has the elector's grant; 0 if no gateway has it.
        holder_hash: u32,
    },
    /// The holder gives up the lease, or a candidate returns the grants of a failed acquisition.
    Release {
        /// The lease to release.
        lease: LeaseName,
        /// The epoch of the grants and promises to release.
        epoch: Epoch,
    },
    /// The holder gives up the lease, and the receiver is to acquire it.
    Transfer {
        /// The lease to acquire.
        lease: LeaseName,
        /// The epoch of the holder that gives up the lease.
        epoch: Epoch,
    },
    /// Gossip: the holders that the sender knows of.
    KnownLeases {
        /// One record for each lease, at most `codec::MAX_KNOWN_LEASES`.
        records: Vec<LeaseRecord>,
    },
}

impl MessageBody {
    /// The highest epoch in the message; 0 if there is none.
    pub(crate) fn highest_epoch(&self) -> Epoch {
        match self {
            MessageBody::Prepare {
                epoch,
                transferred_epoch,
                ..
            } => {
                transferred_epoch.map_or(*epoch, |transferred_epoch| transferred_epoch.max(*epoch))
            }
            MessageBody::Acquire { epoch, .. }
            | MessageBody::Release { epoch, .. }
            | MessageBody::Transfer { epoch, .. } => *epoch,
            MessageBody::Promised { proposal, .. } | MessageBody::Granted { proposal, .. } => {
                proposal.epoch
            }
            MessageBody::Rejected {
                proposal, epoch, ..
            } => proposal.epoch.max(*epoch),
            MessageBody::KnownLeases { records } => records
                .iter()
                .map(|record| record.epoch)
                .max()
                .unwrap_or_default(),
        }
    }
}
