//! What the file of our own tells of a fleet: who there is, who votes, which duties there are.

use std::net::SocketAddr;

use harrierdock_lease::{
    codec, ConfigurationError, Electorate, LeaseName, LeaseParameters, LeaseSettings,
};
use harrierdock_types::TimeDelta;
use schemars::JsonSchema;
use serde::Deserialize;
use thiserror::Error;

/// Duties that one gateway of a fleet holds at a time. All gateways are told the same.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetTold {
    /// The names of all gateways, in the order of the configuration's `peers`.
    pub gateways: Vec<String>,
    /// Those who vote, three to seven of them; they alone hold duties.
    pub electorate: Vec<String>,
    /// Raised by one with each change of the electorate, which changes by one gateway at a time.
    #[serde(default = "one")]
    pub electorate_number: u32,
    #[serde(default = "two_seconds")]
    pub lease_ms: u32,
    #[serde(default = "half_a_second")]
    pub heartbeat_ms: u32,
    /// The longest lease that gateways still running may have been told; by default it never changed.
    pub longest_lease_ms: Option<u32>,
    /// The largest error of a clock's rate, as a part.
    #[serde(default = "two_percent")]
    pub drift: f64,
    /// `steward`, `heir`, `speaker:NUMBER`.
    pub duties: Vec<String>,
    /// For the duty `steward`.
    pub steward: Option<StewardTold>,
    /// For rehearsals alone.
    pub rehearsal: Option<RehearsalTold>,
}

/// A release's waves, advanced by calls of the installation in place of the platform's count of votes.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct StewardTold {
    /// Where the installation takes calls (HTTP).
    pub installation: SocketAddr,
    /// More than this part of all gateways moves a wave on.
    #[serde(default = "half")]
    pub on_votes: f64,
    /// More than this part of all gateways sends a build back.
    #[serde(default = "half")]
    pub back_votes: f64,
    /// A wave without a decision for so long is told in the log.
    #[serde(default = "half_a_minute")]
    pub bound_ms: u32,
}

/// What a rehearsal makes odd in one gateway, to see that the others bear it.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RehearsalTold {
    /// The form of messages that this gateway writes and reads.
    #[serde(default = "form_now")]
    pub form: u8,
    /// How fast the clock of this gateway's part in the fleet runs; 1 is right.
    #[serde(default = "right")]
    pub clock_rate: f64,
}

fn one() -> u32 {
    1
}

fn two_seconds() -> u32 {
    2000
}

fn half_a_second() -> u32 {
    500
}

fn two_percent() -> f64 {
    0.02
}

fn half() -> f64 {
    0.5
}

fn half_a_minute() -> u32 {
    30_000
}

fn form_now() -> u8 {
    codec::FORMAT_VERSION
}

fn right() -> f64 {
    1.0
}

/// Clock rates that a rehearsal may tell.
const RATES: std::ops::RangeInclusive<f64> = 0.5..=2.0;

/// Why what is told of a fleet cannot be taken: field, reason, what to do.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum FleetMisfit {
    #[error("fleet.{field}: {misfit}")]
    Terms {
        field: &'static str,
        misfit: ConfigurationError,
    },
    #[error(
        "fleet.gateways: {names} names for {peers} of the configuration's `peers`: name each, in that order"
    )]
    Peers { names: usize, peers: usize },
    #[error(
        "fleet.gateways: {own} is at place {place}, the configuration's ordinal is {ordinal}: put them in one order"
    )]
    Place {
        own: String,
        place: usize,
        ordinal: usize,
    },
    #[error(
        "fleet: the configuration has no `peer_listen`, on which gateways hear each other: add it"
    )]
    NoRoad,
    #[error(
        "fleet.steward: is missing, and the duty `steward` needs it: add it, or take the duty away"
    )]
    NoInstallation,
    #[error(
        "fleet.steward: is there without the duty: add `steward` to `duties`, or take it away"
    )]
    NoDuty,
    #[error("fleet.steward.{field}: {part} is no part from 0 to below 1: tell one such as 0.5")]
    Part { field: &'static str, part: f64 },
    #[error(
        "fleet.steward.bound_ms: {bound} is shorter than the lease of {lease} ms: lengthen it"
    )]
    Bound { bound: u32, lease: u32 },
    #[error("fleet.rehearsal.clock_rate: {rate} is not from 0.5 to 2: leave it out, but for a rehearsal")]
    Rate { rate: f64 },
}

