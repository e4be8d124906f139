//! Checks fencing tokens at the receiver of a holder's operations. The check needs neither a lease nor a clock: it keeps the highest epoch
//! of each lease and refuses older ones. So a former holder's operation is refused after one of a newer holder, even if the sender
//! checked its lease just before sending.

use std::collections::BTreeMap;

use thiserror::Error;

use crate::{Epoch, LeaseName};

/// Bounds the memory that a faulty sender can use up by inventing aggregator groups, each of which has its own lease.
const MAX_GUARDED_LEASES: usize = 1024;

/// Why the receiver of an operation refuses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FencingError {
    /// The guard has seen a newer epoch of the lease, so another holder has followed the sender.
    #[error(
        "operation under lease {lease} has epoch {epoch}, but epoch {newest} is known: the sender has lost the lease; reply to it with the newer epoch"
    )]
    StaleEpoch {
        /// The lease that the sender claims to hold.
        lease: LeaseName,
        /// The operation's epoch.
        epoch: Epoch,
        /// The newest epoch that the guard has seen.
        newest: Epoch,
    },
    /// The lease is new, and the guard already keeps the maximum number of leases.
    #[error("operation under lease {lease} refused: {MAX_GUARDED_LEASES} leases are tracked already; configure fewer groups")]
    TooManyLeases {
        /// The lease that isn't tracked yet.
        lease: LeaseName,
    },
}

/// Tracks the newest epoch of each lease.
#[derive(Clone, Debug, Default)]
pub struct FencingGuard {
    newest: BTreeMap<LeaseName, Epoch>,
}

impl FencingGuard {
    /// Checks and records the epoch of an operation before the caller carries it out.
    ///
    /// # Errors
    /// The caller must not carry out the operation.
    pub fn admit(&mut self, lease: LeaseName, epoch: Epoch) -> Result<(), FencingError> {
        match self.newest(lease) {
            Some(newest) if epoch < newest => {
                return Err(FencingError::StaleEpoch {
                    lease,
                    epoch,
                    newest,
                })
            }
            None if self.newest.len() >= MAX_GUARDED_LEASES => {
                return Err(FencingError::TooManyLeases { lease })
            }
            _ => {}
        }
        self.newest.insert(lease, epoch);
        Ok(())
    }

    /// The newest epoch of a lease; `None` if no operation under it has been admitted.
    pub fn newest(&self, lease: LeaseName) -> Option<Epoch> {
        self.newest.get(&lease).copied()
    }
}
