//! Admission by deadline over all gateways: what is let in, kept waiting or declined at once, so that what is
//! sent makes its deadline. `Admission::new` makes one gateway's part; `take(now, event)` tells it what
//! happened and gives back what it asks for; `decide(now, ask)` says at once what is to become of a request, and
//! allocates nothing. No I/O, no clock of its own, chance by the told seed. `sketch` keeps answer times,
//! `news` is what gateways tell each other, `peers` what was heard of it, `gates` what follows for each
//! request class.

pub mod admission_rates;
pub mod fair_share;
pub mod latency_histogram;
pub mod load_report;
mod peer_reports;
mod wait_queue;

use harrierdock_types::{
    AttemptOutcome, ClassId, ClassParameters, IdempotencyScope, PeerId, RequestId, RetrySafety,
    TenantId, ZoneId,
};
use harrierdock_types::{TimeDelta, Timestamp};
use nanorand::{Rng, WyRand};

use admission_rates::Gates;
use load_report::{Figures, News, MOST_PRODUCTS, MOST_TENANTS, MOST_ZONES};
use peer_reports::{Peers, Sum};
pub use peer_reports::{MOST_HEARD, MOST_MEMBERS};
pub use wait_queue::MOST_WAITING;
use wait_queue::{Waiter, Waiting};

// Ratios to the shortest latency objective.
const BEAT: f64 = 0.1; // between two looks at everything, each with one message
const WINDOW: f64 = 0.5; // over which counts fade
const MEMORY: f64 = 2.0; // over which sketches fade
const FADES: f64 = 0.5; // over which a peer's news fades
/// Of a request class's latency objective: how long a request may wait. It needs the rest at the servers.
pub const PATIENCE: f64 = 0.1;
/// Messages at each beat, each to another peer by chance.
const TOLD: usize = 2;
/// Of a request's priority weight: less than this part to be hoped for is never sent.
const NEVER: f32 = 0.1;

/// What a gateway is told of its place in the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Place {
    pub classes: Vec<ClassParameters>,
    pub zones: usize,
    /// Tenants' shares; empty where there are none.
    pub tenant_quotas: Vec<f64>,
    /// Another one for each start, higher than any before.
    pub incarnation: u32,
    /// The least time to come back that a decline tells; none where declines tell none.
    pub retry_after: Option<TimeDelta>,
    pub seed: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A attempt went out to a server of this zone.
    Sent {
        zone: ZoneId,
    },
    /// It is no longer out.
    Ended {
        class: ClassId,
        zone: ZoneId,
        outcome: AttemptOutcome,
        took: TimeDelta,
    },
    /// A waiting request's client went away, or it was answered otherwise.
    Left {
        id: RequestId,
    },
    /// Membership tells who is there and at which incarnation; none: no longer.
    Member {
        peer: PeerId,
        incarnation: Option<u32>,
    },
    Heard {
        from: PeerId,
        news: News,
    },
    Wake,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Admit {
        id: RequestId,
    },
    Decline {
        id: RequestId,
        retry_after: Option<TimeDelta>,
    },
    Tell {
        to: PeerId,
        bytes: Vec<u8>,
    },
    Wake {
        after: TimeDelta,
    },
}

/// A request that is to be decided on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ask {
    pub id: RequestId,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    /// The zones whose servers it may use, a bit each; none told are all.
    pub zones: u8,
    /// How long ago it came, and how long until it expires.
    pub age: TimeDelta,
    pub left: TimeDelta,
    /// A attempt of it may have run.
    pub ran: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    Admit,
    /// It is kept; `Action::Admit` or `Action::Decline` follows within this.
    Wait {
        at_most: TimeDelta,
    },
    Decline {
        retry_after: Option<TimeDelta>,
    },
}

pub struct Admission {
    place: Place,
    shortest: TimeDelta,
    born: Option<Timestamp>,
    beat: Option<Timestamp>,
    own: Figures,
    /// Submissions out that this gateway knows of, by zone; `own.open` tells them once it is old enough.
    out: Vec<u32>,
    peers: Peers,
    sum: Sum,
    gates: Gates,
    /// What is left over of each request class's passing part, by tenant: at one, a request passes.
    credit: Vec<f32>,
    waiting: Waiting,
    number: u32,
    turn: usize,
    chance: WyRand,
}

