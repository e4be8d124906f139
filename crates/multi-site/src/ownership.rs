//! What was handed over and is owed an answer, and what was taken in and owes one. One table of each, bounded
//! by what is live and by the longest expiry.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use harrierdock_site_messages::{ForwardingOutcome, GatewayName};
use harrierdock_types::{BuildId, ClassId, RequestId, RetrySafety};
use harrierdock_types::{TimeDelta, Timestamp};

use crate::{InboundId, Membership, PathId};

/// Longest expiries for which the ending of one taken in is remembered, against copies that come late.
const REMEMBERED: f64 = 2.0;
/// Crossings taken in and not yet over, at the most.
const MOST_RUNNING: usize = 4096;
/// Endings remembered at the most; beyond, the oldest are forgotten.
const MOST_DONE: usize = 65_536;

/// One handed over.
#[derive(Clone, Debug, PartialEq)]
pub struct Out {
    pub id: RequestId,
    pub class: ClassId,
    pub peer: GatewayName,
    /// The incarnation that it was handed to.
    pub to: u64,
    pub sent: Timestamp,
    /// When it is voided if no answer has come.
    pub expiry: Timestamp,
    /// The module here had turned it away.
    pub spared: bool,
    pub repeat: RetrySafety,
    pub spans: bool,
    pub road: Option<PathId>,
}

/// What follows for one handed over when its road is lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum After {
    /// It may run again here, within this.
    Here { left: TimeDelta },
    /// Only a late answer can settle it.
    Wait,
}

impl Out {
    /// Whether a further try of the client's is harmless though this one may have run.
    pub fn may_try_again(&self) -> bool {
        match self.repeat {
            RetrySafety::Idempotent => true,
            RetrySafety::IdempotencyKey { .. } => self.spans,
            RetrySafety::NonIdempotent => false,
        }
    }

    /// Guards rule 2 across a cut: what may have run there is run here only if it may run again, a referenced
    /// one only where one group drops its repeats at both sites, and only while repeats are remembered.
    pub fn after_loss(&self, now: Timestamp, tick: TimeDelta) -> After {
        let left = match self.repeat {
            RetrySafety::Idempotent => self.expiry - now,
            RetrySafety::IdempotencyKey {
                deduplication_window: memory,
                ..
            } if self.spans => (self.expiry - now).min(self.sent + memory - tick - now),
            RetrySafety::IdempotencyKey { .. } | RetrySafety::NonIdempotent => return After::Wait,
        };
        if left > tick {
            After::Here { left }
        } else {
            After::Wait
        }
    }
}

/// Which crossing: who handed it over, in which incarnation, under which number.
pub type MultiSiteConfig = (GatewayName, u64, u64);

#[derive(Clone, Debug, PartialEq)]
pub enum Inward {
    Running {
        inward: InboundId,
        road: PathId,
    },
    Done {
        verdict: ForwardingOutcome,
        build: Option<BuildId>,
        body: Vec<u8>,
        at: Timestamp,
    },
}

pub enum Due {
    Expired(Out),
    /// An ending was remembered for long enough.
    Forgotten,
}

pub struct Custody {
    last_out: u64,
    out: BTreeMap<u64, Out>,
    by_txn: BTreeMap<RequestId, u64>,
    expiries: BTreeSet<(Timestamp, u64)>,
    last_in: InboundId,
    inward: BTreeMap<MultiSiteConfig, Inward>,
    running: BTreeMap<InboundId, MultiSiteConfig>,
    done: BTreeSet<(Timestamp, MultiSiteConfig)>,
    remembered: TimeDelta,
    bytes: usize,
    most_bytes: usize,
    /// Those whose bodies are held, oldest first.
    bodies: VecDeque<MultiSiteConfig>,
}

impl Custody {
    pub fn new(longest: TimeDelta, most_bytes: usize) -> Custody {
        Custody {
            last_out: 0,
            out: BTreeMap::new(),
            by_txn: BTreeMap::new(),
            expiries: BTreeSet::new(),
            last_in: 0,
            inward: BTreeMap::new(),
            running: BTreeMap::new(),
            done: BTreeSet::new(),
            remembered: longest * REMEMBERED,
            bytes: 0,
            most_bytes,
            bodies: VecDeque::new(),
        }
    }

    // ---- handed over ----

    pub fn hand_over(&mut self, out: Out) -> u64 {
        self.last_out += 1;
        let crossing = self.last_out;
        self.expiries.insert((out.expiry, crossing));
        self.by_txn.insert(out.id, crossing);
        self.out.insert(crossing, out);
        crossing
    }

    /// A crossing is over; only by the gateway that has it, and once.
    pub fn end(&mut self, crossing: u64, peer: &GatewayName) -> Option<Out> {
        self.out.get(&crossing).filter(|o| o.peer == *peer)?;
        self.remove(crossing)
    }

    fn remove(&mut self, crossing: u64) -> Option<Out> {
        let out = self.out.remove(&crossing)?;
        self.expiries.remove(&(out.expiry, crossing));
        self.by_txn.remove(&out.id);
        Some(out)
    }

    pub fn left(&mut self, id: RequestId) -> Option<(u64, Out)> {
        let crossing = *self.by_txn.get(&id)?;
        Some((crossing, self.remove(crossing)?))
    }

