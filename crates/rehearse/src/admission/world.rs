//! A day in simulated time: servers with slots, a queue in order and work that is dropped once expired; gateways that
//! draw two servers and take the one that holds less of theirs.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use harrierdock::interface::{Outcome, TxnId};
use harrierdock::time::{Point, Span};
use harrierdock_admission::{news, Action, Admission, Ask, Decision, Event, Place};
use nanorand::{Rng, WyRand};

use super::day::{Day, Fault, COUNTED, DOWN, END, KILLED, QUEUE, FASTEST, SECOND, SLOTS, TENANTS, TROUBLE, ZONES};
use super::ways::{choose, lag, Circle, Gateway, Kept, Way, BEAT, CIRCLES, PULSE};

/// Restarts are known to all this much later.
const KNOWN: i64 = 200_000;
const ATTEMPTS: u8 = 3;
/// The clock's zero, so that no point is negative.
const START: i64 = 1_000 * SECOND;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Done { server: usize, job: Job },
    Beat { gateway: usize, incarnation: u32 },
    Mail { to: usize, from: usize, bytes: Vec<u8> },
    Tally { to: usize, from: usize, counts: [usize; 3] },
    Shed { to: usize, parts: u64 },
    Look { txn: usize },
    Expire { txn: usize, attempt: u8 },
    Kill,
    Up { gateway: usize },
    Known { gateway: usize },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Job {
    txn: usize,
    gateway: usize,
    incarnation: u32,
    attempt: u8,
    sent: i64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    New,
    Waits,
    Out,
    Ended,
}

#[derive(Clone, Copy, Debug, Default)]
struct Txn {
    state: State,
    gateway: usize,
    incarnation: u32,
    attempts: u8,
    server: usize,
    sent: i64,
}

#[derive(Clone, Debug, Default)]
pub struct Sums {
    pub revenue: f64,
    pub revenue_in_trouble: f64,
    pub sent: usize,
    pub late: usize,
    pub declined: usize,
    pub waited: usize,
    pub waited_in_time: usize,
    pub bytes: usize,
    /// Admitted in each tenth of a second.
    pub tenths: Vec<f64>,
    /// By revenue (the cheap first) and tenant, and by gateway, in the trouble: those offered and those served in time.
    pub tenants: [Vec<(f64, f64)>; 2],
    pub gateways: Vec<(f64, f64)>,
}

pub struct World<'a> {
    day: &'a Day,
    way: Way,
    now: i64,
    due: BinaryHeap<Reverse<(i64, u64, Due)>>,
    number: u64,
    chance: WyRand,
    gateways: Vec<Gateway>,
    running: Vec<usize>,
    queues: Vec<VecDeque<Job>>,
    loads: Vec<usize>,
    txns: Vec<Txn>,
    waits: Vec<bool>,
    sums: Sums,
}

