//! What a gateway keeps of servers, txns and trials, as plain types; the decisions over them are in `policy`.

use std::collections::BTreeMap;

use crate::interface::*;
use crate::recent::Recent;
use crate::time::Point;

#[derive(Default)]
pub struct Server {
    pub listed: Listed,
    pub started: Option<Point>,
    pub out: usize,
    /// The first send since the server was last heard of.
    pub owes: Option<Point>,
    pub pace: f64,
    /// How many submissions it may hold of ours, and the mean answer time in SLA times that steers this.
    pub limit: f64,
    pub lag: f64,
    /// When submissions were sent that we no longer wait for, though the server may still work on them.
    pub ghosts: Vec<Point>,
    pub shut: Point,
    pub dead_until: Point,
    pub good: f64,
    pub strikes: i32,
    pub left_out: Point,
    pub sends: Recent<()>,
    pub dither: f64,
}

#[derive(Clone, Copy, PartialEq)]
pub enum Standing {
    Wanted,
    Out,
    Unwanted,
    Recalled,
    Closed { may_have_run: bool },
}

pub struct Attempt {
    pub server: ServerIx,
    pub build: Build,
    pub sent: Point,
    pub standing: Standing,
}

impl Attempt {
    pub fn closed(&self) -> bool {
        matches!(self.standing, Standing::Closed { .. })
    }

    pub fn may_have_run(&self) -> bool {
        self.standing != Standing::Closed { may_have_run: false }
    }
}

#[derive(Clone, Copy, PartialEq)]
pub enum Answer {
    Owed,
    Streaming,
    Decline,
    Void,
    Given,
}

pub struct Txn {
    pub product: ProductIx,
    pub key: Option<Key>,
    pub taken: Point,
    pub expiry: Point,
    pub attempts: Vec<Attempt>,
    pub answer: Answer,
    pub due: Option<Point>,
}

/// What a payoff looks at: the page's answer within the SLA time; all service and its pace against the time
/// before; pace beside the earlier build; no failure, no complaint, no failure of one product.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    InTime,
    Whole,
    Brisk,
    Quick,
    Sound,
    Right,
    SoundAt(ProductIx),
}

#[derive(Clone, Copy, Default)]
pub struct Payoff {
    pub count: f64,
    pub sum: f64,
}

impl Payoff {
    pub fn mean(&self) -> f64 {
        self.sum / self.count.max(1.0)
    }

    pub fn with(&self, other: &Payoff, times: f64) -> Payoff {
        Payoff { count: self.count + other.count * times, sum: self.sum + other.sum * times }
    }

    /// How hard the payoffs seen strain against a true mean of `q`: their count times the KL divergence.
    pub fn strain(&self, q: f64) -> f64 {
        let part = |p: f64, q: f64| if p > 0.0 { p * (p / q.max(f64::EPSILON)).ln() } else { 0.0 };
        let mean = self.mean().clamp(0.0, 1.0);
        self.count * (part(mean, q) + part(1.0 - mean, 1.0 - q))
    }
}

/// What one stage of a rollout has shown so far.
#[derive(Default)]
pub struct Trial {
    pub build: Build,
    pub stage: usize,
    pub since: Point,
    pub witnessed: bool,
    pub payoffs: BTreeMap<(Side, Arm), BTreeMap<ServerIx, Payoff>>,
    pub drops: [BTreeMap<PeerIx, usize>; 2],
    pub told: Option<Point>,
    pub held_from: Option<Point>,
}

#[derive(Clone, Copy, PartialEq)]
pub enum Ballot {
    Asked,
    Stands,
    Refused,
}

pub type Vote = (Build, usize, Verdict);

#[derive(Clone, Copy, Default, PartialEq)]
pub enum Watch {
    #[default]
    Never,
    Asked(Point),
    Standing,
    Failed(Point),
}
