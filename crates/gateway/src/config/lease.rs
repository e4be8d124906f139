//! Settings of the leases that gateways share: the `fleet` section of the extension file. Existing extension files fix the names
//! in the `rename` attributes, so some differ from the Rust names.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use harrierdock_lease::{
    codec, ConfigurationError, Electorate, LeaseName, LeaseParameters, LeaseSettings,
};
use harrierdock_types::TimeDelta;
use schemars::JsonSchema;
use serde::Deserialize;
use thiserror::Error;

const DEFAULT_LEASE_MS: u32 = 2_000;
const DEFAULT_HEARTBEAT_MS: u32 = 500;
const DEFAULT_CLOCK_DRIFT_RATIO: f64 = 0.02;
const DEFAULT_VOTE_RATIO: f64 = 0.5;
const DEFAULT_DECISION_TIMEOUT_MS: u32 = 30_000;
const NORMAL_CLOCK_RATE: f64 = 1.0;

/// Clock rates that fault injection accepts.
const CLOCK_RATES: RangeInclusive<f64> = 0.5..=2.0;

/// Leases, each held by one gateway at a time. All gateways must have the same settings.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename = "FleetTold")]
pub(crate) struct LeaseConfig {
    /// Names of all gateways, in the order of `peers` in the configuration.
    pub(crate) gateways: Vec<String>,
    /// Names of the three to seven electors. Only electors hold leases.
    pub(crate) electorate: Vec<String>,
    /// Number of the electorate. Add one at each change; a change adds or removes one gateway.
    #[serde(default = "default_electorate_number")]
    pub(crate) electorate_number: u32,
    /// Duration of a lease without renewal, in milliseconds.
    #[serde(default = "default_lease_ms")]
    #[schemars(description = "")]
    pub(crate) lease_ms: u32,
    /// Interval of lease renewals, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    #[schemars(description = "")]
    pub(crate) heartbeat_ms: u32,
    /// Longest `lease_ms` that any running gateway may still use. Needed only after a change of `lease_ms`.
    pub(crate) longest_lease_ms: Option<u32>,
    /// Largest error of the clock rate, as a ratio.
    #[serde(default = "default_clock_drift", rename = "drift")]
    pub(crate) clock_drift_ratio: f64,
    /// Names of the leases: `steward` (rollout controller), `heir` (recovery owner) or `speaker:NUMBER` (aggregator).
    #[serde(rename = "duties")]
    pub(crate) leases: Vec<String>,
    /// Settings of the rollout controller, required for the lease `steward`.
    #[serde(rename = "steward")]
    pub(crate) rollout_controller: Option<RolloutControllerConfig>,
    /// Faults to inject. For tests only.
    #[serde(rename = "rehearsal")]
    pub(crate) injected_faults: Option<InjectedFaults>,
}

/// Commands to the deployment controller, which advance rollout stages if no rollout platform counts votes.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename = "StewardTold")]
pub(crate) struct RolloutControllerConfig {
    /// Address of the deployment controller (HTTP).
    #[serde(rename = "installation")]
    pub(crate) deployment_controller: SocketAddr,
    /// A build is promoted when more than this ratio of all gateways votes for it.
    #[serde(default = "default_vote_ratio", rename = "on_votes")]
    pub(crate) promote_ratio: f64,
    /// A build is rolled back when more than this ratio of all gateways votes to roll it back.
    #[serde(default = "default_vote_ratio", rename = "back_votes")]
    pub(crate) roll_back_ratio: f64,
    /// A stage without a decision for this many milliseconds is logged.
    #[serde(default = "default_decision_timeout_ms", rename = "bound_ms")]
    pub(crate) decision_timeout_ms: u32,
}

/// Faults injected into one gateway, to test that the others tolerate them.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename = "RehearsalTold")]
pub(crate) struct InjectedFaults {
    /// Version of the lease messages that this gateway writes and reads.
    #[serde(default = "current_message_version", rename = "form")]
    pub(crate) message_version: u8,
    /// Rate of the clock used for leases; 1 is the normal rate.
    #[serde(default = "normal_clock_rate")]
    pub(crate) clock_rate: f64,
}

fn default_electorate_number() -> u32 {
    1
}

fn default_lease_ms() -> u32 {
    DEFAULT_LEASE_MS
}

fn default_heartbeat_ms() -> u32 {
    DEFAULT_HEARTBEAT_MS
}

fn default_clock_drift() -> f64 {
    DEFAULT_CLOCK_DRIFT_RATIO
}

fn default_vote_ratio() -> f64 {
    DEFAULT_VOTE_RATIO
}

fn default_decision_timeout_ms() -> u32 {
    DEFAULT_DECISION_TIMEOUT_MS
}

