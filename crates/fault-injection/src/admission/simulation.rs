//! Simulates a scenario with one admission policy. Endpoints process attempts in slots, queue further attempts in order and drop
//! attempts of timed out requests. Gateways send each attempt to the less loaded of two drawn endpoints.

use harrierdock_types::PeerId;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use harrierdock_admission::{Action, AdmissionController, AdmissionParameters, Event};
use harrierdock_types::Timestamp;
use nanorand::{Rng, WyRand};

use super::events::{Attempt, SimulationEvent};
use super::policies::{EndpointState, Gateway, Policy, SheddingState, TIMER_INTERVAL_US};
use super::scenario::{Fault, Scenario, END_US, KILL_AT_US, SECOND_US, TENANT_SHARES, ZONES};

/// The timestamp of the simulation's start. It keeps all timestamps positive.
const START_US: i64 = 1_000 * SECOND_US;
/// A message between gateways is delayed by this and a random time of up to `MESSAGE_DELAY_SPREAD_US`.
const MIN_MESSAGE_DELAY_US: i64 = 1_300;
const MESSAGE_DELAY_SPREAD_US: u64 = 26_700;
pub(super) const TENTH_SECOND_US: i64 = 100_000;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum RequestPhase {
    #[default]
    New,
    /// The request waits at its gateway, for admission or for an endpoint.
    Waiting,
    InFlight,
    Finished,
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RequestState {
    pub(super) phase: RequestPhase,
    /// The gateway that the request arrived at.
    pub(super) gateway: usize,
    /// Incarnation of the gateway when the request arrived.
    pub(super) incarnation: u32,
    /// Attempts sent so far.
    pub(super) attempts: u8,
    /// Endpoint of the last attempt.
    pub(super) endpoint: usize,
    /// When the last attempt was sent.
    pub(super) sent_at_us: i64,
}

/// Requests of a tenant or gateway that arrive during the surge.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServedRequests {
    /// All of these requests.
    pub offered: f64,
    /// Requests answered within the latency objective.
    pub in_time: f64,
}

/// Totals of one simulation. `priority_weight`, `sent`, `late`, `rejected` and `waited_in_time` cover the requests that arrive
/// within `COUNTED_SPAN_US`.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    /// Sum of the priority weights of all answered requests. The weight of a late request is multiplied by its class's late value
    /// ratio: the share of its value that a late answer keeps.
    pub priority_weight: f64,
    /// Like `priority_weight`, for the requests that arrive during the surge.
    pub priority_weight_in_surge: f64,
    /// Requests with at least one attempt.
    pub sent: usize,
    /// Requests answered after their latency objective or not at all.
    pub late: usize,
    pub rejected: usize,
    /// Requests that waited for admission, at any time.
    pub waited: usize,
    /// Requests that waited for admission and were answered in time.
    pub waited_in_time: usize,
    /// Bytes of all load reports.
    pub report_bytes: usize,
    /// Requests sent in each tenth of a second.
    pub sent_by_tenth: Vec<f64>,
    /// By priority level and tenant.
    pub tenants: [Vec<ServedRequests>; 2],
    /// By the gateway that the client prefers.
    pub gateways: Vec<ServedRequests>,
}

pub struct Simulation<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) policy: Policy,
    /// Simulated time since the start.
    pub(super) now_us: i64,
    /// Events by time and, at the same time, in the order in which they were scheduled.
    events: BinaryHeap<Reverse<(i64, u64, SimulationEvent)>>,
    last_event_number: u64,
    pub(super) rng: WyRand,
    pub(super) gateways: Vec<Gateway>,
    /// Attempts that each endpoint processes.
    pub(super) running: Vec<usize>,
    /// Attempts that wait at each endpoint.
    pub(super) queues: Vec<VecDeque<Attempt>>,
    /// Running and queued attempts of each endpoint.
    pub(super) loads: Vec<usize>,
    /// By the index of the request's arrival.
    pub(super) requests: Vec<RequestState>,
    /// Whether the request waited for admission, by request.
    pub(super) has_waited: Vec<bool>,
    pub(super) totals: Totals,
}