impl<'a> World<'a> {
    pub fn new(day: &'a Day, way: Way) -> World<'a> {
        let mut world = World {
            day,
            way,
            now: 0,
            due: BinaryHeap::new(),
            number: 0,
            chance: WyRand::new_seed(day.seed ^ 0x5eed),
            gateways: Vec::new(),
            running: vec![0; day.speeds.len()],
            queues: vec![VecDeque::new(); day.speeds.len()],
            loads: vec![0; day.speeds.len()],
            txns: vec![Txn::default(); day.comes.len()],
            waits: vec![false; day.comes.len()],
            sums: Sums {
                tenths: vec![0.0; (END / 100_000) as usize],
                tenants: [0, 1].map(|_| vec![(0.0, 0.0); TENANTS.len()]),
                gateways: vec![(0.0, 0.0); day.gateways],
                ..Sums::default()
            },
        };
        for gateway in 0..day.gateways {
            let fresh = world.fresh(gateway, 1);
            world.gateways.push(fresh);
        }
        for gateway in 0..day.gateways {
            world.begin(gateway);
        }
        if day.fault == Fault::KillMost {
            world.at(KILLED, Due::Kill);
        }
        world
    }

    fn fresh(&self, gateway: usize, incarnation: u32) -> Gateway {
        let day = self.day;
        let place = Place {
            products: day.products.clone(),
            zones: ZONES,
            tenant_quotas: TENANTS.to_vec(),
            incarnation,
            retry_after: None,
            seed: day.seed ^ (gateway as u64) << 20 ^ u64::from(incarnation),
        };
        Gateway {
            incarnation,
            up: true,
            kept: vec![Kept::NEW; day.speeds.len()],
            circle: Circle { share: [1.0 / 3.0; 3], ..Circle::default() },
            admission: (self.way == Way::Shared).then(|| Admission::new(place)),
        }
    }

    /// It learns who is there, and has its first beat at a time of its own.
    fn begin(&mut self, gateway: usize) {
        for peer in (0..self.day.gateways).filter(|p| *p != gateway) {
            let incarnation = self.gateways[peer].incarnation;
            self.tell(gateway, Event::Member { peer, incarnation: Some(incarnation) });
        }
        let (after, incarnation) = (self.chance.generate_range(0..BEAT as u64), self.gateways[gateway].incarnation);
        self.at(self.now + after as i64, Due::Beat { gateway, incarnation });
    }

    fn at(&mut self, at: i64, due: Due) {
        self.number += 1;
        self.due.push(Reverse((at, self.number, due)));
    }

    fn point(&self) -> Point {
        Point(START + self.now)
    }

    pub fn play(mut self) -> Sums {
        let mut next = 0;
        loop {
            let come = self.day.comes.get(next).map_or(i64::MAX, |c| c.at);
            let due = self.due.peek().map_or(i64::MAX, |d| d.0 .0);
            if come.min(due) > END + 2 * SECOND {
                return self.sums;
            }
            if come <= due {
                self.now = come;
                self.come(next);
                next += 1;
            } else if let Some(Reverse((at, _, due))) = self.due.pop() {
                self.now = at;
                self.happen(due);
            }
        }
    }

    fn counted(&self, txn: usize) -> bool {
        (COUNTED.0..COUNTED.1).contains(&self.day.comes[txn].at)
    }

    fn troubled(&self, txn: usize) -> bool {
        (TROUBLE.0..TROUBLE.1).contains(&self.day.comes[txn].at)
    }

    fn come(&mut self, txn: usize) {
        let come = self.day.comes[txn];
        // Clients of a gateway that is down turn to the next.
        let of = self.day.gateways;
        let gateway = (0..of).map(|n| (come.gateway + n) % of).find(|g| self.gateways[*g].up);
        let Some(gateway) = gateway else { return };
        let incarnation = self.gateways[gateway].incarnation;
        self.txns[txn] = Txn { gateway, incarnation, ..Txn::default() };
        if self.troubled(txn) {
            self.sums.tenants[self.day.level(come.product)][come.tenant].0 += 1.0;
            self.sums.gateways[come.gateway].0 += 1.0;
        }
        let expiry = self.day.products[come.product].expiry;
        match self.way {
            Way::Alone => self.place(txn),
            Way::Shed => {
                let circle = &mut self.gateways[gateway].circle;
                circle.taken += 1;
                for (of, share) in circle.share.iter_mut().enumerate() {
                    *share += 0.01 * (f64::from(of == come.product) - *share);
                }
                let part = circle.shed_of(self.day, come.product);
                if self.chance.generate::<f64>() < part {
                    return self.decline(txn);
                }
                self.place(txn);
            }
            Way::Shared => {
                let (id, product) = (TxnId(txn as u64), come.product);
                let (tenant, zones, age, left) = (Some(come.tenant), 0, Span::ZERO, expiry);
                let ask = Ask { id, product, tenant, zones, age, left, ran: false };
                let (now, admission) = (self.point(), self.gateways[gateway].admission.as_mut());
                match admission.map(|a| a.decide(now, &ask)) {
                    Some(Decision::Wait { .. }) => {
                        self.txns[txn].state = State::Waits;
                        self.waits[txn] = true;
                        self.sums.waited += 1;
                    }
                    Some(Decision::Decline { .. }) => self.decline(txn),
                    _ => self.place(txn),
                }
            }
            Way::Bound { cheap, dear } => match choose(self.day, &self.loads, come.product, cheap, dear) {
                Some(server) => self.send(txn, server),
                None => self.decline(txn),
            },
        }
    }

    fn decline(&mut self, txn: usize) {
        self.txns[txn].state = State::Ended;
        self.sums.declined += usize::from(self.counted(txn));
    }

    /// Two servers by chance, the one that holds less of this gateway's. Limits count but where slack is shared.
    fn place(&mut self, txn: usize) {
        let limits = self.way != Way::Shared;
        let gateway = &self.gateways[self.txns[txn].gateway];
        let all = gateway.kept.len();
        let mut found: Option<usize> = None;
        let mut seen = 0;
        for _ in 0..24 {
            let at = self.chance.generate_range(0..all);
            let kept = &gateway.kept[at];
            // Odds by pace, which is taken as known.
            if self.chance.generate::<f64>() * FASTEST > self.day.speeds[at] {
                continue;
            }
            if (limits && f64::from(kept.out + 1) > kept.limit) || self.now < kept.shut {
                continue;
            }
            seen += 1;
            if found.is_none_or(|f| kept.out < gateway.kept[f].out) {
                found = Some(at);
            }
            if seen == 2 {
                break;
            }
        }
        if let Some(server) = found {
            return self.send(txn, server);
        }
        let (come, sla) = (self.day.comes[txn], self.day.products[self.day.comes[txn].product].sla.0);
        if self.now - come.at >= sla / 10 {
            return self.decline(txn);
        }
        self.txns[txn].state = State::Waits;
        self.at(self.now + sla / 25, Due::Look { txn });
    }

    fn send(&mut self, txn: usize, server: usize) {
        let come = self.day.comes[txn];
        let kept = &mut self.txns[txn];
        if kept.attempts == 0 {
            self.sums.sent += usize::from((COUNTED.0..COUNTED.1).contains(&come.at));
            if let Some(tenth) = self.sums.tenths.get_mut((self.now / 100_000) as usize) {
                *tenth += 1.0;
            }
        }
        kept.attempts += 1;
        (kept.state, kept.server, kept.sent) = (State::Out, server, self.now);
        let (gateway, incarnation, attempt) = (kept.gateway, kept.incarnation, kept.attempts);
        self.gateways[gateway].kept[server].out += 1;
        self.tell(gateway, Event::Sent { zone: self.day.zone(server) });
        let job = Job { txn, gateway, incarnation, attempt, sent: self.now };
        if self.running[server] < SLOTS {
            self.start(server, job);
        } else if self.queues[server].len() < QUEUE {
            self.queues[server].push_back(job);
        } else {
            return self.full(job, server);
        }
        self.loads[server] = self.running[server] + self.queues[server].len();
        if attempt == 1 {
            let expiry = self.day.products[come.product].expiry.0;
            self.at(come.at + expiry, Due::Expire { txn, attempt });
        }
    }

    fn start(&mut self, server: usize, job: Job) {
        self.running[server] += 1;
        let work = self.day.comes[job.txn].work as f64 / self.day.speeds[server];
        self.at(self.now + work as i64, Due::Done { server, job });
    }

    fn full(&mut self, job: Job, server: usize) {
        self.end(job, server, Outcome::Full);
        let kept = &mut self.gateways[job.gateway].kept[server];
        kept.shut = self.now + self.day.products[self.day.comes[job.txn].product].sla.0 / 2;
        kept.lost();
        if job.attempt < ATTEMPTS {
            self.place(job.txn);
        } else {
            self.decline(job.txn);
        }
    }

    /// A submission is no longer out, if its gateway still knows of it.
    fn end(&mut self, job: Job, server: usize, outcome: Outcome) -> bool {
        let gateway = &mut self.gateways[job.gateway];
        if gateway.incarnation != job.incarnation || !gateway.up {
            return false;
        }
        gateway.kept[server].out = gateway.kept[server].out.saturating_sub(1);
        let (product, zone, took) = (self.day.comes[job.txn].product, self.day.zone(server), Span(self.now - job.sent));
        self.tell(job.gateway, Event::Ended { product, zone, outcome, took });
        true
    }

    fn done(&mut self, server: usize, job: Job) {
        self.running[server] -= 1;
        while self.running[server] < SLOTS {
            let Some(next) = self.queues[server].pop_front() else { break };
            let come = self.day.comes[next.txn];
            // Dropped as expired: whoever sent it has given up on it.
            if self.now < come.at + self.day.products[come.product].expiry.0 {
                self.start(server, next);
            }
        }
        self.loads[server] = self.running[server] + self.queues[server].len();
        let txn = self.txns[job.txn];
        if txn.state != State::Out || txn.attempts != job.attempt || !self.end(job, server, Outcome::Served) {
            return;
        }
        self.txns[job.txn].state = State::Ended;
        let come = self.day.comes[job.txn];
        let (terms, took) = (&self.day.products[come.product], self.now - come.at);
        let gateway = &mut self.gateways[job.gateway];
        gateway.circle.answered += 1;
        gateway.kept[server].served(lag(self.day, come.product, self.now - job.sent));
        let in_time = took <= terms.sla.0;
        let revenue = terms.revenue * if in_time { 1.0 } else { terms.late_worth };
        if self.counted(job.txn) {
            self.sums.revenue += revenue;
            self.sums.late += usize::from(!in_time);
            self.sums.waited_in_time += usize::from(in_time && self.waits[job.txn]);
        }
        if self.troubled(job.txn) {
            self.sums.revenue_in_trouble += revenue;
            self.sums.tenants[self.day.level(come.product)][come.tenant].1 += f64::from(in_time);
            self.sums.gateways[come.gateway].1 += f64::from(in_time);
        }
    }

    fn tell(&mut self, gateway: usize, event: Event) {
        let now = self.point();
        let Some(admission) = self.gateways[gateway].admission.as_mut() else { return };
        for action in admission.take(now, event) {
            match action {
                Action::Admit { id } => {
                    let txn = id.0 as usize;
                    if self.txns[txn].state == State::Waits {
                        self.place(txn);
                    }
                }
                Action::Decline { id, .. } => self.decline(id.0 as usize),
                Action::Tell { to, bytes } => {
                    self.sums.bytes += bytes.len();
                    self.mail(gateway, to, Due::Mail { to, from: gateway, bytes });
                }
                Action::Wake { after } => {
                    let incarnation = self.gateways[gateway].incarnation;
                    self.at(self.now + after.0, Due::Beat { gateway, incarnation });
                }
            }
        }
    }

    fn mail(&mut self, from: usize, to: usize, due: Due) {
        if !self.day.cut(from, self.now) && !self.day.cut(to, self.now) {
            let delay = 1_300 + self.chance.generate_range(0..26_700_u64) as i64;
            self.at(self.now + delay, due);
        }
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Done { server, job } => self.done(server, job),
            Due::Beat { gateway, incarnation } => {
                if self.gateways[gateway].up && self.gateways[gateway].incarnation == incarnation {
                    self.tell(gateway, Event::Wake);
                    self.circle_beat(gateway, incarnation);
                }
            }
            Due::Mail { to, from, bytes } => {
                if let (true, Ok(news)) = (self.gateways[to].up, news::read(&bytes)) {
                    self.tell(to, Event::Heard { from, news });
                }
            }
            Due::Tally { to, from, counts: [taken, answered, open] } => {
                if self.gateways[to].up {
                    self.gateways[to].circle.hear(self.now, from, taken, answered, open);
                }
            }
            Due::Shed { to, parts } => self.gateways[to].circle.shed = (parts as f64 / 63.0).min(0.9),
            Due::Look { txn } => {
                let of = &self.gateways[self.txns[txn].gateway];
                if self.txns[txn].state == State::Waits && of.up && of.incarnation == self.txns[txn].incarnation {
                    self.place(txn);
                }
            }
            Due::Expire { txn, .. } => self.expire(txn),
            Due::Kill => self.kill(),
            Due::Up { gateway } => {
                let incarnation = self.gateways[gateway].incarnation + 1;
                self.gateways[gateway] = self.fresh(gateway, incarnation);
                self.begin(gateway);
                self.at(self.now + KNOWN, Due::Known { gateway });
            }
            Due::Known { gateway } => {
                let incarnation = Some(self.gateways[gateway].incarnation);
                for other in (0..self.day.gateways).filter(|o| *o != gateway) {
                    self.tell(other, Event::Member { peer: gateway, incarnation });
                }
            }
        }
    }

