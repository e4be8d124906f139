//! The simulated gateways, links and requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use harrierdock_multi_site::{Event, MultiSite, MultiSiteConfig, PathId};
use harrierdock_site_messages::{ForwardingOutcome, GatewayName};
use harrierdock_types::{ClassId, RequestId, TimeDelta, Timestamp};
use nanorand::{Rng, WyRand};

use super::event::SimulatedEvent;
use super::findings::Findings;
use super::request_classes::{request_classes, REQUEST_TIMEOUT};

pub(super) const SECOND: TimeDelta = TimeDelta(1_000_000);
pub(super) const TICK: TimeDelta = TimeDelta(5_000);

/// Simulated time of one seed: trouble, then quiet in which all must be settled.
const FAULT_SECONDS: f64 = 20.0;
const RECOVERY_SECONDS: f64 = 8.0;

pub(super) struct Gateway {
    pub(super) name: GatewayName,
    pub(super) address: SocketAddr,
    pub(super) multi_site: Option<MultiSite>,
    pub(super) incarnation: u32,
    pub(super) is_drained: bool,
    pub(super) timer_deadline: Option<Timestamp>,
    /// Which request each source of the module's is for, and those that have ended.
    pub(super) inbound: BTreeMap<u64, u64>,
}

pub(super) struct SimulatedRequest {
    pub(super) gateway: usize,
    pub(super) incarnation: u32,
    pub(super) class: usize,
    pub(super) deadline: Timestamp,
    pub(super) answers: Vec<(ForwardingOutcome, Timestamp)>,
    pub(super) runs: Vec<(usize, Timestamp)>,
    pub(super) is_forwarded: bool,
    /// The module here declined it, or it came back: it does not cross (again).
    pub(super) stays_local: bool,
}

pub(super) struct NetworkSimulation {
    pub(super) now: Timestamp,
    pub(super) rng: WyRand,
    pub(super) queue: BTreeMap<(Timestamp, u64), SimulatedEvent>,
    pub(super) last_number: u64,
    pub(super) gateways: Vec<Gateway>,
    pub(super) paths: BTreeMap<u64, (usize, usize)>,
    pub(super) requests: Vec<SimulatedRequest>,
    pub(super) loss_ratio: f64,
    /// Nothing goes from the first site to the second, or back.
    pub(super) is_cut: [bool; 2],
    pub(super) lacks_endpoints: [bool; 2],
    pub(super) faults_end: Timestamp,
    pub(super) traffic_moves: BTreeMap<usize, Vec<Timestamp>>,
    pub(super) findings: Findings,
}

/// The second site's clocks are half a minute ahead.
fn local_time(gateway: usize, at: Timestamp) -> Timestamp {
    at + SECOND * (30.0 * site(gateway) as f64)
}

pub(super) fn site(gateway: usize) -> usize {
    gateway % 2
}

const SITES: [&str; 2] = ["hobart", "launceston"];

impl NetworkSimulation {
    pub(super) fn new(seed: u64, each: usize) -> NetworkSimulation {
        let rng = WyRand::new_seed(seed);
        let gateway = |ix: usize| Gateway {
            name: GatewayName {
                site: SITES[site(ix)].into(),
                gateway: format!("g{}", ix / 2),
            },
            address: SocketAddr::from(([127, 0, 0, 1], 9000 + ix as u16)),
            multi_site: None,
            incarnation: 0,
            is_drained: false,
            timer_deadline: None,
            inbound: BTreeMap::new(),
        };
        let mut simulation = NetworkSimulation {
            now: Timestamp(1_000_000_000),
            rng,
            queue: BTreeMap::new(),
            last_number: 0,
            gateways: (0..2 * each).map(gateway).collect(),
            paths: BTreeMap::new(),
            requests: Vec::new(),
            loss_ratio: 0.0,
            is_cut: [false; 2],
            lacks_endpoints: [false; 2],
            faults_end: Timestamp(0),
            traffic_moves: BTreeMap::new(),
            findings: Findings::default(),
        };
        simulation.faults_end = simulation.now + SECOND * FAULT_SECONDS;
        for ix in 0..2 * each {
            simulation.start(ix);
            simulation.schedule(
                TimeDelta::ZERO,
                SimulatedEvent::RequestArrived { gateway: ix },
            );
        }
        simulation.schedule(SECOND, SimulatedEvent::InjectFault);
        simulation
    }

    pub(super) fn schedule(&mut self, span: TimeDelta, event: SimulatedEvent) {
        self.last_number += 1;
        self.queue
            .insert((self.now + span, self.last_number), event);
    }

    pub(super) fn draw_bool(&mut self, below: f64) -> bool {
        self.rng.generate::<f64>() < below
    }

    pub(super) fn draw_span(&mut self, from: i64, to: i64) -> TimeDelta {
        TimeDelta(self.rng.generate_range(from..to))
    }

