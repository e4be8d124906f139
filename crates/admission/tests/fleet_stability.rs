//! Many simulated gateways that share one pool of endpoints: together they admit about as much as the pool sustains, although load reports
//! are delayed and all gateways react to the same ones. Endpoint work is constant, so that only the gateways can cause oscillations.

use harrierdock_admission::load_report::decode;
use harrierdock_admission::{
    Action, AdmissionController, AdmissionParameters, AdmissionRequest, Decision, Event,
};
use harrierdock_types::PeerId;
use harrierdock_types::{AttemptOutcome, ClassParameters, RequestId};
use harrierdock_types::{ClassId, ZoneId};
use harrierdock_types::{TimeDelta, Timestamp};
use nanorand::{Rng, WyRand};

const STEP_US: i64 = 10_000;
const SERVICE_TIME_US: i64 = 80_000;
const REPORT_DELAY_US: i64 = 30_000;
/// The number of steps over which admitted requests are summed up: a fifth of the latency objective, so that oscillations with a period of
/// the objective show.
const STEPS_PER_SUM: usize = 10;
/// Requests per second that the pool sustains, whatever the number of gateways.
const SUSTAINABLE_PER_SECOND: f64 = 1500.0;
/// The offered load from 1 s on, as a ratio to the sustainable one.
const OVERLOAD_RATIO: f64 = 2.0;

struct Fleet {
    now_us: i64,
    gateways: Vec<AdmissionController>,
    /// When the timer of each gateway fires.
    timers_us: Vec<i64>,
    /// Reports in transit: arrival time, receiver, sender and bytes.
    messages: Vec<(i64, usize, usize, Vec<u8>)>,
    /// Attempts in flight, in the order of service: start time and gateway.
    in_flight: std::collections::VecDeque<(i64, usize)>,
}

impl Fleet {
    fn new(gateway_count: usize) -> Fleet {
        let class = ClassParameters {
            latency_objective: TimeDelta(500_000),
            timeout: TimeDelta(1_500_000),
            priority_weight: 1.0,
            ..ClassParameters::default()
        };
        let parameters = |seed| AdmissionParameters {
            classes: vec![class],
            zone_count: 1,
            incarnation: 1,
            seed,
            ..AdmissionParameters::default()
        };
        let mut gateways: Vec<AdmissionController> = (0..gateway_count)
            .map(|gateway| AdmissionController::new(parameters(gateway as u64 + 1)))
            .collect();
        for (own, gateway) in gateways.iter_mut().enumerate() {
            for peer in (0..gateway_count).filter(|peer| *peer != own) {
                gateway.handle(
                    Timestamp(0),
                    Event::MemberChanged {
                        peer: PeerId(peer),
                        incarnation: Some(1),
                    },
                );
            }
        }
        let mut rng = WyRand::new_seed(gateway_count as u64);
        let timers_us = (0..gateway_count)
            .map(|_| rng.generate_range(0..50_000_i64))
            .collect();
        Fleet {
            now_us: 0,
            gateways,
            timers_us,
            messages: Vec::new(),
            in_flight: Default::default(),
        }
    }

    /// Runs a step with `arriving` requests and at most `capacity` responses. Returns how many requests were admitted.
    fn run_step(&mut self, arriving: usize, capacity: usize, rng: &mut WyRand) -> usize {
        self.now_us += STEP_US;
        self.respond(capacity);
        let admitted = self.admit(arriving, rng);
        self.deliver_reports();
        self.fire_timers();
        admitted
    }

    fn respond(&mut self, capacity: usize) {
        let now = Timestamp(self.now_us);
        for _ in 0..capacity {
            if self
                .in_flight
                .front()
                .is_none_or(|(started_us, _)| self.now_us - started_us < SERVICE_TIME_US)
            {
                break;
            }
            let Some((started_us, gateway)) = self.in_flight.pop_front() else {
                break;
            };
            self.gateways[gateway].handle(
                now,
                Event::AttemptFinished {
                    class: ClassId(0),
                    zone: ZoneId(0),
                    outcome: AttemptOutcome::Succeeded,
                    duration: TimeDelta(self.now_us - started_us),
                },
            );
        }
    }

