//! What a gateway keeps of endpoints, requests and trials, as plain types; the decisions over them are in `policy`.

use std::collections::{BTreeMap, BTreeSet};

use nanorand::WyRand;

use crate::sliding_window::SlidingWindow;
use crate::FALLBACK;
use harrierdock_types::*;
use harrierdock_types::{TimeDelta, Timestamp};

#[derive(Default)]
pub struct Endpoint {
    pub listed: EndpointRecord,
    pub started: Option<Timestamp>,
    /// When a list last said that it runs.
    pub seen: Timestamp,
    pub out: usize,
    /// The first send since the endpoint was last heard of.
    pub owes: Option<Timestamp>,
    pub pace: f64,
    /// How many attempts it may hold of ours, and the mean answer time in latency objectives that steers this.
    pub limit: f64,
    pub lag: f64,
    /// When attempts were sent that we no longer wait for, though the endpoint may still work on them.
    pub ghosts: Vec<Timestamp>,
    pub shut: Timestamp,
    pub dead_until: Timestamp,
    pub good: f64,
    pub strikes: i32,
    pub left_out: Timestamp,
    pub sends: SlidingWindow<()>,
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
    pub endpoint: EndpointId,
    pub build: BuildId,
    pub sent: Timestamp,
    pub standing: Standing,
}

impl Attempt {
    pub fn closed(&self) -> bool {
        matches!(self.standing, Standing::Closed { .. })
    }

    pub fn may_have_run(&self) -> bool {
        self.standing
            != Standing::Closed {
                may_have_run: false,
            }
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
    pub class: ClassId,
    pub key: Option<AffinityKey>,
    pub taken: Timestamp,
    pub deadline: Timestamp,
    pub attempts: Vec<Attempt>,
    pub answer: Answer,
    pub due: Option<Timestamp>,
}

/// What a payoff looks at: the page's answer within the latency objective; all service and its pace against the time
/// before; pace beside the earlier build; no failure, no complaint, no failure of one request class.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    InTime,
    Whole,
    Brisk,
    Quick,
    Sound,
    Right,
    SoundAt(ClassId),
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
        Payoff {
            count: self.count + other.count * times,
            sum: self.sum + other.sum * times,
        }
    }

    /// How hard the payoffs seen strain against a true mean of `q`: their count times the KL divergence.
    pub fn strain(&self, q: f64) -> f64 {
        let part = |p: f64, q: f64| {
            if p > 0.0 {
                p * (p / q.max(f64::EPSILON)).ln()
            } else {
                0.0
            }
        };
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
    pub build: BuildId,
    pub stage: usize,
    pub since: Timestamp,
    pub witnessed: bool,
    pub payoffs: BTreeMap<(Side, Arm), BTreeMap<EndpointId, Payoff>>,
    pub drops: [BTreeMap<PeerId, usize>; 2],
    pub told: Option<Timestamp>,
    pub held_from: Option<Timestamp>,
}

#[derive(Clone, Copy, PartialEq)]
pub enum Ballot {
    /// To be cast, or to be cast again, once its time comes.
    Due,
    Stands,
}

pub type Vote = (BuildId, usize, RolloutDecision);

#[derive(Clone, Copy, Default, PartialEq)]
pub enum Watch {
    #[default]
    Never,
    Asked(Timestamp),
    Standing,
    Failed(Timestamp),
}

/// What traffic came to in a while: requests taken, those of them that are no client's repeats, and answers by endpoints.
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

/// A member of our circle: since when it tells without a gap, when it last did, and its open attempts then.
#[derive(Clone, Copy)]
pub struct Member {
    pub since: Timestamp,
    pub told: Timestamp,
    pub open: usize,
}

/// How a zone's endpoints answer, all together.
#[derive(Clone, Copy, Default)]
pub struct Zone {
    pub heard: Timestamp,
    /// Connections that were not made, and mean answer times owed, since then.
    pub failed: f64,
    pub owed: f64,
    pub strikes: i32,
    pub left_out: Timestamp,
}

/// One row a request class: what was told of it, and its mean answer time so far.
pub struct Row {
    pub retry_safety: RetrySafety,
    pub latency_objective: TimeDelta,
    pub mean: TimeDelta,
    /// What part of the requests taken is of it.
    pub share: f64,
}