    pub(super) fn start(&mut self, ix: usize) {
        let other = 1 - site(ix);
        let seeds = self
            .gateways
            .iter()
            .filter(|g| g.name.site == SITES[other])
            .take(2);
        let gateway = &self.gateways[ix];
        let config = MultiSiteConfig {
            own_name: gateway.name.clone(),
            address: Some(gateway.address),
            incarnation: local_time(ix, self.now).0 as u64,
            other_site: SITES[other].into(),
            seeds: seeds.map(|g| (g.name.clone(), g.address)).collect(),
            classes: request_classes(),
            slow_start_window: SECOND * 2.0,
            tick: TICK,
            retry_after: None,
            stored_response_bytes: 1 << 16,
            seed: self.now.0 as u64 ^ ix as u64,
        };
        let now = local_time(ix, self.now);
        let gateway = &mut self.gateways[ix];
        gateway.multi_site = Some(MultiSite::new(now, config));
        (
            gateway.incarnation,
            gateway.is_drained,
            gateway.timer_deadline,
        ) = (gateway.incarnation + 1, false, None);
        gateway.inbound.clear();
        self.deliver(ix, Event::EndpointsUpdated { ready: 4 });
    }

    pub(super) fn deliver(&mut self, ix: usize, event: Event) {
        let now = local_time(ix, self.now);
        let Some(sites) = &mut self.gateways[ix].multi_site else {
            return;
        };
        for action in sites.handle(now, event) {
            self.execute(ix, action);
        }
    }

    pub(super) fn record_answer(&mut self, id: RequestId, outcome: ForwardingOutcome) {
        let now = self.now;
        self.requests[id.0 as usize].answers.push((outcome, now));
    }

    pub(super) fn handle(&mut self, event: SimulatedEvent) {
        match event {
            SimulatedEvent::RequestArrived { gateway } => {
                if self.gateways[gateway].multi_site.is_some() {
                    let id = RequestId(self.requests.len() as u64);
                    let class = self.rng.generate_range(0..4_usize);
                    let (incarnation, deadline) = (
                        self.gateways[gateway].incarnation,
                        self.now + REQUEST_TIMEOUT,
                    );
                    let (answers, runs) = (Vec::new(), Vec::new());
                    self.requests.push(SimulatedRequest {
                        gateway,
                        incarnation,
                        class,
                        deadline,
                        answers,
                        runs,
                        is_forwarded: false,
                        stays_local: false,
                    });
                    self.deliver(
                        gateway,
                        Event::RequestReceived {
                            id,
                            class: ClassId(class),
                            remaining: REQUEST_TIMEOUT,
                        },
                    );
                }
                let next = self.draw_span(5_000, 60_000);
                if self.now < self.faults_end + SECOND * 2.0 {
                    self.schedule(next, SimulatedEvent::RequestArrived { gateway });
                }
            }
            SimulatedEvent::MessageArrived { to, path, message } => {
                if self.paths.contains_key(&path) {
                    self.deliver(
                        to,
                        Event::MessageReceived {
                            path: PathId(path),
                            message: *message,
                        },
                    );
                }
            }
            SimulatedEvent::PathOpened { from, to, path } => {
                let both = [from, to]
                    .iter()
                    .all(|ix| self.gateways[*ix].multi_site.is_some());
                let (peer, peer_of) = (
                    self.gateways[to].name.clone(),
                    self.gateways[from].name.clone(),
                );
                if !both {
                    return self.deliver(from, Event::ConnectFailed { peer });
                }
                self.paths.insert(path, (from, to));
                self.deliver(
                    from,
                    Event::PathOpened {
                        path: PathId(path),
                        peer,
                    },
                );
                self.deliver(
                    to,
                    Event::PathOpened {
                        path: PathId(path),
                        peer: peer_of,
                    },
                );
            }
            SimulatedEvent::ConnectFailed { gateway, peer } => {
                self.deliver(gateway, Event::ConnectFailed { peer })
            }
            SimulatedEvent::PathClosed {
                gateway,
                path,
                orderly,
            } => self.deliver(
                gateway,
                Event::PathClosed {
                    path: PathId(path),
                    orderly,
                },
            ),
            SimulatedEvent::AttemptStarted {
                gateway,
                incarnation,
                source,
                request,
                class,
                left,
            } => {
                if self.gateways[gateway].incarnation == incarnation
                    && self.gateways[gateway].multi_site.is_some()
                {
                    self.start_attempt(gateway, source, request, class, left);
                }
            }
            SimulatedEvent::AttemptFinished {
                gateway,
                incarnation,
                source,
                class,
                has_succeeded,
            } => {
                if self.gateways[gateway].incarnation == incarnation
                    && self.gateways[gateway].multi_site.is_some()
                {
                    self.finish_attempt(gateway, source, class, has_succeeded);
                }
            }
            SimulatedEvent::TimerFired {
                gateway,
                incarnation,
            } => {
                if self.gateways[gateway].incarnation == incarnation {
                    self.gateways[gateway].timer_deadline = None;
                    self.deliver(gateway, Event::TimerFired);
                }
            }
            SimulatedEvent::GatewayStarted { gateway } => self.start(gateway),
            SimulatedEvent::InjectFault => self.inject_fault(),
        }
    }

    pub(super) fn play(mut self) -> Findings {
        let end = self.faults_end + SECOND * RECOVERY_SECONDS;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.check_rules()
    }
}