fn current_message_version() -> u8 {
    codec::FORMAT_VERSION
}

fn normal_clock_rate() -> f64 {
    NORMAL_CLOCK_RATE
}

/// The lease settings are invalid. Each message states the field, the reason and the remedy.
#[derive(Clone, Debug, PartialEq, Error)]
pub(crate) enum LeaseConfigError {
    /// A field is invalid regardless of the configuration.
    #[error("fleet.{field}: {source}")]
    Settings {
        /// Name of the field below `fleet`.
        field: &'static str,
        /// Why the field is invalid, and the remedy.
        source: ConfigurationError,
    },
    /// The number of names differs from the number of peers.
    #[error(
        "fleet.gateways: {names} names for {peers} `peers` in the configuration: name each peer, in the same order"
    )]
    PeerCount {
        /// Number of names in `gateways`.
        names: usize,
        /// Number of configured peers.
        peers: usize,
    },
    /// The position of this gateway differs between `gateways` and the configuration.
    #[error(
        "fleet.gateways: {own} is at position {position}, but its ordinal in the configuration is {ordinal}: use the same order"
    )]
    OrdinalMismatch {
        /// Name of this gateway.
        own: String,
        /// Index of this gateway in `gateways`.
        position: usize,
        /// Ordinal of this gateway in the configuration.
        ordinal: usize,
    },
    /// Gossip, which carries the lease messages, is not configured.
    #[error("fleet: the configuration has no `peer_listen`, which gossip needs: add it")]
    NoGossip,
    /// The lease `steward` is configured without settings of the rollout controller.
    #[error(
        "fleet.steward: is missing, but `duties` contains `steward`: add it, or remove `steward` from `duties`"
    )]
    NoRolloutController,
    /// The rollout controller is configured without the lease `steward`.
    #[error(
        "fleet.steward: is set, but `duties` does not contain `steward`: add it there, or remove `fleet.steward`"
    )]
    NoRolloutControllerLease,
    /// A vote ratio is out of range.
    #[error("fleet.steward.{field}: {ratio} is out of range: set a ratio from 0 to below 1, such as 0.5")]
    VoteRatio {
        /// Name of the field below `fleet.steward`.
        field: &'static str,
        /// The configured ratio; valid from 0 to below 1.
        ratio: f64,
    },
    /// The decision timeout is shorter than the lease.
    #[error(
        "fleet.steward.bound_ms: the decision timeout of {timeout_ms} ms is shorter than the lease of {lease_ms} ms: increase it"
    )]
    DecisionTimeoutTooShort {
        /// Decision timeout in milliseconds.
        timeout_ms: u32,
        /// Lease duration in milliseconds.
        lease_ms: u32,
    },
    /// The injected clock rate is out of range.
    #[error("fleet.rehearsal.clock_rate: {rate} is out of range: set a rate from 0.5 to 2, or remove it outside of tests")]
    ClockRate {
        /// The configured rate, outside `CLOCK_RATES`.
        rate: f64,
    },
}

/// Returns the settings field that an error refers to.
fn field_of(error: &ConfigurationError) -> &'static str {
    match error {
        ConfigurationError::UnknownOwnName { .. }
        | ConfigurationError::DuplicateName { .. }
        | ConfigurationError::NameHashCollision { .. } => "gateways",
        ConfigurationError::TooFewElectors { .. }
        | ConfigurationError::TooManyElectors { .. }
        | ConfigurationError::UnknownElector { .. }
        | ConfigurationError::DuplicateElector { .. } => "electorate",
        ConfigurationError::LeaseTooShort { .. } | ConfigurationError::LeaseOutOfRange { .. } => {
            "lease_ms"
        }
        ConfigurationError::HeartbeatOutOfRange { .. } => "heartbeat_ms",
        ConfigurationError::ClockDriftOutOfRange { .. } => "drift",
        ConfigurationError::LongestLeaseTooShort { .. } => "longest_lease_ms",
        ConfigurationError::UnknownLease { .. }
        | ConfigurationError::DuplicateLease { .. }
        | ConfigurationError::TooManyLeases { .. } => "duties",
        ConfigurationError::ElectorateNumberNotNext { .. }
        | ConfigurationError::ElectorateChangeNotByOne { .. }
        | ConfigurationError::ElectorateNotInForce { .. } => "electorate_number",
    }
}

impl From<ConfigurationError> for LeaseConfigError {
    fn from(source: ConfigurationError) -> LeaseConfigError {
        LeaseConfigError::Settings {
            field: field_of(&source),
            source,
        }
    }
}

