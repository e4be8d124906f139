//! The leases of a fleet, and their names in files, messages to operators and status lines.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ConfigurationError;

const ROLLOUT_CONTROLLER: &str = "steward";
const RECOVERY_OWNER: &str = "heir";
const AGGREGATOR_PREFIX: &str = "speaker:";

/// A lease, by what its holder does. The order of the variants is their numbers in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseName {
    /// Moves the stages of a rollout by the gateways' votes. While nobody holds it, the stage stays where it is.
    RolloutController,
    /// Settles forwarded requests that a dead gateway left open. While nobody holds it, they stay open until they expire.
    RecoveryOwner,
    /// Aggregates the outcomes of the gossip group of this number. While nobody holds it, each member goes by its own outcomes.
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
