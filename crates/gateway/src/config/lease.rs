//! The settings of the leases: which gateways there are, which of them are electors, and which leases they hold.

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

/// Clock rates that may be injected.
const CLOCK_RATES: RangeInclusive<f64> = 0.5..=2.0;

/// Leases that one gateway of a fleet holds at a time. All gateways are configured alike.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename = "FleetTold")]
#[schemars(
    description = "Duties that one gateway of a fleet holds at a time. All gateways are told the same."
)]
pub(crate) struct LeaseConfig {
    /// The names of all gateways, in the order of the configuration's `peers`.
    pub(crate) gateways: Vec<String>,
    /// The electors, three to seven of them; they alone hold leases.
    #[schemars(description = "Those who vote, three to seven of them; they alone hold duties.")]
    pub(crate) electorate: Vec<String>,
    /// Raised by one with each change of the electorate, which changes by one gateway at a time.
    #[serde(default = "first_electorate")]
    pub(crate) electorate_number: u32,
    /// How long a lease lasts without renewal.
    #[serde(default = "default_lease_ms")]
    #[schemars(description = "")]
    pub(crate) lease_ms: u32,
    /// How often it is renewed.
    #[serde(default = "default_heartbeat_ms")]
    #[schemars(description = "")]
    pub(crate) heartbeat_ms: u32,
    /// The longest lease that running gateways may be configured with; by default it never changed.
    #[schemars(
        description = "The longest lease that gateways still running may have been told; by default it never changed."
    )]
    pub(crate) longest_lease_ms: Option<u32>,
    /// The largest error of a clock's rate, as a ratio.
    #[serde(default = "default_clock_drift", rename = "drift")]
    #[schemars(description = "The largest error of a clock's rate, as a part.")]
    pub(crate) clock_drift_ratio: f64,
    /// The names of the leases.
    #[serde(rename = "duties")]
    #[schemars(description = "`steward`, `heir`, `speaker:NUMBER`.")]
    pub(crate) leases: Vec<String>,
    /// For the lease of the rollout controller.
    #[serde(rename = "steward")]
    #[schemars(description = "For the duty `steward`.")]
    pub(crate) rollout_controller: Option<RolloutControllerConfig>,
    /// Faults to inject, in tests alone.
    #[serde(rename = "rehearsal")]
    #[schemars(description = "For rehearsals alone.")]
    pub(crate) injected_faults: Option<InjectedFaults>,
}

/// Rollout stages that are moved on by commands to the deployment controller, where no platform counts votes.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename = "StewardTold")]
#[schemars(
    description = "A release's waves, advanced by calls of the installation in place of the platform's count of votes."
)]
pub(crate) struct RolloutControllerConfig {
    /// The address of the deployment controller (HTTP).
    #[serde(rename = "installation")]
    #[schemars(description = "Where the installation takes calls (HTTP).")]
    pub(crate) deployment_controller: SocketAddr,
    /// More than this share of all gateways promotes a build.
    #[serde(default = "default_vote_ratio", rename = "on_votes")]
    #[schemars(description = "More than this part of all gateways moves a wave on.")]
    pub(crate) promote_ratio: f64,
    /// More than this share of all gateways rolls a build back.
    #[serde(default = "default_vote_ratio", rename = "back_votes")]
    #[schemars(description = "More than this part of all gateways sends a build back.")]
    pub(crate) roll_back_ratio: f64,
    /// A stage without a decision for this long is reported in the log.
    #[serde(default = "default_decision_timeout_ms", rename = "bound_ms")]
    #[schemars(description = "A wave without a decision for so long is told in the log.")]
    pub(crate) decision_timeout_ms: u32,
}

/// What fault injection changes in one gateway, to show that the others bear it.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename = "RehearsalTold")]
#[schemars(
    description = "What a rehearsal makes odd in one gateway, to see that the others bear it."
)]
pub(crate) struct InjectedFaults {
    /// The version of the messages that this gateway writes and reads.
    #[serde(default = "current_message_version", rename = "form")]
    #[schemars(description = "The form of messages that this gateway writes and reads.")]
    pub(crate) message_version: u8,
    /// How fast the clock of the leases runs; 1 is right.
    #[serde(default = "normal_clock_rate")]
    #[schemars(
        description = "How fast the clock of this gateway's part in the fleet runs; 1 is right."
    )]
    pub(crate) clock_rate: f64,
}

