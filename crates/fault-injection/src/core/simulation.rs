//! The state of a simulation: gateways, paths and requests, the event queue and the random number generator.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use harrierdock_multi_site::{Event, InboundId, MultiSite, MultiSiteConfig, PathId};
use harrierdock_site_messages::{ForwardingOutcome, GatewayName};
use harrierdock_types::{ClassId, RequestId, TimeDelta, Timestamp};
use nanorand::{Rng, WyRand};

use super::event::SimulatedEvent;
use super::findings::Findings;
use super::request_classes::request_classes;

pub(super) const SECOND: TimeDelta = TimeDelta(1_000_000);
pub(super) const TICK: TimeDelta = TimeDelta(5_000);
/// Number of ready endpoints of a site, unless a fault has removed them.
pub(super) const READY_ENDPOINTS: usize = 4;
/// How long faults are injected, in seconds of simulated time.
const FAULT_SECONDS: f64 = 20.0;
/// Time after the faults within which all open requests must be answered.
const RECOVERY_SECONDS: f64 = 8.0;
/// How far the clocks of the second site's gateways run ahead of global simulated time.
const CLOCK_SKEW_SECONDS: f64 = 30.0;
const START: Timestamp = Timestamp(1_000_000_000);
const SITE_NAMES: [&str; 2] = ["hobart", "launceston"];
const FIRST_PORT: u16 = 9000;
/// Number of gateways of the other site that a gateway's configuration lists.
const CONFIGURED_REMOTE_GATEWAYS: usize = 2;
const SLOW_START_SECONDS: f64 = 2.0;
const STORED_RESPONSE_BYTES: usize = 1 << 16;

/// A simulated gateway.
pub(super) struct Gateway {
    pub(super) name: GatewayName,
    pub(super) address: SocketAddr,
    /// Its multi-site decisions; `None` while it is down.
    pub(super) multi_site: Option<MultiSite>,
    pub(super) incarnation: u32,
    pub(super) is_drained: bool,
    /// When its timer fires, in global simulated time; `None` if no timer is set.
    pub(super) timer_deadline: Option<Timestamp>,
    /// The client requests behind its open inbound requests.
    pub(super) inbound: BTreeMap<InboundId, RequestId>,
}

/// A gateway's answer to a client, and when it was sent.
#[derive(Clone, Copy)]
pub(super) struct Answer {
    pub(super) outcome: ForwardingOutcome,
    pub(super) at: Timestamp,
}

/// A request's run at an endpoint.
#[derive(Clone, Copy)]
pub(super) struct Run {
    pub(super) site: usize,
    pub(super) at: Timestamp,
}

/// A client's request, with its answers and runs.
pub(super) struct SimulatedRequest {
    pub(super) gateway: usize,
    /// The incarnation of the gateway that received it.
    pub(super) incarnation: u32,
    pub(super) class: ClassId,
    pub(super) deadline: Timestamp,
    pub(super) answers: Vec<Answer>,
    pub(super) runs: Vec<Run>,
    pub(super) is_forwarded: bool,
    /// Whether it must not be forwarded (again): its gateway rejected it locally or serves it locally after a forward.
    pub(super) stays_local: bool,
}

/// Two sites of gateways on a simulated network.
pub(super) struct NetworkSimulation {
    pub(super) seed: u64,
    pub(super) now: Timestamp,
    pub(super) rng: WyRand,
    /// Scheduled events, by time and then by the order of scheduling.
    queue: BTreeMap<(Timestamp, u64), SimulatedEvent>,
    last_number: u64,
    pub(super) gateways: Vec<Gateway>,
    /// The gateways at both ends of each path: the one that opened it, and its peer.
    pub(super) paths: BTreeMap<PathId, (usize, usize)>,
    pub(super) requests: Vec<SimulatedRequest>,
    pub(super) loss_ratio: f64,
    /// For each site, whether all messages that its gateways send are dropped.
    pub(super) is_cut: [bool; 2],
    /// For each site, whether a fault has removed all its endpoints.
    pub(super) lacks_endpoints: [bool; 2],
    pub(super) faults_end: Timestamp,
    /// For each gateway, the times at which its traffic moved to the other site.
    pub(super) traffic_moves: BTreeMap<usize, Vec<Timestamp>>,
    pub(super) findings: Findings,
}

/// Converts global simulated time to a gateway's own clock.
fn local_time(gateway: usize, at: Timestamp) -> Timestamp {
    at + SECOND * (CLOCK_SKEW_SECONDS * site(gateway) as f64)
}

/// Index of a gateway's site.
pub(super) fn site(gateway: usize) -> usize {
    gateway % 2
}

impl Gateway {
    fn new(index: usize) -> Gateway {
        Gateway {
            name: GatewayName {
                site: SITE_NAMES[site(index)].into(),
                gateway: format!("g{}", index / 2),
            },
            address: SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + index as u16)),
            multi_site: None,
            incarnation: 0,
            is_drained: false,
            timer_deadline: None,
            inbound: BTreeMap::new(),
        }
    }
}