impl<'a> Simulation<'a> {
    pub fn new(scenario: &'a Scenario, policy: Policy) -> Simulation<'a> {
        let mut simulation = Simulation {
            scenario,
            policy,
            now_us: 0,
            events: BinaryHeap::new(),
            last_event_number: 0,
            rng: WyRand::new_seed(scenario.seed ^ 0x5eed),
            gateways: Vec::new(),
            running: vec![0; scenario.speeds.len()],
            queues: vec![VecDeque::new(); scenario.speeds.len()],
            loads: vec![0; scenario.speeds.len()],
            requests: vec![RequestState::default(); scenario.arrivals.len()],
            has_waited: vec![false; scenario.arrivals.len()],
            totals: Totals {
                sent_by_tenth: vec![0.0; (END_US / TENTH_SECOND_US) as usize],
                tenants: [0, 1].map(|_| vec![ServedRequests::default(); TENANT_SHARES.len()]),
                gateways: vec![ServedRequests::default(); scenario.gateways],
                ..Totals::default()
            },
        };
        for gateway in 0..scenario.gateways {
            let initial = simulation.initial_gateway(gateway, 1);
            simulation.gateways.push(initial);
        }
        for gateway in 0..scenario.gateways {
            simulation.start_gateway(gateway);
        }
        if scenario.fault == Fault::KillMost {
            simulation.schedule(KILL_AT_US, SimulationEvent::GatewaysKilled);
        }
        simulation
    }

    pub(super) fn initial_gateway(&self, gateway: usize, incarnation: u32) -> Gateway {
        let scenario = self.scenario;
        let parameters = AdmissionParameters {
            classes: scenario.classes.clone(),
            zone_count: ZONES,
            tenant_quotas: TENANT_SHARES.to_vec(),
            incarnation,
            min_retry_after: None,
            seed: scenario.seed ^ (gateway as u64) << 20 ^ u64::from(incarnation),
        };
        Gateway {
            incarnation,
            is_running: true,
            endpoints: vec![EndpointState::INITIAL; scenario.speeds.len()],
            shedding: SheddingState {
                class_shares: [1.0 / 3.0; 3],
                ..SheddingState::default()
            },
            admission: (self.policy == Policy::SharedSlack)
                .then(|| AdmissionController::new(parameters)),
        }
    }

    /// Notifies a gateway of its peers, and schedules its first timer event at a random time within the interval.
    pub(super) fn start_gateway(&mut self, gateway: usize) {
        for peer in (0..self.scenario.gateways).filter(|peer| *peer != gateway) {
            let incarnation = self.gateways[peer].incarnation;
            self.deliver(
                gateway,
                Event::MemberChanged {
                    peer: PeerId(peer),
                    incarnation: Some(incarnation),
                },
            );
        }
        let delay_us = self.rng.generate_range(0..TIMER_INTERVAL_US as u64);
        let incarnation = self.gateways[gateway].incarnation;
        self.schedule(
            self.now_us + delay_us as i64,
            SimulationEvent::GatewayTimerFired {
                gateway,
                incarnation,
            },
        );
    }

    pub(super) fn schedule(&mut self, at_us: i64, event: SimulationEvent) {
        self.last_event_number += 1;
        self.events
            .push(Reverse((at_us, self.last_event_number, event)));
    }

    pub(super) fn timestamp(&self) -> Timestamp {
        Timestamp(START_US + self.now_us)
    }

    /// Simulates until two seconds after `END_US`.
    pub fn run(mut self) -> Totals {
        let mut next_request = 0;
        loop {
            let arrival_us = self
                .scenario
                .arrivals
                .get(next_request)
                .map_or(i64::MAX, |arrival| arrival.at_us);
            let event_us = self
                .events
                .peek()
                .map_or(i64::MAX, |Reverse((at_us, _, _))| *at_us);
            if arrival_us.min(event_us) > END_US + 2 * SECOND_US {
                return self.totals;
            }
            if arrival_us <= event_us {
                self.now_us = arrival_us;
                self.handle_arrival(next_request);
                next_request += 1;
            } else if let Some(Reverse((at_us, _, event))) = self.events.pop() {
                self.now_us = at_us;
                self.handle(event);
            }
        }
    }

    /// Delivers an event to a gateway's admission controller and executes the returned actions.
    pub(super) fn deliver(&mut self, gateway: usize, event: Event) {
        let now = self.timestamp();
        let Some(admission) = self.gateways[gateway].admission.as_mut() else {
            return;
        };
        for action in admission.handle(now, event) {
            match action {
                Action::Admit { id } => {
                    let request = id.0 as usize;
                    if self.requests[request].phase == RequestPhase::Waiting {
                        self.select_endpoint(request);
                    }
                }
                Action::Reject { id, .. } => self.reject(id.0 as usize),
                Action::SendReport { to, bytes } => {
                    self.totals.report_bytes += bytes.len();
                    self.send_message(
                        gateway,
                        to.0,
                        SimulationEvent::LoadReportArrived {
                            to: to.0,
                            from: gateway,
                            bytes,
                        },
                    );
                }
                Action::SetTimer { after } => {
                    let incarnation = self.gateways[gateway].incarnation;
                    self.schedule(
                        self.now_us + after.0,
                        SimulationEvent::GatewayTimerFired {
                            gateway,
                            incarnation,
                        },
                    );
                }
            }
        }
    }

    /// Schedules the arrival of a message, unless the sender or the receiver is cut off.
    pub(super) fn send_message(&mut self, from: usize, to: usize, arrival: SimulationEvent) {
        if !self.scenario.is_cut_off(from, self.now_us)
            && !self.scenario.is_cut_off(to, self.now_us)
        {
            let delay_us =
                MIN_MESSAGE_DELAY_US + self.rng.generate_range(0..MESSAGE_DELAY_SPREAD_US) as i64;
            self.schedule(self.now_us + delay_us, arrival);
        }
    }
}
