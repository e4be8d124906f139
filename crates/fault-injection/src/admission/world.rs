//! A day in simulated time: servers with slots, a queue in order and work that is dropped once expired;
//! gateways that draw two servers and take the one that holds less of theirs.

use harrierdock_types::PeerId;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use harrierdock_admission::{load_report, Action, AdmissionController, AdmissionParameters, Event};
use harrierdock_types::Timestamp;
use nanorand::{Rng, WyRand};

use super::day::{Day, Fault, DOWN, END, KILLED, SECOND, TENANTS, ZONES};
use super::ways::{Circle, Gateway, Kept, Way, BEAT, CIRCLES, PULSE};

/// Restarts are known to all this much later.
const KNOWN: i64 = 200_000;
/// The clock's zero, so that no point is negative.
const START: i64 = 1_000 * SECOND;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Due {
    Done {
        server: usize,
        job: Job,
    },
    Beat {
        gateway: usize,
        incarnation: u32,
    },
    Mail {
        to: usize,
        from: usize,
        bytes: Vec<u8>,
    },
    Tally {
        to: usize,
        from: usize,
        counts: [usize; 3],
    },
    Shed {
        to: usize,
        parts: u64,
    },
    Look {
        txn: usize,
    },
    Expire {
        txn: usize,
        attempt: u8,
    },
    Kill,
    Up {
        gateway: usize,
    },
    Known {
        gateway: usize,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Job {
    pub(super) txn: usize,
    pub(super) gateway: usize,
    pub(super) incarnation: u32,
    pub(super) attempt: u8,
    pub(super) sent: i64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum State {
    #[default]
    New,
    Waits,
    Out,
    Ended,
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Txn {
    pub(super) state: State,
    pub(super) gateway: usize,
    pub(super) incarnation: u32,
    pub(super) attempts: u8,
    pub(super) server: usize,
    pub(super) sent: i64,
}

#[derive(Clone, Debug, Default)]
pub struct Sums {
    pub priority_weight: f64,
    pub revenue_in_trouble: f64,
    pub sent: usize,
    pub late: usize,
    pub declined: usize,
    pub waited: usize,
    pub waited_in_time: usize,
    pub bytes: usize,
    /// Admitted in each tenth of a second.
    pub tenths: Vec<f64>,
    /// By priority weight (the cheap first) and tenant, and by gateway, in the trouble: those offered and those
    /// served in time.
    pub tenants: [Vec<(f64, f64)>; 2],
    pub gateways: Vec<(f64, f64)>,
}

pub struct World<'a> {
    pub(super) day: &'a Day,
    pub(super) way: Way,
    pub(super) now: i64,
    pub(super) due: BinaryHeap<Reverse<(i64, u64, Due)>>,
    pub(super) number: u64,
    pub(super) chance: WyRand,
    pub(super) gateways: Vec<Gateway>,
    pub(super) running: Vec<usize>,
    pub(super) queues: Vec<VecDeque<Job>>,
    pub(super) loads: Vec<usize>,
    pub(super) txns: Vec<Txn>,
    pub(super) waits: Vec<bool>,
    pub(super) sums: Sums,
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
        let place = AdmissionParameters {
            classes: day.classes.clone(),
            zone_count: ZONES,
            tenant_quotas: TENANTS.to_vec(),
            incarnation,
            min_retry_after: None,
            seed: day.seed ^ (gateway as u64) << 20 ^ u64::from(incarnation),
        };
        Gateway {
            incarnation,
            up: true,
            kept: vec![Kept::NEW; day.speeds.len()],
            circle: Circle {
                share: [1.0 / 3.0; 3],
                ..Circle::default()
            },
            admission: (self.way == Way::Shared).then(|| AdmissionController::new(place)),
        }
    }

    /// It learns who is there, and has its first beat at a time of its own.
    fn begin(&mut self, gateway: usize) {
        for peer in (0..self.day.gateways).filter(|p| *p != gateway) {
            let incarnation = self.gateways[peer].incarnation;
            self.tell(
                gateway,
                Event::MemberChanged {
                    peer: PeerId(peer),
                    incarnation: Some(incarnation),
                },
            );
        }
        let (after, incarnation) = (
            self.chance.generate_range(0..BEAT as u64),
            self.gateways[gateway].incarnation,
        );
        self.at(
            self.now + after as i64,
            Due::Beat {
                gateway,
                incarnation,
            },
        );
    }

    pub(super) fn at(&mut self, at: i64, due: Due) {
        self.number += 1;
        self.due.push(Reverse((at, self.number, due)));
    }

    pub(super) fn point(&self) -> Timestamp {
        Timestamp(START + self.now)
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

    pub(super) fn tell(&mut self, gateway: usize, event: Event) {
        let now = self.point();
        let Some(admission) = self.gateways[gateway].admission.as_mut() else {
            return;
        };
        for action in admission.handle(now, event) {
            match action {
                Action::Admit { id } => {
                    let txn = id.0 as usize;
                    if self.txns[txn].state == State::Waits {
                        self.place(txn);
                    }
                }
                Action::Reject { id, .. } => self.decline(id.0 as usize),
                Action::SendReport { to, bytes } => {
                    self.sums.bytes += bytes.len();
                    self.mail(
                        gateway,
                        to.0,
                        Due::Mail {
                            to: to.0,
                            from: gateway,
                            bytes,
                        },
                    );
                }
                Action::SetTimer { after } => {
                    let incarnation = self.gateways[gateway].incarnation;
                    self.at(
                        self.now + after.0,
                        Due::Beat {
                            gateway,
                            incarnation,
                        },
                    );
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
            Due::Beat {
                gateway,
                incarnation,
            } => {
                if self.gateways[gateway].up && self.gateways[gateway].incarnation == incarnation {
                    self.tell(gateway, Event::TimerFired);
                    self.circle_beat(gateway, incarnation);
                }
            }
            Due::Mail { to, from, bytes } => {
                if let (true, Ok(news)) = (self.gateways[to].up, load_report::decode(&bytes)) {
                    self.tell(
                        to,
                        Event::ReportReceived {
                            from: PeerId(from),
                            report: news,
                        },
                    );
                }
            }
            Due::Tally {
                to,
                from,
                counts: [taken, answered, open],
            } => {
                if self.gateways[to].up {
                    self.gateways[to]
                        .circle
                        .hear(self.now, from, taken, answered, open);
                }
            }
            Due::Shed { to, parts } => {
                self.gateways[to].circle.shed = (parts as f64 / 63.0).min(0.9)
            }
            Due::Look { txn } => {
                let of = &self.gateways[self.txns[txn].gateway];
                if self.txns[txn].state == State::Waits
                    && of.up
                    && of.incarnation == self.txns[txn].incarnation
                {
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
                    self.tell(
                        other,
                        Event::MemberChanged {
                            peer: PeerId(gateway),
                            incarnation,
                        },
                    );
                }
            }
        }
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
            self.at(
                now + BEAT,
                Due::Beat {
                    gateway,
                    incarnation,
                },
            );
        }
        if self.way != Way::Shed || of <= CIRCLES {
            return;
        }
        let open = self.gateways[gateway]
            .kept
            .iter()
            .map(|k| k.out as usize)
            .sum();
        let circle = &mut self.gateways[gateway].circle;
        let due = now - circle.told >= PULSE;
        if speaker == gateway {
            let (taken, answered) = (
                std::mem::take(&mut circle.taken),
                std::mem::take(&mut circle.answered),
            );
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
            let counts = [
                std::mem::take(&mut circle.taken),
                std::mem::take(&mut circle.answered),
                open,
            ];
            self.mail(
                gateway,
                speaker,
                Due::Tally {
                    to: speaker,
                    from: gateway,
                    counts,
                },
            );
        }
    }
}
