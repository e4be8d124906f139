//! The terms on which a fleet shares duties: who there is, who votes, for how long a vote counts. Told by the
//! operator, the same to all; checked here, once, before anything starts.

use std::fmt;
use std::str::FromStr;

use harrierdock_types::TimeDelta;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A gateway's place among the told names.
pub type NodeIx = usize;

/// Electors at the least: of two, none may fail.
pub const FEWEST: usize = 3;
/// Electors at the most: each costs its bytes, and beyond seven none is any safer in practice.
pub const MOST: usize = 7;
/// Duties at the most: each is a lease of its own, with its bytes.
pub const MOST_DUTIES: usize = 64;
/// The largest clock rate error that can be told: beyond, a lease would mostly be waiting.
const DRIFT_MOST: f64 = 0.2;

/// What one gateway of a fleet does at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Duty {
    /// Advances a release's wave by the votes that the module casts.
    Steward,
    /// Settles or voids what a dead gateway left open between sites.
    Heir,
    /// Speaks for the circle of this number.
    Speaker(u16),
}

impl Duty {
    /// What happens while nobody holds the duty: always what is safe, never what is fast.
    pub fn safe_state(self) -> &'static str {
        match self {
            Duty::Steward => "the wave stays where it is: it is neither advanced nor sent back",
            Duty::Heir => {
                "what a dead gateway left stays open until it expires, and is voided by whoever owed it"
            }
            Duty::Speaker(_) => "the circle is mute: its gateways act and vote each on its own news",
        }
    }
}

impl fmt::Display for Duty {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Duty::Steward => f.write_str("steward"),
            Duty::Heir => f.write_str("heir"),
            Duty::Speaker(circle) => write!(f, "speaker:{circle}"),
        }
    }
}

impl FromStr for Duty {
    type Err = Misfit;

    fn from_str(s: &str) -> Result<Duty, Misfit> {
        let unknown = || Misfit::UnknownDuty {
            duty: s.to_string(),
        };
        match s {
            "steward" => Ok(Duty::Steward),
            "heir" => Ok(Duty::Heir),
            _ => {
                let circle = s.strip_prefix("speaker:").ok_or_else(unknown)?;
                circle.parse().map(Duty::Speaker).map_err(|_| unknown())
            }
        }
    }
}

/// Who votes. A changed electorate has the next number and differs by one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Electorate {
    pub number: u32,
    /// In order, each once.
    pub electors: Vec<NodeIx>,
}

/// What the operator tells, by name.
#[derive(Clone, Debug)]
pub struct Told {
    pub own: String,
    /// All gateways of the fleet, this one among them; in any order.
    pub names: Vec<String>,
    pub electorate: Vec<String>,
    /// Raised by one with each change of the electorate.
    pub electorate_number: u32,
    pub lease: TimeDelta,
    pub heartbeat: TimeDelta,
    /// The longest lease that gateways still running may have been told; none where it never changed.
    pub longest_lease: Option<TimeDelta>,
    /// The largest error of a clock's rate, as a part: 0.02 for 2%.
    pub drift: f64,
    pub duties: Vec<String>,
}

/// Told terms, checked, with names turned into places.
#[derive(Clone, Debug)]
pub struct Terms {
    pub own: NodeIx,
    /// By place: a number made of the name, by which gateways name each other in messages. It stays when the
    /// list of names grows, where places shift.
    pub ids: Vec<u32>,
    pub electorate: Electorate,
    pub lease: TimeDelta,
    /// How often a holder renews.
    pub heartbeat: TimeDelta,
    /// How long an elector keeps silent after its start.
    pub silence: TimeDelta,
    pub drift: f64,
    pub duties: Vec<Duty>,
}

/// Why told terms cannot be taken, and what to do.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Misfit {
    #[error(
        "own name {own} is not among the names: add it to `names`, or start with another name"
    )]
    OwnUnknown { own: String },
    #[error("name {name} is told twice: remove one from `names`")]
    NameTwice { name: String },
    #[error("names {one} and {other} cannot be told apart in messages: rename one of them")]
    NamesAlike { one: String, other: String },
    #[error("{n} electors: name at least {FEWEST} in `electorate`, so that one may fail")]
    TooFewElectors { n: usize },
    #[error("{n} electors: name at most {MOST} in `electorate`; more cost bytes and decide later")]
    TooManyElectors { n: usize },
    #[error(
        "elector {name} is not among the names: add it to `names`, or remove it from `electorate`"
    )]
    ElectorUnknown { name: String },
    #[error("elector {name} is told twice: remove one from `electorate`")]
    ElectorTwice { name: String },
    #[error(
        "a lease of {lease_ms} ms is shorter than two heartbeats of {heartbeat_ms} ms: lengthen `lease` or \
             shorten `heartbeat`, so that one lost message ends no holding"
    )]
    LeaseTooShort { lease_ms: i64, heartbeat_ms: i64 },
    #[error("a lease of {lease_ms} ms is out of range: tell 100 ms to 60 s")]
    LeaseOutOfRange { lease_ms: i64 },
    #[error("a heartbeat of {heartbeat_ms} ms is out of range: tell at least 10 ms")]
    HeartbeatOutOfRange { heartbeat_ms: i64 },
    #[error(
        "a drift of {drift} is out of range: tell a part from 0 to {DRIFT_MOST}, such as 0.02"
    )]
    DriftOutOfRange { drift: f64 },
    #[error(
        "a longest lease of {longest_ms} ms is shorter than the lease: tell the longest lease still in use"
    )]
    LongestTooShort { longest_ms: i64 },
    #[error("duty {duty} is unknown: tell `steward`, `heir` or `speaker:NUMBER` in `duties`")]
    UnknownDuty { duty: String },
    #[error("duty {duty} is told twice: remove one from `duties`")]
    DutyTwice { duty: String },
    #[error("{n} duties: tell at most {MOST_DUTIES}; each costs a lease")]
    TooManyDuties { n: usize },
    #[error(
        "electorate {told} follows {held}: raise `electorate_number` by exactly one at each change"
    )]
    NotTheNext { told: u32, held: u32 },
    #[error("electorate {told} differs from {held} by more or less than one member: change one at a time")]
    NotByOne { told: u32, held: u32 },
    #[error(
        "electorate {held} is not yet in force at most electors: wait until the status says so"
    )]
    TooSoon { held: u32 },
}