/// All that one instance keeps: one value, nothing shared.
#[derive(Default)]
pub struct Gateway {
    pub parameters: Parameters,
    pub rows: Vec<Row>,
    pub now: Timestamp,
    pub chance: WyRand,
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
    pub gossip_ids: BTreeMap<GossipId, EndpointId>,
    pub fleet: usize,
    /// The ready endpoints whose build is not on trial, and those whose build is.
    pub arms: [Vec<EndpointId>; 2],
    /// Of the build last told: its share of the ready endpoints, how many it has, its newest start.
    pub runs: (f64, usize, Option<Timestamp>),
    /// The earlier build's answer times by model, against the request class's mean.
    pub usual: BTreeMap<usize, f64>,
    pub before: BTreeMap<Side, Payoff>,
    pub rate: f64,
    pub phase_from: Timestamp,
    pub troubled: Timestamp,
    pub requests: BTreeMap<RequestId, Txn>,
    pub changed: BTreeSet<RequestId>,
    pub due: BTreeSet<(Timestamp, RequestId)>,
    pub beat: Timestamp,
    pub armed: Option<Timestamp>,
    pub taken: SlidingWindow<ClassId>,
    /// What a circle's traffic came to, a pulse at a time, and what this gateway has not told of it yet.
    pub heard: SlidingWindow<Flow>,
    pub flow: Flow,
    pub members: BTreeMap<PeerId, Member>,
    pub unserved: f64,
    pub served: SlidingWindow<()>,
    pub looks: SlidingWindow<()>,
    pub exposed: SlidingWindow<(ClassId, BuildId)>,
    pub pins: BTreeMap<AffinityKey, BuildId>,
    pub pinned: f64,
    pub news: Option<RolloutUpdate>,
    pub trial: Trial,
    pub vote: Option<Vote>,
    /// The vote last wanted, and when it may be cast next.
    pub cast: Option<(Vote, Timestamp, Ballot)>,
    pub watch: Watch,
    /// The fates that the circle's speaker has not been told yet.
    pub untold: Vec<OutcomeReport>,
    pub paces_told: Timestamp,
    pub lost_told: usize,
    /// The part of requests given up on at once, against a jam.
    pub shed: f64,
    pub lowered: Timestamp,
    pub zones: BTreeMap<ZoneId, Zone>,
    /// Until when a silent zone was left out last.
    pub cut: Timestamp,
    pub passed_on: Timestamp,
    pub unjudged: bool,
}

/// What is kept in order, without deciding anything.
impl Gateway {
    pub fn shortest_latency_objective(&self) -> TimeDelta {
        self.rows
            .iter()
            .map(|r| r.latency_objective)
            .min()
            .unwrap_or(TimeDelta(1_000_000))
    }

    /// Keeps a key with a build. Guards against an earlier build's late answer, which takes no later pin back.
    pub fn keep_pin(&mut self, key: AffinityKey, build: BuildId) {
        let held = self.pins.entry(key).or_default();
        *held = build.max(*held);
    }

    /// The cap that is told for a build; all of it for one that is not on trial any more.
    pub fn cap_of(&self, build: BuildId) -> f64 {
        match &self.news {
            Some(news) if build == news.build && news.phase != RolloutPhase::Released => {
                news.exposure_limit
            }
            Some(news) if build <= news.build => 1.0,
            _ => self
                .parameters
                .rollout
                .exposure_limits
                .first()
                .copied()
                .unwrap_or(0.0),
        }
    }

    pub fn look_again(&mut self, id: RequestId, at: Timestamp) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        // Guards against a wait that outlasts the client: a look comes at its expiry at the latest.
        let at = at.min(request.deadline);
        if let Some(before) = request.due.replace(at) {
            self.due.remove(&(before, id));
        }
        self.due.insert((at, id));
    }

    /// How far back a circle's traffic is looked at. Guards against latency objectives longer than the window of exposure,
    /// in which a pulse or none would stand for all of it.
    pub fn flow_span(&self) -> TimeDelta {
        self.parameters
            .rollout
            .exposure_window
            .max(self.shortest_latency_objective())
    }

    /// Takes down a pulse of the circle's traffic; an empty one says nothing of how it is answered.
    pub fn hear_flow(&mut self, flow: Flow) {
        if flow.taken + flow.answered > 0 {
            self.heard.push(self.now, flow);
        }
    }

    /// Whether there has been traffic for this long. Guards against a share of answers taken from requests that have
    /// had no time to be answered.
    pub fn heard_for(&self, span: TimeDelta) -> bool {
        self.heard.first().is_some_and(|at| self.now - at >= span)
    }

    /// What the circle's traffic came to of late.
    pub fn lately(&self, span: TimeDelta) -> Flow {
        let since = self.heard.since(self.now - span);
        since.fold(Flow::default(), |all, f| all.with(f))
    }

    /// Lets go of what no window holds any more.
    pub fn forget(&mut self) {
        let edge = self.now - self.parameters.rollout.exposure_window - self.parameters.tick;
        self.taken.forget(edge);
        self.served.forget(edge);
        self.looks.forget(edge);
        self.exposed.forget(edge);
        self.heard.forget(self.now - self.flow_span() * 1.5);
        // Guards against keeping all endpoints that ever ran; a complaint may speak of one for a while.
        let edge = self.now - FALLBACK - self.parameters.safety.slow_start_window * 3.0;
        self.endpoints
            .retain(|_, s| s.listed.lifecycle != Lifecycle::Removed || s.out > 0 || s.seen > edge);
        self.gossip_ids
            .retain(|_, ix| self.endpoints.contains_key(ix));
        // Guards against keeping every key, also while no list comes: one is free to go anywhere where no endpoint runs
        // an earlier build. One that was lost may come back with its build, so those gone count while remembered.
        if let Some(earliest) = self.endpoints.values().map(|s| s.listed.build).min() {
            self.pins.retain(|_, build| *build > earliest);
        }
        let edge = self.now - self.parameters.safety.overload_window;
        let longest = self
            .parameters
            .classes
            .iter()
            .map(|p| p.timeout)
            .max()
            .unwrap_or(TimeDelta::ZERO);
        for endpoint in self.endpoints.values_mut() {
            endpoint.ghosts.retain(|g| self.now - *g < longest);
            endpoint.sends.forget(edge);
        }
    }
}