    /// Those that this gateway has and has not answered, with the incarnation each was handed to.
    pub fn owed_by(&self, peer: &GatewayName) -> Vec<(u64, u64)> {
        self.out
            .iter()
            .filter(|(_, o)| o.peer == *peer)
            .map(|(no, o)| (*no, o.to))
            .collect()
    }

    /// A road is lost. Takes out those whose gateway no whole road leads to any more and that need not wait.
    pub fn cut(
        &mut self,
        road: PathId,
        members: &Membership,
        now: Timestamp,
        tick: TimeDelta,
    ) -> Vec<(Out, After)> {
        let on_it = self
            .out
            .iter()
            .filter(|(_, o)| o.road == Some(road) && !members.hears(&o.peer));
        let after = on_it.map(|(no, o)| (*no, o.after_loss(now, tick)));
        let over: Vec<(u64, After)> = after.filter(|(_, after)| *after != After::Wait).collect();
        over.into_iter()
            .filter_map(|(no, after)| Some((self.remove(no)?, after)))
            .collect()
    }

    /// Those handed to an earlier incarnation of a gateway that has started anew.
    pub fn taken_to_the_grave(&mut self, peer: &GatewayName, incarnation: u64) -> Vec<Out> {
        let lost = self
            .out
            .iter()
            .filter(|(_, o)| o.peer == *peer && o.to < incarnation);
        let lost: Vec<u64> = lost.map(|(no, _)| *no).collect();
        lost.into_iter().filter_map(|no| self.remove(no)).collect()
    }

    // ---- taken in ----

    pub fn is_full(&self) -> bool {
        self.running.len() >= MOST_RUNNING
    }

    pub fn inward(&self, place: &MultiSiteConfig) -> Option<&Inward> {
        self.inward.get(place)
    }

    pub fn take_in(&mut self, place: MultiSiteConfig, road: PathId) -> InboundId {
        self.last_in += 1;
        let inward = self.last_in;
        self.running.insert(inward, place.clone());
        self.inward.insert(place, Inward::Running { inward, road });
        inward
    }

    /// Its client went away there.
    pub fn cancel(&mut self, place: &MultiSiteConfig) -> Option<InboundId> {
        match self.inward.get(place) {
            Some(Inward::Running { inward, .. }) => Some(*inward),
            _ => None,
        }
    }

    /// One taken in has ended. Gives back whose it is, and the road it came on.
    pub fn answered(
        &mut self,
        now: Timestamp,
        inward: InboundId,
        verdict: ForwardingOutcome,
        build: Option<BuildId>,
        body: Vec<u8>,
    ) -> Option<(MultiSiteConfig, PathId)> {
        let place = self.running.remove(&inward)?;
        let Some(Inward::Running { road, .. }) = self.inward.get(&place) else {
            return None;
        };
        let road = *road;
        self.close(now, place.clone(), verdict, build, body);
        Some((place, road))
    }

    /// Notes an ending, also of one that was never taken, so that no copy is.
    pub fn close(
        &mut self,
        now: Timestamp,
        place: MultiSiteConfig,
        verdict: ForwardingOutcome,
        build: Option<BuildId>,
        body: Vec<u8>,
    ) {
        self.bytes += body.len();
        self.done.insert((now, place.clone()));
        if !body.is_empty() {
            self.bodies.push_back(place.clone());
        }
        self.inward.insert(
            place,
            Inward::Done {
                verdict,
                build,
                body,
                at: now,
            },
        );
        // Guards against answers that fill the memory: the oldest lose their bodies, and then may only be
        // said to have run.
        while self.bytes > self.most_bytes {
            let Some(place) = self.bodies.pop_front() else {
                break;
            };
            if let Some(Inward::Done { verdict, body, .. }) = self.inward.get_mut(&place) {
                self.bytes -= body.len();
                (*verdict, *body) = (ForwardingOutcome::Unknown, Vec::new());
            }
        }
        while self.done.len() > MOST_DONE {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        let Some((_, place)) = self.done.pop_first() else {
            return;
        };
        if self.bodies.front() == Some(&place) {
            self.bodies.pop_front();
        }
        if let Some(Inward::Done { body, .. }) = self.inward.remove(&place) {
            self.bytes -= body.len();
        }
    }

    /// Those that an earlier incarnation handed over and that still run.
    pub fn orphans(&self, peer: &GatewayName, incarnation: u64) -> Vec<InboundId> {
        let of_peer = self
            .running
            .iter()
            .filter(|(_, p)| p.0 == *peer && p.1 < incarnation);
        of_peer.map(|(no, _)| *no).collect()
    }

    // ---- time ----

    pub fn next(&self) -> Option<Timestamp> {
        let forgotten = self.done.first().map(|d| d.0 + self.remembered);
        self.expiries
            .first()
            .map(|e| e.0)
            .into_iter()
            .chain(forgotten)
            .min()
    }

    pub fn due(&mut self, now: Timestamp) -> Option<Due> {
        if let Some((_, crossing)) = self.expiries.first().filter(|e| e.0 <= now).copied() {
            return self.remove(crossing).map(Due::Expired);
        }
        self.done.first().filter(|d| d.0 + self.remembered <= now)?;
        self.forget_first();
        Some(Due::Forgotten)
    }

    pub fn owed(&self) -> (usize, usize) {
        (self.out.len(), self.running.len())
    }
}