fn first_electorate() -> u32 {
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

/// Why the lease settings are refused: field, reason, what to do.
#[derive(Clone, Debug, PartialEq, Error)]
pub(crate) enum LeaseConfigError {
    /// The settings do not fit by themselves.
    #[error("fleet.{field}: {source}")]
    Settings {
        /// The field.
        field: &'static str,
        /// Why.
        source: ConfigurationError,
    },
    /// Not every peer has a name.
    #[error(
        "fleet.gateways: {names} names for {peers} of the configuration's `peers`: name each, in that order"
    )]
    PeerCount {
        /// How many names there are.
        names: usize,
        /// How many peers are configured.
        peers: usize,
    },
    /// This gateway has two places.
    #[error(
        "fleet.gateways: {own} is at place {place}, the configuration's ordinal is {ordinal}: put them in one order"
    )]
    OrdinalMismatch {
        /// This gateway's name.
        own: String,
        /// Its position among the names.
        place: usize,
        /// Its position in the configuration.
        ordinal: usize,
    },
    /// Gateways cannot reach each other.
    #[error(
        "fleet: the configuration has no `peer_listen`, on which gateways hear each other: add it"
    )]
    NoGossip,
    /// The rollout controller's lease has no settings.
    #[error(
        "fleet.steward: is missing, and the duty `steward` needs it: add it, or take the duty away"
    )]
    NoRolloutController,
    /// The rollout controller has no lease.
    #[error(
        "fleet.steward: is there without the duty: add `steward` to `duties`, or take it away"
    )]
    NoRolloutControllerLease,
    /// A share of votes is out of its range.
    #[error("fleet.steward.{field}: {ratio} is no part from 0 to below 1: tell one such as 0.5")]
    VoteRatio {
        /// The field.
        field: &'static str,
        /// Its value.
        ratio: f64,
    },
    /// A decision times out before a lease does.
    #[error(
        "fleet.steward.bound_ms: {timeout_ms} is shorter than the lease of {lease_ms} ms: lengthen it"
    )]
    DecisionTimeoutTooShort {
        /// The timeout.
        timeout_ms: u32,
        /// The lease.
        lease_ms: u32,
    },
    /// An injected clock rate is out of its range.
    #[error("fleet.rehearsal.clock_rate: {rate} is not from 0.5 to 2: leave it out, but for a rehearsal")]
    ClockRate {
        /// The rate.
        rate: f64,
    },
}

/// The field that an error is about.
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

/// What the configuration says of the fleet.
pub(crate) struct FleetContext<'a> {
    /// This gateway's name.
    pub(crate) name: &'a str,
    /// Its position among the peers.
    pub(crate) ordinal: usize,
    /// How many peers there are, itself included.
    pub(crate) peer_count: usize,
    /// Whether it hears its peers.
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

    /// The checked settings in parsed form.
    ///
    /// # Errors
    ///
    /// A field does not fit.
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
        if parameters.own.0 != fleet.ordinal {
            return Err(LeaseConfigError::OrdinalMismatch {
                own: fleet.name.to_string(),
                place: parameters.own.0,
                ordinal: fleet.ordinal,
            });
        }
        Ok(())
    }

    /// The configured electorate, for a change while the gateway runs.
    ///
    /// # Errors
    ///
    /// A field does not fit.
    pub(crate) fn electorate(&self, own_name: &str) -> Result<Electorate, LeaseConfigError> {
        Ok(self.settings(own_name).electorate()?)
    }

    /// Whether anything differs but the electorate, which alone may change while the gateway runs.
    pub(crate) fn differs_beyond_electorate(&self, other: &LeaseConfig) -> bool {
        let without_electorate = |config: &LeaseConfig| LeaseConfig {
            electorate: Vec::new(),
            electorate_number: 0,
            ..config.clone()
        };
        without_electorate(self) != without_electorate(other)
    }

    /// The settings in one line.
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
