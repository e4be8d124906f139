//! What a gateway keeps of servers, txns and trials, as plain types; the decisions over them are in `policy`.

use std::collections::{BTreeMap, BTreeSet};

use nanorand::WyRand;

use crate::sliding_window::Recent;
use crate::FALLBACK;
use harrierdock_types::interface::*;
use harrierdock_types::time::{Point, Span};

#[derive(Default)]
pub struct Server {
    pub listed: Listed,
    pub started: Option<Point>,
    /// When a list last said that it runs.
    pub seen: Point,
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

    /// How hard they strain against being no worse than the rest, of which one more may yet be lost.
    pub fn strain_below(&self, rest: &Payoff) -> f64 {
        let usual = rest.sum / (rest.count + 1.0);
        if self.mean() < usual {
            self.strain(usual)
        } else {
            0.0
        }
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
    /// To be cast, or to be cast again, once its time comes.
    Due,
    Stands,
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

/// What traffic came to in a while: txns taken, those of them that are no client's repeats, and answers by servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Flow {
    pub taken: usize,
    pub fresh: usize,
    pub answered: usize,
}

impl Flow {
    pub fn with(self, other: &Flow) -> Flow {
        Flow {
            taken: self.taken + other.taken,
            fresh: self.fresh + other.fresh,
            answered: self.answered + other.answered,
        }
    }
}

/// A member of our circle: since when it tells without a gap, when it last did, and its open submissions then.
#[derive(Clone, Copy)]
pub struct Member {
    pub since: Point,
    pub told: Point,
    pub open: usize,
}

/// How a zone's servers answer, all together.
#[derive(Clone, Copy, Default)]
pub struct Zone {
    pub heard: Point,
    /// Connections that were not made, and mean answer times owed, since then.
    pub failed: f64,
    pub owed: f64,
    pub strikes: i32,
    pub left_out: Point,
}

/// One row a product: what was told of it, and its mean answer time so far.
pub struct Row {
    pub repeat: Repeat,
    pub sla: Span,
    pub mean: Span,
    /// What part of the txns taken is of it.
    pub share: f64,
}

/// All that one instance keeps: one value, nothing shared.
#[derive(Default)]
pub struct Gateway {
    pub terms: Terms,
    pub rows: Vec<Row>,
    pub now: Point,
    pub chance: WyRand,
    pub servers: BTreeMap<ServerIx, Server>,
    pub marks: BTreeMap<u16, ServerIx>,
    pub fleet: usize,
    /// The ready servers whose build is not on trial, and those whose build is.
    pub arms: [Vec<ServerIx>; 2],
    /// Of the build last told: its share of the ready servers, how many it has, its newest start.
    pub runs: (f64, usize, Option<Point>),
    /// The earlier build's answer times by model, against the product's mean.
    pub usual: BTreeMap<usize, f64>,
    pub before: BTreeMap<Side, Payoff>,
    pub rate: f64,
    pub phase_from: Point,
    pub troubled: Point,
    pub txns: BTreeMap<TxnId, Txn>,
    pub changed: BTreeSet<TxnId>,
    pub due: BTreeSet<(Point, TxnId)>,
    pub beat: Point,
    pub armed: Option<Point>,
    pub taken: Recent<ProductIx>,
    /// What a circle's traffic came to, a pulse at a time, and what this gateway has not told of it yet.
    pub heard: Recent<Flow>,
    pub flow: Flow,
    pub members: BTreeMap<PeerIx, Member>,
    pub unserved: f64,
    pub served: Recent<()>,
    pub looks: Recent<()>,
    pub exposed: Recent<(ProductIx, Build)>,
    pub pins: BTreeMap<Key, Build>,
    pub pinned: f64,
    pub news: Option<StageNews>,
    pub trial: Trial,
    pub vote: Option<Vote>,
    /// The vote last wanted, and when it may be cast next.
    pub cast: Option<(Vote, Point, Ballot)>,
    pub watch: Watch,
    /// The fates that the circle's speaker has not been told yet.
    pub untold: Vec<Hearsay>,
    pub paces_told: Point,
    pub lost_told: usize,
    /// The part of txns given up on at once, against a jam.
    pub shed: f64,
    pub lowered: Point,
    pub zones: BTreeMap<ZoneIx, Zone>,
    /// Until when a silent zone was left out last.
    pub cut: Point,
    pub passed_on: Point,
    pub unjudged: bool,
}

/// What is kept in order, without deciding anything.
impl Gateway {
    pub fn shortest_sla(&self) -> Span {
        self.rows.iter().map(|r| r.sla).min().unwrap_or(Span(1_000_000))
    }

