//! The check of fencing tokens where a holder's acts arrive. It needs no lease and no clock: it keeps the highest epoch of each lease and
//! refuses an older one, so that a holder deposed between its own check and the arrival of its act does nothing either.

use std::collections::BTreeMap;

use thiserror::Error;

use crate::{Epoch, LeaseName};

/// Bounds what a sender can make up: each aggregator's group is a lease of its own.
const MAX_GUARDED_LEASES: usize = 1024;

/// Why an act is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FencingError {
    /// Its epoch is not the newest.
    #[error(
        "an act of {lease} in epoch {epoch}, when {newest} is known: whoever acted holds it no more; tell it"
    )]
    StaleEpoch {
        /// The lease.
        lease: LeaseName,
        /// The act's epoch.
        epoch: Epoch,
        /// The newest epoch of the lease.
        newest: Epoch,
    },
    /// Too many leases are guarded already.
    #[error("an act of {lease} beyond the {MAX_GUARDED_LEASES} leases that are kept apart: configure fewer groups")]
    TooManyLeases {
        /// The lease.
        lease: LeaseName,
    },
}

/// The newest epoch of each lease.
#[derive(Clone, Debug, Default)]
pub struct FencingGuard {
    newest: BTreeMap<LeaseName, Epoch>,
}

impl FencingGuard {
    /// Records the epoch of an act that is about to be carried out.
    ///
    /// # Errors
    /// The act must not be carried out.
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

    /// The newest epoch of a lease; none if no act of it has come.
    pub fn newest(&self, lease: LeaseName) -> Option<Epoch> {
        self.newest.get(&lease).copied()
    }
}
