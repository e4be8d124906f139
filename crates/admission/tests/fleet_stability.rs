//! Many gateways in one process before one pool of servers: what they admit together stays near what the pool
//! bears, as news is old and all act on the same. Work is exact, so that what swings is theirs and not
//! chance.

use harrierdock_admission::load_report::read;
use harrierdock_admission::{Action, Admission, Ask, Decision, Event, Place};
use harrierdock_types::PeerId;
use harrierdock_types::{AttemptOutcome, ClassParameters, RequestId};
use harrierdock_types::{ClassId, ZoneId};
use harrierdock_types::{TimeDelta, Timestamp};
use nanorand::{Rng, WyRand};

const STEP: i64 = 10_000;
const WORK: i64 = 80_000;
const DELAY: i64 = 30_000;
/// Steps over which what is admitted is summed up: a fifth of the latency objective, so that swings of one latency objective
/// show.
const PART: usize = 10;
/// Requests a second that the pool bears, whatever the number of gateways, and those that come from 1 s on.
const BORNE: f64 = 1500.0;
const COMES: f64 = 2.0;

struct Fleet {
    now: i64,
    gateways: Vec<Admission>,
    wakes: Vec<i64>,
    mail: Vec<(i64, usize, usize, Vec<u8>)>,
    /// When each that is out came, and whose it is; served in order.
    out: std::collections::VecDeque<(i64, usize)>,
}

impl Fleet {
    fn new(of: usize) -> Fleet {
        let terms = ClassParameters {
            latency_objective: TimeDelta(500_000),
            timeout: TimeDelta(1_500_000),
            priority_weight: 1.0,
            ..ClassParameters::default()
        };
        let one = |seed| Place {
            classes: vec![terms],
            zones: 1,
            incarnation: 1,
            seed,
            ..Place::default()
        };
        let mut gateways: Vec<Admission> =
            (0..of).map(|g| Admission::new(one(g as u64 + 1))).collect();
        for (own, gateway) in gateways.iter_mut().enumerate() {
            for peer in (0..of).filter(|p| *p != own) {
                gateway.take(
                    Timestamp(0),
                    Event::Member {
                        peer: PeerId(peer),
                        incarnation: Some(1),
                    },
                );
            }
        }
        let mut chance = WyRand::new_seed(of as u64);
        let wakes = (0..of)
            .map(|_| chance.generate_range(0..50_000_i64))
            .collect();
        Fleet {
            now: 0,
            gateways,
            wakes,
            mail: Vec::new(),
            out: Default::default(),
        }
    }

    fn step(&mut self, comes: usize, served: usize, chance: &mut WyRand) -> usize {
        self.now += STEP;
        let now = Timestamp(self.now);
        for _ in 0..served {
            if self.out.front().is_none_or(|o| self.now - o.0 < WORK) {
                break;
            }
            let Some((since, by)) = self.out.pop_front() else {
                break;
            };
            let (outcome, took) = (AttemptOutcome::Succeeded, TimeDelta(self.now - since));
            self.gateways[by].take(
                now,
                Event::Ended {
                    class: ClassId(0),
                    zone: ZoneId(0),
                    outcome,
                    took,
                },
            );
        }
        let mut admitted = 0;
        for n in 0..comes {
            let by = chance.generate_range(0..self.gateways.len());
            let (id, left) = (
                RequestId((self.now + n as i64) as u64),
                TimeDelta(1_500_000),
            );
            let ask = Ask {
                id,
                class: ClassId(0),
                tenant: None,
                zones: 0,
                age: TimeDelta::ZERO,
                left,
                ran: false,
            };
            if self.gateways[by].decide(now, &ask) == Decision::Admit {
                self.gateways[by].take(now, Event::Sent { zone: ZoneId(0) });
                self.out.push_back((self.now, by));
                admitted += 1;
            }
        }
        let due: Vec<_> = self.mail.extract_if(.., |m| m.0 <= self.now).collect();
        for (_, to, from, bytes) in due {
            let news = read(&bytes).expect("news");
            self.gateways[to].take(
                now,
                Event::Heard {
                    from: PeerId(from),
                    news,
                },
            );
        }
        for by in 0..self.gateways.len() {
            if self.wakes[by] > self.now {
                continue;
            }
            for action in self.gateways[by].take(now, Event::Wake) {
                match action {
                    Action::Tell { to, bytes } => {
                        self.mail.push((self.now + DELAY, to.0, by, bytes))
                    }
                    Action::Wake { after } => self.wakes[by] = self.now + after.0,
                    _ => {}
                }
            }
        }
        admitted
    }
}

/// The sum admitted in each tenth of a second from the third second on, over what the pool bears in it.
fn swings(of: usize, seconds: i64) -> Vec<f64> {
    let (mut fleet, mut chance) = (Fleet::new(of), WyRand::new_seed(7));
    let (mut admitted, mut left) = (Vec::new(), (0.0, 0.0));
    for step in 0..seconds * 1_000_000 / STEP {
        let load = if step < 1_000_000 / STEP { 0.6 } else { COMES };
        let a_step = BORNE * STEP as f64 / 1e6;
        left = (left.0 + load * a_step, left.1 + a_step);
        let counts = (left.0 as usize, left.1 as usize);
        left = (left.0.fract(), left.1.fract());
        admitted.push(fleet.step(counts.0, counts.1, &mut chance));
    }
    let sums = admitted[3_000_000 / STEP as usize..]
        .chunks(PART)
        .filter(|c| c.len() == PART);
    sums.map(|c| c.iter().sum::<usize>() as f64 / (BORNE * PART as f64 * STEP as f64 / 1e6))
        .collect()
}

fn holds(of: usize, seconds: i64) {
    let swings = swings(of, seconds);
    println!("{of} gateways, twice what is borne: {swings:.2?}");
    assert!(swings.len() >= 20);
    assert!(
        swings.iter().all(|s| (0.8..1.2).contains(s)),
        "{of} gateways admit {swings:.2?} of what is borne"
    );
}

#[test]
fn ten_gateways_admit_what_is_borne_and_do_not_swing() {
    holds(10, 7);
}

#[test]
fn a_hundred_gateways_admit_what_is_borne_and_do_not_swing() {
    holds(100, 6);
}

#[test]
fn three_hundred_gateways_admit_what_is_borne_and_do_not_swing() {
    holds(300, 5);
}