impl NetworkSimulation {
    /// Creates both sites and starts all gateways. The seed determines all random draws.
    pub(super) fn new(seed: u64, gateways_per_site: usize) -> NetworkSimulation {
        let mut simulation = NetworkSimulation {
            seed,
            now: START,
            rng: WyRand::new_seed(seed),
            queue: BTreeMap::new(),
            last_number: 0,
            gateways: (0..2 * gateways_per_site).map(Gateway::new).collect(),
            paths: BTreeMap::new(),
            requests: Vec::new(),
            loss_ratio: 0.0,
            is_cut: [false; 2],
            lacks_endpoints: [false; 2],
            faults_end: START + SECOND * FAULT_SECONDS,
            traffic_moves: BTreeMap::new(),
            findings: Findings::default(),
        };
        for gateway in 0..2 * gateways_per_site {
            simulation.start_gateway(gateway);
            let arrival = SimulatedEvent::RequestArrived { gateway };
            simulation.schedule(TimeDelta::ZERO, arrival);
        }
        simulation.schedule(SECOND, SimulatedEvent::FaultTimerFired);
        simulation
    }

    /// Runs the faults and the recovery, and checks the rules in `rules.rs`.
    pub(super) fn run(mut self) -> Findings {
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

    /// Schedules an event after a delay.
    pub(super) fn schedule(&mut self, delay: TimeDelta, event: SimulatedEvent) {
        let key = (self.now + delay, self.next_number());
        self.queue.insert(key, event);
    }

    /// Returns a number that is unique within the simulation.
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Draws true with this probability.
    pub(super) fn draw_bool(&mut self, probability: f64) -> bool {
        self.rng.generate::<f64>() < probability
    }

    /// Draws a duration of at least `from_us` and less than `below_us`, in microseconds.
    pub(super) fn draw_span(&mut self, from_us: i64, below_us: i64) -> TimeDelta {
        TimeDelta(self.rng.generate_range(from_us..below_us))
    }

    /// Whether a gateway is up.
    pub(super) fn is_running(&self, gateway: usize) -> bool {
        self.gateways[gateway].multi_site.is_some()
    }

    /// The indices of a site's gateways.
    pub(super) fn gateways_of_site(&self, site_index: usize) -> Vec<usize> {
        (0..self.gateways.len())
            .filter(|gateway| site(*gateway) == site_index)
            .collect()
    }

    /// Starts a gateway with a new incarnation.
    pub(super) fn start_gateway(&mut self, index: usize) {
        let now = local_time(index, self.now);
        let config = self.configuration(index);
        let gateway = &mut self.gateways[index];
        gateway.multi_site = Some(MultiSite::new(now, config));
        gateway.incarnation += 1;
        gateway.is_drained = false;
        gateway.timer_deadline = None;
        gateway.inbound.clear();
        let ready = READY_ENDPOINTS;
        self.deliver(index, Event::EndpointsUpdated { ready });
    }

    fn configuration(&self, index: usize) -> MultiSiteConfig {
        let other_site = SITE_NAMES[1 - site(index)];
        let remote_gateways = self.gateways.iter().filter(|g| g.name.site == other_site);
        let gateway = &self.gateways[index];
        MultiSiteConfig {
            own_name: gateway.name.clone(),
            address: Some(gateway.address),
            incarnation: local_time(index, self.now).0 as u64,
            other_site: other_site.into(),
            seeds: remote_gateways
                .take(CONFIGURED_REMOTE_GATEWAYS)
                .map(|remote| (remote.name.clone(), remote.address))
                .collect(),
            classes: request_classes(),
            slow_start_window: SECOND * SLOW_START_SECONDS,
            tick: TICK,
            retry_after: None,
            stored_response_bytes: STORED_RESPONSE_BYTES,
            seed: self.now.0 as u64 ^ index as u64,
        }
    }

    /// Delivers an event to a gateway's decisions and executes the returned actions. Does nothing while the gateway is down.
    pub(super) fn deliver(&mut self, index: usize, event: Event) {
        let now = local_time(index, self.now);
        let Some(multi_site) = &mut self.gateways[index].multi_site else {
            return;
        };
        for action in multi_site.handle(now, event) {
            self.execute(index, action);
        }
    }

    /// Returns a client's request by its id.
    pub(super) fn request_mut(&mut self, id: RequestId) -> &mut SimulatedRequest {
        &mut self.requests[id.0 as usize]
    }

    /// Records an answer to a client.
    pub(super) fn record_answer(&mut self, id: RequestId, outcome: ForwardingOutcome) {
        let at = self.now;
        self.request_mut(id).answers.push(Answer { outcome, at });
    }
}
