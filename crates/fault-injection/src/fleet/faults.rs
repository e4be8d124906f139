//! Faults of a fleet: named as `KIND@T+D`, or drawn by the seed, two or three that overlap.

use std::fmt;
use std::str::FromStr;

use nanorand::{Rng, WyRand};
use thiserror::Error;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A gateway stops between two instructions, and goes on.
    Stall,
    Kill,
    /// All but a minority are killed, and started again.
    KillMost,
    /// One gateway and all others hear nothing of each other.
    Cut,
    /// One half hears nothing of the other.
    CutHalf,
    /// One gateway is heard and hears nothing, or the other way round.
    CutOneWay,
    /// Datagrams of one gateway come late; all are lost, doubled, overtaken and garbled now and then.
    Slow,
    /// A gateway is started anew with a clock that runs 2% fast or slow.
    Skew,
    /// All are restarted in order, a tenth at a time.
    Restart,
    /// Half of the gateways write and read another form of messages.
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

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    pub kind: FaultKind,
    pub second: f64,
    pub seconds: f64,
}

#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseFaultError {
    #[error("'{0}' is not KIND@T+D, as stall@2+3: tell when it begins and how long it lasts, in seconds")]
    Form(String),
    #[error("'{kind}' is no kind of fault: name one of {}", KINDS.map(|k| k.1).join(", "))]
    Kind { kind: String },
}

impl FromStr for Fault {
    type Err = ParseFaultError;

    fn from_str(text: &str) -> Result<Fault, ParseFaultError> {
        let wrong = || ParseFaultError::Form(text.into());
        let (name, times) = text.split_once('@').ok_or_else(wrong)?;
        let (second, seconds) = times.split_once('+').ok_or_else(wrong)?;
        let number = |text: &str| {
            text.parse()
                .ok()
                .filter(|n: &f64| n.is_finite() && *n >= 0.0)
        };
        let kind = KINDS
            .iter()
            .find(|k| k.1 == name)
            .ok_or_else(|| ParseFaultError::Kind { kind: name.into() })?
            .0;
        let (second, seconds) = (
            number(second).ok_or_else(wrong)?,
            number(seconds).ok_or_else(wrong)?,
        );
        Ok(Fault {
            kind,
            second,
            seconds,
        })
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let name = KINDS.iter().find(|k| k.0 == self.kind).map_or("?", |k| k.1);
        write!(f, "{name}@{}+{}", self.second, self.seconds)
    }
}

/// Two or three faults, each from a point in the run's first half on, so that they overlap.
pub fn draw(chance: &mut WyRand, seconds: f64) -> Vec<Fault> {
    let many = chance.generate_range(2..=3_usize);
    let tenth = |seconds: f64| (seconds * 10.0).round() / 10.0;
    let mut fault = || Fault {
        kind: KINDS[chance.generate_range(0..KINDS.len())].0,
        second: tenth(seconds * (0.15 + 0.35 * chance.generate::<f64>())),
        seconds: tenth(seconds * (0.2 + 0.2 * chance.generate::<f64>())),
    };
    (0..many).map(|_| fault()).collect()
}