    fn admit(&mut self, arriving: usize, rng: &mut WyRand) -> usize {
        let now = Timestamp(self.now_us);
        let mut admitted = 0;
        for n in 0..arriving {
            let gateway = rng.generate_range(0..self.gateways.len());
            let request = AdmissionRequest {
                id: RequestId((self.now_us + n as i64) as u64),
                class: ClassId(0),
                tenant: None,
                zones: 0,
                age: TimeDelta::ZERO,
                remaining: TimeDelta(1_500_000),
                may_have_effect: false,
            };
            if self.gateways[gateway].decide(now, &request) == Decision::Admit {
                self.gateways[gateway].handle(now, Event::AttemptStarted { zone: ZoneId(0) });
                self.in_flight.push_back((self.now_us, gateway));
                admitted += 1;
            }
        }
        admitted
    }

    fn deliver_reports(&mut self) {
        let arrived: Vec<_> = self
            .messages
            .extract_if(.., |(arrival_us, ..)| *arrival_us <= self.now_us)
            .collect();
        for (_, to, from, bytes) in arrived {
            let report = decode(&bytes).expect("a report");
            self.gateways[to].handle(
                Timestamp(self.now_us),
                Event::ReportReceived {
                    from: PeerId(from),
                    report,
                },
            );
        }
    }

    fn fire_timers(&mut self) {
        let now = Timestamp(self.now_us);
        for gateway in 0..self.gateways.len() {
            if self.timers_us[gateway] > self.now_us {
                continue;
            }
            for action in self.gateways[gateway].handle(now, Event::TimerFired) {
                match action {
                    Action::SendReport { to, bytes } => {
                        self.messages
                            .push((self.now_us + REPORT_DELAY_US, to.0, gateway, bytes))
                    }
                    Action::SetTimer { after } => self.timers_us[gateway] = self.now_us + after.0,
                    _ => {}
                }
            }
        }
    }
}

/// The requests admitted in each tenth of a second from 3 s on, as a ratio to those that the pool sustains in that time.
fn admitted_ratios(gateway_count: usize, seconds: i64) -> Vec<f64> {
    let (mut fleet, mut rng) = (Fleet::new(gateway_count), WyRand::new_seed(7));
    let mut admitted = Vec::new();
    // Fractions of a request carried over to the next step: arriving requests and capacity.
    let mut carry = (0.0, 0.0);
    for step in 0..seconds * 1_000_000 / STEP_US {
        let load_ratio = if step < 1_000_000 / STEP_US {
            0.6
        } else {
            OVERLOAD_RATIO
        };
        let sustainable_per_step = SUSTAINABLE_PER_SECOND * STEP_US as f64 / 1e6;
        carry = (
            carry.0 + load_ratio * sustainable_per_step,
            carry.1 + sustainable_per_step,
        );
        let (arriving, capacity) = (carry.0 as usize, carry.1 as usize);
        carry = (carry.0.fract(), carry.1.fract());
        admitted.push(fleet.run_step(arriving, capacity, &mut rng));
    }
    let sums = admitted[3_000_000 / STEP_US as usize..]
        .chunks(STEPS_PER_SUM)
        .filter(|chunk| chunk.len() == STEPS_PER_SUM);
    sums.map(|chunk| {
        chunk.iter().sum::<usize>() as f64
            / (SUSTAINABLE_PER_SECOND * STEPS_PER_SUM as f64 * STEP_US as f64 / 1e6)
    })
    .collect()
}

fn check_stability(gateway_count: usize, seconds: i64) {
    let admitted_ratios = admitted_ratios(gateway_count, seconds);
    println!("{gateway_count} gateways at twice the sustainable load admit, as ratios to it: {admitted_ratios:.2?}");
    assert!(admitted_ratios.len() >= 20);
    assert!(
        admitted_ratios
            .iter()
            .all(|ratio| (0.8..1.2).contains(ratio)),
        "{gateway_count} gateways admit {admitted_ratios:.2?} of the sustainable load"
    );
}

#[test]
fn ten_gateways_admit_the_sustainable_load_without_oscillating() {
    check_stability(10, 7);
}

#[test]
fn a_hundred_gateways_admit_the_sustainable_load_without_oscillating() {
    check_stability(100, 6);
}

#[test]
fn three_hundred_gateways_admit_the_sustainable_load_without_oscillating() {
    check_stability(300, 5);
}