/// Values of the gateway's configuration that the lease settings must match.
pub(crate) struct FleetContext<'a> {
    /// Name of this gateway.
    pub(crate) name: &'a str,
    /// Index of this gateway in `peers`.
    pub(crate) ordinal: usize,
    /// Number of peers, this gateway included.
    pub(crate) peer_count: usize,
    /// Whether gossip with peers is configured.
    pub(crate) has_gossip: bool,
}

impl RolloutControllerConfig {
    fn check(&self, lease_ms: u32) -> Result<(), LeaseConfigError> {
        let ratios = [
            ("on_votes", self.promote_ratio),
            ("back_votes", self.roll_back_ratio),
        ];
        for (field, ratio) in ratios {
            if !(0.0..1.0).contains(&ratio) {
                return Err(LeaseConfigError::VoteRatio { field, ratio });
            }
        }
        if self.decision_timeout_ms < lease_ms {
            return Err(LeaseConfigError::DecisionTimeoutTooShort {
                timeout_ms: self.decision_timeout_ms,
                lease_ms,
            });
        }
        Ok(())
    }
}

impl LeaseConfig {
    fn settings(&self, own_name: &str) -> LeaseSettings {
        let milliseconds = |ms: u32| TimeDelta::from_millis(i64::from(ms));
        LeaseSettings {
            own_name: own_name.into(),
            peer_names: self.gateways.clone(),
            electorate: self.electorate.clone(),
            electorate_number: self.electorate_number,
            lease_duration: milliseconds(self.lease_ms),
            heartbeat_interval: milliseconds(self.heartbeat_ms),
            longest_lease_duration: self.longest_lease_ms.map(milliseconds),
            clock_drift_ratio: self.clock_drift_ratio,
            lease_names: self.leases.clone(),
        }
    }

    /// Checks the settings and converts them to lease parameters.
    ///
    /// # Errors
    ///
    /// A field is invalid or does not match the configuration.
    pub(crate) fn parameters(
        &self,
        fleet: &FleetContext<'_>,
    ) -> Result<LeaseParameters, LeaseConfigError> {
        let parameters = self.settings(fleet.name).parameters()?;
        self.check_fleet(&parameters, fleet)?;
        match (&self.rollout_controller, has_rollout_lease(&parameters)) {
            (None, true) => return Err(LeaseConfigError::NoRolloutController),
            (Some(_), false) => return Err(LeaseConfigError::NoRolloutControllerLease),
            (Some(controller), true) => controller.check(self.lease_ms)?,
            (None, false) => {}
        }
        if let Some(faults) = &self.injected_faults {
            let rate = faults.clock_rate;
            if !CLOCK_RATES.contains(&rate) {
                return Err(LeaseConfigError::ClockRate { rate });
            }
        }
        Ok(parameters)
    }

    fn check_fleet(
        &self,
        parameters: &LeaseParameters,
        fleet: &FleetContext<'_>,
    ) -> Result<(), LeaseConfigError> {
        if !fleet.has_gossip {
            return Err(LeaseConfigError::NoGossip);
        }
        if self.gateways.len() != fleet.peer_count {
            return Err(LeaseConfigError::PeerCount {
                names: self.gateways.len(),
                peers: fleet.peer_count,
            });
        }
        if parameters.local_peer.0 != fleet.ordinal {
            return Err(LeaseConfigError::OrdinalMismatch {
                own: fleet.name.to_string(),
                position: parameters.local_peer.0,
                ordinal: fleet.ordinal,
            });
        }
        Ok(())
    }

    /// Parses the configured electorate, for an electorate change while the gateway runs.
    ///
    /// # Errors
    ///
    /// A field is invalid.
    pub(crate) fn electorate(&self, own_name: &str) -> Result<Electorate, LeaseConfigError> {
        Ok(self.settings(own_name).electorate()?)
    }

    /// Whether any setting other than the electorate differs. Only the electorate may change while the gateway runs.
    pub(crate) fn differs_beyond_electorate(&self, other: &LeaseConfig) -> bool {
        let without_electorate = |config: &LeaseConfig| LeaseConfig {
            electorate: Vec::new(),
            electorate_number: 0,
            ..config.clone()
        };
        without_electorate(self) != without_electorate(other)
    }

    /// Summarizes the settings for a log line.
    pub(crate) fn summary(&self, own_name: &str) -> String {
        format!(
            "{own_name} shares {} with {} gateways, electors {}, lease {} ms, heartbeat {} ms",
            self.leases.join(" "),
            self.gateways.len(),
            self.electorate.join(" "),
            self.lease_ms,
            self.heartbeat_ms
        )
    }
}

fn has_rollout_lease(parameters: &LeaseParameters) -> bool {
    parameters.leases.contains(&LeaseName::RolloutController)
}