fn field(misfit: &ConfigurationError) -> &'static str {
    match misfit {
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

impl FleetMisfit {
    pub fn of(misfit: ConfigurationError) -> FleetMisfit {
        FleetMisfit::Terms {
            field: field(&misfit),
            misfit,
        }
    }
}

/// The configuration's side of it.
pub struct Beside<'a> {
    pub name: &'a str,
    pub ordinal: usize,
    pub peers: usize,
    pub hears: bool,
}

fn ms(ms: u32) -> TimeDelta {
    TimeDelta(i64::from(ms) * 1000)
}

impl FleetTold {
    fn told(&self, name: &str) -> LeaseSettings {
        LeaseSettings {
            own_name: name.into(),
            peer_names: self.gateways.clone(),
            electorate: self.electorate.clone(),
            electorate_number: self.electorate_number,
            lease_duration: ms(self.lease_ms),
            heartbeat_interval: ms(self.heartbeat_ms),
            longest_lease_duration: self.longest_lease_ms.map(ms),
            clock_drift_ratio: self.drift,
            lease_names: self.duties.clone(),
        }
    }

    /// The checked terms.
    ///
    /// # Errors
    /// What does not fit, by field.
    pub fn terms(&self, beside: &Beside) -> Result<LeaseParameters, FleetMisfit> {
        let terms = self
            .told(beside.name)
            .parameters()
            .map_err(FleetMisfit::of)?;
        if !beside.hears {
            return Err(FleetMisfit::NoRoad);
        }
        if self.gateways.len() != beside.peers {
            return Err(FleetMisfit::Peers {
                names: self.gateways.len(),
                peers: beside.peers,
            });
        }
        if terms.own.0 != beside.ordinal {
            let (own, place, ordinal) = (beside.name.to_string(), terms.own.0, beside.ordinal);
            return Err(FleetMisfit::Place {
                own,
                place,
                ordinal,
            });
        }
        match (
            &self.steward,
            terms.leases.contains(&LeaseName::RolloutController),
        ) {
            (None, true) => return Err(FleetMisfit::NoInstallation),
            (Some(_), false) => return Err(FleetMisfit::NoDuty),
            _ => {}
        }
        if let Some(steward) = &self.steward {
            let parts = [
                ("on_votes", steward.on_votes),
                ("back_votes", steward.back_votes),
            ];
            if let Some((field, part)) = parts.into_iter().find(|(_, p)| !(0.0..1.0).contains(p)) {
                return Err(FleetMisfit::Part { field, part });
            }
            if steward.bound_ms < self.lease_ms {
                return Err(FleetMisfit::Bound {
                    bound: steward.bound_ms,
                    lease: self.lease_ms,
                });
            }
        }
        let rate = self.rehearsal.as_ref().map_or(1.0, |r| r.clock_rate);
        if !RATES.contains(&rate) {
            return Err(FleetMisfit::Rate { rate });
        }
        Ok(terms)
    }

    /// The electorate told now, for a change while running.
    ///
    /// # Errors
    /// What does not fit, by field.
    pub fn electorate(&self, name: &str) -> Result<Electorate, FleetMisfit> {
        self.told(name).electorate().map_err(FleetMisfit::of)
    }

    /// The same but for the electorate, which may change while running.
    pub fn differs_beyond_electorate(&self, other: &FleetTold) -> bool {
        let plain = |told: &FleetTold| FleetTold {
            electorate: Vec::new(),
            electorate_number: 0,
            ..told.clone()
        };
        plain(self) != plain(other)
    }

    /// In a line, for `check`.
    pub fn summary(&self, name: &str) -> String {
        format!(
            "{name} shares {} with {} gateways, electors {}, lease {} ms, heartbeat {} ms",
            self.duties.join(" "),
            self.gateways.len(),
            self.electorate.join(" "),
            self.lease_ms,
            self.heartbeat_ms
        )
    }
}
