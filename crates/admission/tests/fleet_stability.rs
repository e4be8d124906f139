//! Many gateways in one process before one pool of endpoints: what they admit together stays near what the pool sustains, although
//! reports are old and all gateways act on the same ones. Work is exact, so that oscillations are the gateways' own.

use harrierdock_admission::load_report::decode;
use harrierdock_admission::{
    Action, AdmissionController, AdmissionParameters, AdmissionRequest, Decision, Event,
};
use harrierdock_types::PeerId;
use harrierdock_types::{AttemptOutcome, ClassParameters, RequestId};
use harrierdock_types::{ClassId, ZoneId};
use harrierdock_types::{TimeDelta, Timestamp};
use nanorand::{Rng, WyRand};

const STEP: i64 = 10_000;
const WORK: i64 = 80_000;
const DELAY: i64 = 30_000;
/// Steps over which what is admitted is summed up: a fifth of the latency objective, so that oscillations of one latency objective
/// show.
const PART: usize = 10;
/// Requests a second that the pool sustains, whatever the number of gateways, and those that come from 1 s on.
const SUSTAINABLE_PER_SECOND: f64 = 1500.0;
const COMES: f64 = 2.0;

struct Fleet {
    now: i64,
    gateways: Vec<AdmissionController>,
    timers: Vec<i64>,
    messages: Vec<(i64, usize, usize, Vec<u8>)>,
    /// When each that is out came, and whose it is; served in order.
    out: std::collections::VecDeque<(i64, usize)>,
}

impl Fleet {
    fn new(of: usize) -> Fleet {
        let class = ClassParameters {
            latency_objective: TimeDelta(500_000),
            timeout: TimeDelta(1_500_000),
            priority_weight: 1.0,
            ..ClassParameters::default()
        };
        let one = |seed| AdmissionParameters {
            classes: vec![class],
            zone_count: 1,
            incarnation: 1,
            seed,
            ..AdmissionParameters::default()
        };
        let mut gateways: Vec<AdmissionController> = (0..of)
            .map(|g| AdmissionController::new(one(g as u64 + 1)))
            .collect();
        for (own, gateway) in gateways.iter_mut().enumerate() {
            for peer in (0..of).filter(|p| *p != own) {
                gateway.handle(
                    Timestamp(0),
                    Event::MemberChanged {
                        peer: PeerId(peer),
                        incarnation: Some(1),
                    },
                );
            }
        }
        let mut rng = WyRand::new_seed(of as u64);
        let timers = (0..of).map(|_| rng.generate_range(0..50_000_i64)).collect();
        Fleet {
            now: 0,
            gateways,
            timers,
            messages: Vec::new(),
            out: Default::default(),
        }
    }

    /// One step, in which so many requests come and at most so many are answered. Returns how many were admitted.
    fn step(&mut self, comes: usize, served: usize, rng: &mut WyRand) -> usize {
        self.now += STEP;
        self.answer(served);
        let admitted = self.admit(comes, rng);
        self.deliver_reports();
        self.fire_timers();
        admitted
    }

    fn answer(&mut self, served: usize) {
        let now = Timestamp(self.now);
        for _ in 0..served {
            if self.out.front().is_none_or(|o| self.now - o.0 < WORK) {
                break;
            }
            let Some((since, by)) = self.out.pop_front() else {
                break;
            };
            self.gateways[by].handle(
                now,
                Event::AttemptFinished {
                    class: ClassId(0),
                    zone: ZoneId(0),
                    outcome: AttemptOutcome::Succeeded,
                    duration: TimeDelta(self.now - since),
                },
            );
        }
    }

    fn admit(&mut self, comes: usize, rng: &mut WyRand) -> usize {
        let now = Timestamp(self.now);
        let mut admitted = 0;
        for n in 0..comes {
            let by = rng.generate_range(0..self.gateways.len());
            let request = AdmissionRequest {
                id: RequestId((self.now + n as i64) as u64),
                class: ClassId(0),
                tenant: None,
                zones: 0,
                age: TimeDelta::ZERO,
                remaining: TimeDelta(1_500_000),
                may_have_run: false,
            };
            if self.gateways[by].decide(now, &request) == Decision::Admit {
                self.gateways[by].handle(now, Event::AttemptStarted { zone: ZoneId(0) });
                self.out.push_back((self.now, by));
                admitted += 1;
            }
        }
        admitted
    }

    fn deliver_reports(&mut self) {
        let arrived: Vec<_> = self.messages.extract_if(.., |m| m.0 <= self.now).collect();
        for (_, to, from, bytes) in arrived {
            let report = decode(&bytes).expect("a report");
            self.gateways[to].handle(
                Timestamp(self.now),
                Event::ReportReceived {
                    from: PeerId(from),
                    report,
                },
            );
        }
    }

    fn fire_timers(&mut self) {
        let now = Timestamp(self.now);
        for by in 0..self.gateways.len() {
            if self.timers[by] > self.now {
                continue;
            }
            for action in self.gateways[by].handle(now, Event::TimerFired) {
                match action {
                    Action::SendReport { to, bytes } => {
                        self.messages.push((self.now + DELAY, to.0, by, bytes))
                    }
                    Action::SetTimer { after } => self.timers[by] = self.now + after.0,
                    _ => {}
                }
            }
        }
    }
}

/// The sum admitted in each tenth of a second from the third second on, over what the pool sustains in it.
fn admitted_ratios(of: usize, seconds: i64) -> Vec<f64> {
    let (mut fleet, mut rng) = (Fleet::new(of), WyRand::new_seed(7));
    let (mut admitted, mut left) = (Vec::new(), (0.0, 0.0));
    for step in 0..seconds * 1_000_000 / STEP {
        let load = if step < 1_000_000 / STEP { 0.6 } else { COMES };
        let a_step = SUSTAINABLE_PER_SECOND * STEP as f64 / 1e6;
        left = (left.0 + load * a_step, left.1 + a_step);
        let counts = (left.0 as usize, left.1 as usize);
        left = (left.0.fract(), left.1.fract());
        admitted.push(fleet.step(counts.0, counts.1, &mut rng));
    }
    let sums = admitted[3_000_000 / STEP as usize..]
        .chunks(PART)
        .filter(|c| c.len() == PART);
    sums.map(|c| {
        c.iter().sum::<usize>() as f64 / (SUSTAINABLE_PER_SECOND * PART as f64 * STEP as f64 / 1e6)
    })
    .collect()
}

fn check_stability(of: usize, seconds: i64) {
    let admitted_ratios = admitted_ratios(of, seconds);
    println!("{of} gateways, twice what is sustainable: {admitted_ratios:.2?}");
    assert!(admitted_ratios.len() >= 20);
    assert!(
        admitted_ratios.iter().all(|s| (0.8..1.2).contains(s)),
        "{of} gateways admit {admitted_ratios:.2?} of what is sustainable"
    );
}

#[test]
fn ten_gateways_admit_what_is_sustainable_without_oscillating() {
    check_stability(10, 7);
}

#[test]
fn a_hundred_gateways_admit_what_is_sustainable_without_oscillating() {
    check_stability(100, 6);
}

#[test]
fn three_hundred_gateways_admit_what_is_sustainable_without_oscillating() {
    check_stability(300, 5);
}