impl Admission {
    pub fn new(mut place: Place) -> Admission {
        place.classes.truncate(MOST_PRODUCTS);
        place.tenant_quotas.truncate(MOST_TENANTS);
        place.zones = place.zones.clamp(1, MOST_ZONES);
        for class in &mut place.classes {
            class.latency_objective = class.latency_objective.max(TimeDelta(1000));
            // Guards against terms that are no numbers: such a request class is worth nothing, and late nothing
            // too.
            class.priority_weight = Some(class.priority_weight)
                .filter(|r| r.is_finite())
                .unwrap_or(0.0);
            class.late_value_ratio = Some(class.late_value_ratio)
                .filter(|w| w.is_finite())
                .unwrap_or(0.0);
        }
        let (classes, zones, tenants) =
            (place.classes.len(), place.zones, place.tenant_quotas.len());
        let mut chance = WyRand::new_seed(place.seed);
        Admission {
            shortest: place
                .classes
                .iter()
                .map(|p| p.latency_objective)
                .min()
                .unwrap_or(TimeDelta(1_000_000)),
            born: None,
            beat: None,
            own: Figures::new(classes, zones, tenants),
            out: vec![0; zones],
            peers: Peers::default(),
            sum: Sum::default(),
            gates: Gates::new(&place.classes, zones, tenants),
            // Gateways that begin alike do not let the same requests in.
            credit: (0..classes * (tenants + 1))
                .map(|_| chance.generate::<f32>())
                .collect(),
            waiting: Waiting::new(),
            number: 0,
            turn: 0,
            chance,
            place,
        }
    }

    pub fn gates(&self) -> &Gates {
        &self.gates
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Members known, and those of them whose news is kept.
    pub fn peers(&self) -> (usize, usize) {
        (self.peers.count(), self.peers.heard())
    }

    /// Decides on a request at its arrival, or before a further attempt.
    pub fn decide(&mut self, now: Timestamp, ask: &Ask) -> Decision {
        let Some(terms) = self.place.classes.get(ask.class.0).copied() else {
            return Decision::Admit;
        };
        // Guards once-only requests, and those whose repeats not all servers drop: what may have run is not
        // declined; it is the module's to see through.
        let declinable = matches!(
            terms.retry_safety,
            RetrySafety::Idempotent
                | RetrySafety::IdempotencyKey {
                    scope: IdempotencyScope::All,
                    ..
                }
        );
        if ask.ran && !declinable {
            return Decision::Admit;
        }
        let (latency_objective, priority_weight) = (terms.latency_objective, terms.priority_weight);
        let tenant = ask.tenant.filter(|t| *t < TenantId(self.own.tenants.len()));
        if !ask.ran && ask.age <= TimeDelta::ZERO {
            self.own.offered[ask.class.0] += 1.0;
            if let Some(tenant) = tenant {
                self.own.tenants[tenant.0] += 1.0;
            }
        }
        let worth = self.gates.worth(
            ask.class,
            &terms,
            ask.zones,
            latency_objective - ask.age,
            ask.left,
        );
        if ask.left <= TimeDelta::ZERO || worth < NEVER {
            return self.decline();
        }
        let part = self.part(now, ask.class, tenant, ask.zones);
        if self.passes(part, ask.class, tenant) {
            return Decision::Admit;
        }
        let at_most = (latency_objective * PATIENCE - ask.age).min(ask.left);
        let soon = self
            .gates
            .opens(ask.class)
            .is_some_and(|after| after <= at_most);
        let late = self.gates.worth(
            ask.class,
            &terms,
            ask.zones,
            latency_objective - ask.age - at_most,
            ask.left - at_most,
        );
        if at_most > TimeDelta::ZERO && soon && late >= worth / 2.0 {
            let (deadline, until) = (now + (latency_objective - ask.age), now + at_most);
            let (id, class, zones) = (ask.id, ask.class, ask.zones);
            if self.waiting.push(Waiter {
                id,
                class,
                tenant,
                zones,
                part,
                priority_weight,
                deadline,
                until,
            }) {
                return Decision::Wait { at_most };
            }
        }
        self.decline()
    }

    fn decline(&mut self) -> Decision {
        Decision::Decline {
            retry_after: self.come_back(),
        }
    }

    /// When a place is to be had again, spread so that clients do not come back in step.
    fn come_back(&mut self) -> Option<TimeDelta> {
        let spread = 0.5 + self.chance.generate::<f64>();
        let least = self.place.retry_after?;
        Some(
            (least.max(self.gates.drains()) * spread)
                .max(least)
                .min(least + self.shortest * MEMORY),
        )
    }

    /// The part of such requests that passes now.
    fn part(&self, now: Timestamp, class: ClassId, tenant: Option<TenantId>, zones: u8) -> f32 {
        let part = self.gates.part(class, tenant, zones);
        // Guards against a gateway that was stopped and goes on with what it held before: that loses its
        // weight, as no beat has come since. Harms by letting in too much where beats are late in a jam.
        let age = self
            .beat
            .map_or(TimeDelta::ZERO, |b| now - b)
            .ratio_to(self.shortest);
        if age > WINDOW {
            return part.max(f32::MIN_POSITIVE).powf((-age).exp() as f32);
        }
        part
    }

    /// Lets this part of a request class's requests through, evenly: what is left over counts for the next.
    fn passes(&mut self, part: f32, class: ClassId, tenant: Option<TenantId>) -> bool {
        let row = class.0 * (self.own.tenants.len() + 1);
        let credit = &mut self.credit[row + tenant.map_or(0, |t| t.0 + 1)];
        *credit = (*credit + part).min(2.0);
        let passes = *credit >= 1.0;
        if passes {
            *credit -= 1.0;
        }
        passes
    }

    pub fn take(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Sent { zone } => {
                if let Some(open) = self.out.get_mut(zone.0) {
                    *open = open.saturating_add(1);
                }
            }
            Event::Ended {
                class,
                zone,
                outcome,
                took,
            } => self.ended(class, zone, outcome, took),
            Event::Left { id } => self.waiting.remove(id),
            Event::Member { peer, incarnation } => self.peers.member(peer, incarnation),
            Event::Heard { from, news } => {
                self.peers.hear(now, from, news, &self.own);
            }
            Event::Wake => self.wake(now, &mut out),
        }
        out
    }

