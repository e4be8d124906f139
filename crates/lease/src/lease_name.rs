//! The leases of a fleet, and their names in settings, error messages and log lines. The names are fixed by existing configuration files,
//! and differ from the code's terms; they stand in this file, and as examples in docs and error messages.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ConfigurationError;

const ROLLOUT_CONTROLLER: &str = "steward";
const RECOVERY_OWNER: &str = "heir";
const AGGREGATOR_PREFIX: &str = "speaker:";

/// A lease, named by the role of its holder. Messages encode a variant by its position, so the order must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseName {
    /// Promotes and rolls back rollout stages by the gateways' votes. Without a holder, the current stage doesn't change.
    RolloutController,
    /// Finishes forwarded requests that a crashed gateway left open. Without a holder, they stay open until they expire.
    RecoveryOwner,
    /// Aggregates the outcome reports of the gossip group with this number. Without a holder, each member uses its own outcomes only.
    Aggregator(u16),
}

impl fmt::Display for LeaseName {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            LeaseName::RolloutController => f.write_str(ROLLOUT_CONTROLLER),
            LeaseName::RecoveryOwner => f.write_str(RECOVERY_OWNER),
            LeaseName::Aggregator(group) => write!(f, "{AGGREGATOR_PREFIX}{group}"),
        }
    }
}

impl FromStr for LeaseName {
    type Err = ConfigurationError;

    fn from_str(name: &str) -> Result<LeaseName, ConfigurationError> {
        match name {
            ROLLOUT_CONTROLLER => Ok(LeaseName::RolloutController),
            RECOVERY_OWNER => Ok(LeaseName::RecoveryOwner),
            _ => name
                .strip_prefix(AGGREGATOR_PREFIX)
                .and_then(|group| group.parse().ok())
                .map(LeaseName::Aggregator)
                .ok_or_else(|| ConfigurationError::UnknownLease {
                    name: name.to_string(),
                }),
        }
    }
}