    /// Keeps a key with a build. Guards against an earlier build's late answer, which takes no later pin back.
    pub fn keep_pin(&mut self, key: Key, build: Build) {
        let held = self.pins.entry(key).or_default();
        *held = build.max(*held);
    }

    /// The cap that is told for a build; all of it for one that is not on trial any more.
    pub fn cap_of(&self, build: Build) -> f64 {
        match &self.news {
            Some(news) if build == news.build && news.phase != Phase::Released => news.cap,
            Some(news) if build <= news.build => 1.0,
            _ => self.terms.release.caps.first().copied().unwrap_or(0.0),
        }
    }

    pub fn look_again(&mut self, id: TxnId, at: Point) {
        let Some(txn) = self.txns.get_mut(&id) else { return };
        // Guards against a wait that outlasts the client: a look comes at its expiry at the latest.
        let at = at.min(txn.expiry);
        if let Some(before) = txn.due.replace(at) {
            self.due.remove(&(before, id));
        }
        self.due.insert((at, id));
    }

    /// How far back a circle's traffic is looked at. Guards against SLA times longer than the window of exposure,
    /// in which a pulse or none would stand for all of it.
    pub fn flow_span(&self) -> Span {
        self.terms.release.window.max(self.shortest_sla())
    }

    /// Takes down a pulse of the circle's traffic; an empty one says nothing of how it is answered.
    pub fn hear_flow(&mut self, flow: Flow) {
        if flow.taken + flow.answered > 0 {
            self.heard.push(self.now, flow);
        }
    }

    /// Whether there has been traffic for this long. Guards against a share of answers taken from txns that have
    /// had no time to be answered.
    pub fn heard_for(&self, span: Span) -> bool {
        self.heard.first().is_some_and(|at| self.now - at >= span)
    }

    /// What the circle's traffic came to of late.
    pub fn lately(&self, span: Span) -> Flow {
        let since = self.heard.since(self.now - span);
        since.fold(Flow::default(), |all, f| all.with(f))
    }

    /// Lets go of what no window holds any more.
    pub fn forget(&mut self) {
        let edge = self.now - self.terms.release.window - self.terms.tick;
        self.taken.forget(edge);
        self.served.forget(edge);
        self.looks.forget(edge);
        self.exposed.forget(edge);
        self.heard.forget(self.now - self.flow_span() * 1.5);
        // Guards against keeping all servers that ever ran; a complaint may speak of one for a while.
        let edge = self.now - FALLBACK - self.terms.rules.ramp * 3.0;
        self.servers.retain(|_, s| s.listed.lifecycle != Lifecycle::Gone || s.out > 0 || s.seen > edge);
        self.marks.retain(|_, ix| self.servers.contains_key(ix));
        // Guards against keeping every key, also while no list comes: one is free to go anywhere where no server runs
        // an earlier build. One that was lost may come back with its build, so those gone count while remembered.
        if let Some(earliest) = self.servers.values().map(|s| s.listed.build).min() {
            self.pins.retain(|_, build| *build > earliest);
        }
        let edge = self.now - self.terms.rules.fall;
        let longest = self.terms.products.iter().map(|p| p.expiry).max().unwrap_or(Span::ZERO);
        for server in self.servers.values_mut() {
            server.ghosts.retain(|g| self.now - *g < longest);
            server.sends.forget(edge);
        }
    }
}