    fn ended(&mut self, class: ClassId, zone: ZoneId, outcome: AttemptOutcome, took: TimeDelta) {
        let (Some(open), Some(terms)) = (self.out.get_mut(zone.0), self.place.classes.get(class.0))
        else {
            return;
        };
        *open = open.saturating_sub(1);
        let answered = matches!(
            outcome,
            AttemptOutcome::Succeeded | AttemptOutcome::ServerError | AttemptOutcome::NotSent
        );
        if answered {
            self.own.answered[zone.0] += 1.0;
        }
        // What was turned away or never reached a server says nothing of how long answers take.
        if answered || outcome == AttemptOutcome::TimedOut {
            let at = class.0 * self.place.zones + zone.0;
            self.own.sketches[at].add(took.ratio_to(terms.latency_objective) as f32);
        }
    }

    fn wake(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let born = *self.born.get_or_insert(now);
        let beat = self.shortest * BEAT;
        let since = self.beat.map_or(beat, |b| now - b).max(TimeDelta::ZERO);
        if since < beat / 2.0 {
            return self.look(now, out);
        }
        self.beat = Some(now);
        let fades = |over: f64| (-since.ratio_to(self.shortest * over)).exp() as f32;
        let (counts, sketches) = (fades(WINDOW), fades(MEMORY));
        let Figures {
            offered,
            tenants,
            open,
            answered,
            sketches: kept,
        } = &mut self.own;
        [offered, tenants, answered]
            .into_iter()
            .flatten()
            .for_each(|c| *c *= counts);
        kept.iter_mut().for_each(|s| s.fade(sketches));
        // Guards against a start's bias: what is out then was not heard to be answered yet.
        let old = now - born >= self.shortest;
        open.iter_mut()
            .zip(&self.out)
            .for_each(|(o, n)| *o = if old { *n as f32 } else { 0.0 });
        let blank;
        let own = if old {
            &self.own
        } else {
            let own = &self.own;
            blank = Figures::new(own.offered.len(), own.open.len(), own.tenants.len());
            &blank
        };
        self.peers
            .sum(now, own, self.shortest * FADES, &mut self.sum);
        self.gates.turn(
            &self.place,
            self.shortest * WINDOW,
            since,
            !old,
            &mut self.sum,
        );
        self.look(now, out);
        self.tell(old, out);
        // A beat of another length each time: gateways do not act in step. None is longer than the shortest
        // wait.
        out.push(Action::Wake {
            after: beat * (0.8 + 0.2 * self.chance.generate::<f64>()),
        });
    }

    /// Those that wait, the dearest and most pressing first: whoever passes is admitted, whoever has waited
    /// long enough is told to come back.
    fn look(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.waiting.is_empty() {
            return;
        }
        let mut waiting = std::mem::take(&mut self.waiting);
        let find = |w: &mut Waiter| {
            // It has had its chance at what passed then; now at what passes more.
            let part = self.part(now, w.class, w.tenant, w.zones);
            let more = (part - w.part).max(0.0) / (1.0 - w.part).max(f32::EPSILON);
            w.part = w.part.max(part);
            if now <= w.until && more > 0.0 && self.passes(more, w.class, w.tenant) {
                return Some(Action::Admit { id: w.id });
            }
            let over = now + self.shortest * BEAT > w.until;
            over.then(|| Action::Decline {
                id: w.id,
                retry_after: self.come_back(),
            })
        };
        waiting.look(find, out);
        self.waiting = waiting;
    }

    /// The same number of messages at each beat, whatever the size of the fleet.
    fn tell(&mut self, old: bool, out: &mut Vec<Action>) {
        let count = self.peers.count();
        let first = if count > 0 {
            self.chance.generate_range(0..count)
        } else {
            0
        };
        for n in 0..TOLD.min(count) {
            let Some(to) = self.peers.nth((first + n * count.div_ceil(TOLD)) % count) else {
                continue;
            };
            self.number = self.number.saturating_add(1);
            let (incarnation, number, view) =
                (self.place.incarnation, self.number, self.gates.view());
            let head = News {
                incarnation,
                number,
                view,
                ..News::default()
            };
            let blank = Figures::new(
                self.own.offered.len(),
                self.own.open.len(),
                self.own.tenants.len(),
            );
            let (bytes, turn) =
                load_report::write(&head, if old { &self.own } else { &blank }, self.turn);
            if n == 0 {
                self.turn = turn;
            }
            out.push(Action::Tell { to, bytes });
        }
    }
}
