//! Faults of a fleet: configured as `KIND@T+D`, or two or three faults drawn from the seed.

use std::fmt;
use std::str::FromStr;

use nanorand::{Rng, WyRand};
use thiserror::Error;

/// What happens to the fleet while a fault lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// One gateway is stopped with SIGSTOP, and resumed at the end of the fault.
    Stall,
    /// One gateway is killed, and restarted at the end of the fault.
    Kill,
    /// A majority of the gateways is killed, and restarted at the end of the fault.
    KillMost,
    /// One gateway is partitioned from all others.
    Cut,
    /// One half of the gateways is partitioned from the other half.
    CutHalf,
    /// Datagrams to one gateway, or datagrams from it, are dropped.
    CutOneWay,
    /// Datagrams of one gateway are delayed; a share of all datagrams is lost, duplicated, reordered or corrupted.
    Slow,
    /// One gateway is restarted with a clock that runs 2% fast or slow.
    Skew,
    /// All gateways are restarted, about a tenth at a time.
    Restart,
    /// Every other gateway is restarted with another version of the lease messages, and with the usual version at the end of
    /// the fault.
    Mixed,
}

const KINDS: [(FaultKind, &str); 10] = [
    (FaultKind::Stall, "stall"),
    (FaultKind::Kill, "kill"),
    (FaultKind::KillMost, "kill-most"),
    (FaultKind::Cut, "cut"),
    (FaultKind::CutHalf, "cut-half"),
    (FaultKind::CutOneWay, "cut-one-way"),
    (FaultKind::Slow, "slow"),
    (FaultKind::Skew, "skew"),
    (FaultKind::Restart, "restart"),
    (FaultKind::Mixed, "mixed"),
];

/// A kind of fault, its start and its duration, written as `stall@2+3`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    pub kind: FaultKind,
    /// Seconds since the start of the clients.
    pub start_second: f64,
    pub duration_seconds: f64,
}

/// Why a text can't be parsed as a fault.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseFaultError {
    #[error(
        "'{0}' is not of the form KIND@T+D, such as stall@2+3: T is the start and D the duration, both in seconds"
    )]
    Format(String),
    #[error("'{kind}' is not a kind of fault: expected one of {}", KINDS.map(|(_, name)| name).join(", "))]
    Kind { kind: String },
}

impl FromStr for Fault {
    type Err = ParseFaultError;

    fn from_str(text: &str) -> Result<Fault, ParseFaultError> {
        let format_error = || ParseFaultError::Format(text.into());
        let (name, times) = text.split_once('@').ok_or_else(format_error)?;
        let (start, duration) = times.split_once('+').ok_or_else(format_error)?;
        let parse_seconds = |text: &str| {
            text.parse()
                .ok()
                .filter(|seconds: &f64| seconds.is_finite() && *seconds >= 0.0)
        };
        let kind = KINDS
            .iter()
            .find(|(_, kind_name)| *kind_name == name)
            .ok_or_else(|| ParseFaultError::Kind { kind: name.into() })?
            .0;
        let (start_second, duration_seconds) = (
            parse_seconds(start).ok_or_else(format_error)?,
            parse_seconds(duration).ok_or_else(format_error)?,
        );
        Ok(Fault {
            kind,
            start_second,
            duration_seconds,
        })
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let name = KINDS
            .iter()
            .find(|(kind, _)| *kind == self.kind)
            .map_or("?", |(_, name)| name);
        write!(f, "{name}@{}+{}", self.start_second, self.duration_seconds)
    }
}

/// Draws two or three faults. Each starts between 15% and 50% of the run and lasts 20% to 40% of it, so that they often
/// overlap.
pub fn draw_faults(rng: &mut WyRand, run_seconds: f64) -> Vec<Fault> {
    let count = rng.generate_range(2..=3_usize);
    let round_to_tenth = |seconds: f64| (seconds * 10.0).round() / 10.0;
    let mut draw_fault = || Fault {
        kind: KINDS[rng.generate_range(0..KINDS.len())].0,
        start_second: round_to_tenth(run_seconds * (0.15 + 0.35 * rng.generate::<f64>())),
        duration_seconds: round_to_tenth(run_seconds * (0.2 + 0.2 * rng.generate::<f64>())),
    };
    (0..count).map(|_| draw_fault()).collect()
}