    fn expire(&mut self, txn: usize) {
        let kept = self.txns[txn];
        if kept.state != State::Out {
            return;
        }
        self.txns[txn].state = State::Ended;
        let Txn { gateway, incarnation, attempts, server, sent, .. } = kept;
        if self.end(Job { txn, gateway, incarnation, attempt: attempts, sent }, server, Outcome::TimedOut) {
            self.gateways[gateway].kept[server].lost();
        }
        self.sums.late += usize::from(self.counted(txn));
    }

    /// What a killed gateway had taken is lost; the servers work on for nobody.
    fn kill(&mut self) {
        for gateway in (0..self.day.gateways).filter(|g| self.day.killed[*g]) {
            self.gateways[gateway].up = false;
            self.at(self.now + DOWN, Due::Up { gateway });
        }
        for txn in &mut self.txns {
            if self.day.killed[txn.gateway] && matches!(txn.state, State::Out | State::Waits) {
                txn.state = State::Ended;
            }
        }
    }

    /// Departure I: members tell their speaker, speakers tell the part to shed.
    fn circle_beat(&mut self, gateway: usize, incarnation: u32) {
        let (now, of, speaker) = (self.now, self.day.gateways, gateway % CIRCLES);
        if self.way != Way::Shared {
            self.at(now + BEAT, Due::Beat { gateway, incarnation });
        }
        if self.way != Way::Shed || of <= CIRCLES {
            return;
        }
        let open = self.gateways[gateway].kept.iter().map(|k| k.out as usize).sum();
        let circle = &mut self.gateways[gateway].circle;
        let due = now - circle.told >= PULSE;
        if speaker == gateway {
            let (taken, answered) = (std::mem::take(&mut circle.taken), std::mem::take(&mut circle.answered));
            circle.hear(now, gateway, taken, answered, open);
            circle.crowd(now, true);
            let parts = (circle.shed * 63.0) as u64;
            if due && circle.shed > 0.0 {
                circle.told = now;
                for to in (gateway + CIRCLES..of).step_by(CIRCLES) {
                    self.mail(gateway, to, Due::Shed { to, parts });
                }
            }
            return;
        }
        circle.crowd(now, false);
        if due {
            circle.told = now;
            let counts = [std::mem::take(&mut circle.taken), std::mem::take(&mut circle.answered), open];
            self.mail(gateway, speaker, Due::Tally { to: speaker, from: gateway, counts });
        }
    }
}
