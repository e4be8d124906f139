//! Messages between gateways about leases. The order of fields and variants is the order on the wire.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::LeaseName;

/// The fencing token of a holder: each that follows has a higher one.
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
    /// Of the sender's process: Unix time in milliseconds at its start.
    pub incarnation: u64,
    /// The number of the sender's electorate.
    pub electorate_number: u32,
    /// A checksum of its members: two that are configured with different electorates under one number count no grants of each
    /// other.
    pub electorate_digest: u8,
    /// What it says.
    pub body: MessageBody,
}

/// Which proposal a reply is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProposalId {
    /// The requester's epoch.
    pub epoch: Epoch,
    /// The requester's incarnation in 16 bits.
    pub requester_tag: u16,
}

/// What a gateway knows of a lease's holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The lease.
    pub lease: LeaseName,
    /// The holder's epoch.
    pub epoch: Epoch,
    /// The holder by the hash of its name; 0 if it is unknown.
    pub holder_hash: u32,
    /// For how long the lease lasts, by the sender's knowledge, in milliseconds.
    pub remaining_ms: u16,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// To an elector: would it grant the lease in this epoch?
    Prepare {
        /// The lease.
        lease: LeaseName,
        /// The proposed epoch.
        epoch: Epoch,
        /// The epoch of a holder that has transferred the lease to the sender.
        transferred_epoch: Option<Epoch>,
    },
    /// The elector would, and grants no older epoch from now on.
    Promised {
        /// The lease.
        lease: LeaseName,
        /// The proposal.
        proposal: ProposalId,
    },
    /// To an elector: grant the lease, or renew the grant.
    Acquire {
        /// The lease.
        lease: LeaseName,
        /// The epoch.
        epoch: Epoch,
        /// 1 for the first grant; renewals have higher numbers.
        round: u16,
        /// The lease's duration in milliseconds.
        lease_ms: u16,
    },
    /// The elector has granted the lease.
    Granted {
        /// The lease.
        lease: LeaseName,
        /// The proposal.
        proposal: ProposalId,
        /// The round that is answered.
        round: u16,
        /// The candidate that is next in line, by the hash of its name.
        next_candidate_hash: Option<u32>,
    },
    /// The elector grants nothing now.
    Rejected {
        /// The lease.
        lease: LeaseName,
        /// The proposal.
        proposal: ProposalId,
        /// The newest epoch that the elector knows of.
        epoch: Epoch,
        /// For how long another gateway holds the lease, in milliseconds.
        remaining_ms: u16,
        /// How many candidates are in line before the requester.
        candidates_before: u8,
        /// The holder by the hash of its name; 0 if there is none.
        holder_hash: u32,
    },
    /// The holder gives the lease up.
    Release {
        /// The lease.
        lease: LeaseName,
        /// The holder's epoch.
        epoch: Epoch,
    },
    /// The holder gives the lease up in favour of the receiver.
    Transfer {
        /// The lease.
        lease: LeaseName,
        /// The holder's epoch.
        epoch: Epoch,
    },
    /// Who holds what, as far as the sender knows.
    KnownLeases {
        /// At most `codec::MAX_KNOWN_LEASES`.
        records: Vec<LeaseRecord>,
    },
}

impl MessageBody {
    /// The highest epoch that the message names; 0 if it names none.
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