/// FNV-1a over a name, with 32 bits.
pub fn id_of(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |h, b| {
        (h ^ u32::from(b)).wrapping_mul(0x0100_0193)
    })
}

impl Told {
    pub fn terms(&self) -> Result<Terms, Misfit> {
        let mut names: Vec<&str> = self.names.iter().map(String::as_str).collect();
        names.sort_unstable();
        if let Some(two) = names.windows(2).find(|two| two[0] == two[1]) {
            return Err(Misfit::NameTwice {
                name: two[0].to_string(),
            });
        }
        let mut by_id: Vec<(u32, &str)> = names.iter().map(|name| (id_of(name), *name)).collect();
        by_id.sort_unstable();
        if let Some(two) = by_id.windows(2).find(|two| two[0].0 == two[1].0) {
            return Err(Misfit::NamesAlike {
                one: two[0].1.to_string(),
                other: two[1].1.to_string(),
            });
        }
        let own = self.names.iter().position(|name| *name == self.own);
        let own = own.ok_or_else(|| Misfit::OwnUnknown {
            own: self.own.clone(),
        })?;
        let electorate = self.electorate()?;
        self.spans()?;
        let longest = self.longest_lease.unwrap_or(self.lease);
        // A grant lapses by the elector's clock; the silence is by the next process' clock on the same
        // machine.
        let silence = longest * (1.0 + self.drift);
        let ids = self.names.iter().map(|name| id_of(name)).collect();
        let (lease, heartbeat, drift) = (self.lease, self.heartbeat, self.drift);
        Ok(Terms {
            own,
            ids,
            electorate,
            lease,
            heartbeat,
            silence,
            drift,
            duties: self.duties()?,
        })
    }

    /// The electorate by places; also for a change while running.
    pub fn electorate(&self) -> Result<Electorate, Misfit> {
        let n = self.electorate.len();
        if n < FEWEST {
            return Err(Misfit::TooFewElectors { n });
        }
        if n > MOST {
            return Err(Misfit::TooManyElectors { n });
        }
        let mut electors: Vec<NodeIx> = Vec::with_capacity(n);
        for name in &self.electorate {
            let at = self.names.iter().position(|known| known == name);
            let at = at.ok_or_else(|| Misfit::ElectorUnknown { name: name.clone() })?;
            if electors.contains(&at) {
                return Err(Misfit::ElectorTwice { name: name.clone() });
            }
            electors.push(at);
        }
        electors.sort_unstable();
        Ok(Electorate {
            number: self.electorate_number,
            electors,
        })
    }

    fn spans(&self) -> Result<(), Misfit> {
        let ms = |span: TimeDelta| span.0 / 1000;
        let (lease_ms, heartbeat_ms) = (ms(self.lease), ms(self.heartbeat));
        if !(100..=60_000).contains(&lease_ms) {
            return Err(Misfit::LeaseOutOfRange { lease_ms });
        }
        if heartbeat_ms < 10 {
            return Err(Misfit::HeartbeatOutOfRange { heartbeat_ms });
        }
        if self.lease < self.heartbeat + self.heartbeat {
            return Err(Misfit::LeaseTooShort {
                lease_ms,
                heartbeat_ms,
            });
        }
        // A comparison that NaN fails as well.
        if !(0.0..=DRIFT_MOST).contains(&self.drift) {
            return Err(Misfit::DriftOutOfRange { drift: self.drift });
        }
        match self.longest_lease {
            Some(longest) if longest < self.lease => Err(Misfit::LongestTooShort {
                longest_ms: ms(longest),
            }),
            _ => Ok(()),
        }
    }

    fn duties(&self) -> Result<Vec<Duty>, Misfit> {
        if self.duties.len() > MOST_DUTIES {
            return Err(Misfit::TooManyDuties {
                n: self.duties.len(),
            });
        }
        let mut duties = Vec::with_capacity(self.duties.len());
        for name in &self.duties {
            let duty: Duty = name.parse()?;
            if duties.contains(&duty) {
                return Err(Misfit::DutyTwice { duty: name.clone() });
            }
            duties.push(duty);
        }
        Ok(duties)
    }
}

impl Terms {
    /// How long a holder may act on a majority's votes, from before it asked for them. By the holder's clock
    /// it is shorter than the lease by as much as that clock may be slow and the electors' may be fast.
    pub fn own_lease(&self) -> TimeDelta {
        self.lease * ((1.0 - self.drift) / (1.0 + self.drift))
    }

    pub fn place(&self, id: u32) -> Option<NodeIx> {
        self.ids.iter().position(|known| *known == id)
    }
}
