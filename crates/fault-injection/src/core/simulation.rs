//! The simulated gateways, paths and requests, the queue of events and the random numbers.

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
/// Endpoints of a site, where it has any.
pub(super) const READY_ENDPOINTS: usize = 4;
/// How long faults happen, in seconds of simulated time.
const FAULT_SECONDS: f64 = 20.0;
/// How long afterwards all that is open may take to be answered.
const RECOVERY_SECONDS: f64 = 8.0;
/// How far the second site's clocks are ahead.
const CLOCK_SKEW_SECONDS: f64 = 30.0;
const START: Timestamp = Timestamp(1_000_000_000);
const SITE_NAMES: [&str; 2] = ["hobart", "launceston"];
const FIRST_PORT: u16 = 9000;
/// Gateways of the other site that a gateway is configured with.
const CONFIGURED_REMOTE_GATEWAYS: usize = 2;
const SLOW_START_SECONDS: f64 = 2.0;
const STORED_RESPONSE_BYTES: usize = 1 << 16;

/// A simulated gateway.
pub(super) struct Gateway {
    pub(super) name: GatewayName,
    pub(super) address: SocketAddr,
    /// Its decisions; none while it is down.
    pub(super) multi_site: Option<MultiSite>,
    pub(super) incarnation: u32,
    pub(super) is_drained: bool,
    pub(super) timer_deadline: Option<Timestamp>,
    /// The open inbound requests.
    pub(super) inbound: BTreeMap<InboundId, RequestId>,
}

/// An answer to a client.
#[derive(Clone, Copy)]
pub(super) struct Answer {
    pub(super) outcome: ForwardingOutcome,
    pub(super) at: Timestamp,
}

/// An attempt that reached an endpoint.
#[derive(Clone, Copy)]
pub(super) struct Run {
    pub(super) site: usize,
    pub(super) at: Timestamp,
}

/// A client's request.
pub(super) struct SimulatedRequest {
    pub(super) gateway: usize,
    /// The gateway's incarnation that received it.
    pub(super) incarnation: u32,
    pub(super) class: ClassId,
    pub(super) deadline: Timestamp,
    pub(super) answers: Vec<Answer>,
    pub(super) runs: Vec<Run>,
    pub(super) is_forwarded: bool,
    /// It was rejected locally, or came back from the other site: it is not forwarded (again).
    pub(super) stays_local: bool,
}

/// Two sites of gateways on a simulated network.
pub(super) struct NetworkSimulation {
    pub(super) seed: u64,
    pub(super) now: Timestamp,
    pub(super) rng: WyRand,
    /// Events to come, by their time and the order in which they were scheduled.
    queue: BTreeMap<(Timestamp, u64), SimulatedEvent>,
    last_number: u64,
    pub(super) gateways: Vec<Gateway>,
    /// The gateways at both ends of each path: who opened it, and the other.
    pub(super) paths: BTreeMap<PathId, (usize, usize)>,
    pub(super) requests: Vec<SimulatedRequest>,
    pub(super) loss_ratio: f64,
    /// Nothing that the gateways of this site send arrives.
    pub(super) is_cut: [bool; 2],
    pub(super) lacks_endpoints: [bool; 2],
    pub(super) faults_end: Timestamp,
    /// When each gateway's traffic moved to the other site.
    pub(super) traffic_moves: BTreeMap<usize, Vec<Timestamp>>,
    pub(super) findings: Findings,
}

/// A gateway's own clock.
fn local_time(gateway: usize, at: Timestamp) -> Timestamp {
    at + SECOND * (CLOCK_SKEW_SECONDS * site(gateway) as f64)
}

/// The site of a gateway.
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
    /// Both sites with all gateways started. All random draws follow from the seed.
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
        simulation.schedule(SECOND, SimulatedEvent::FaultDue);
        simulation
    }

    /// Plays faults and recovery, and checks the rules.
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

    /// Lets an event happen so much later.
    pub(super) fn schedule(&mut self, delay: TimeDelta, event: SimulatedEvent) {
        let key = (self.now + delay, self.next_number());
        self.queue.insert(key, event);
    }

    /// A number that was not given before.
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// True with this probability.
    pub(super) fn draw_bool(&mut self, probability: f64) -> bool {
        self.rng.generate::<f64>() < probability
    }

    /// A time span from so many microseconds to below so many.
    pub(super) fn draw_span(&mut self, from_us: i64, below_us: i64) -> TimeDelta {
        TimeDelta(self.rng.generate_range(from_us..below_us))
    }

    /// Whether a gateway runs.
    pub(super) fn is_running(&self, gateway: usize) -> bool {
        self.gateways[gateway].multi_site.is_some()
    }

    /// The gateways of a site.
    pub(super) fn gateways_of_site(&self, of_site: usize) -> Vec<usize> {
        (0..self.gateways.len())
            .filter(|gateway| site(*gateway) == of_site)
            .collect()
    }

    /// Starts a gateway, which gets a new incarnation.
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

    /// Delivers an event to a gateway's decisions and executes the actions they return; nothing while it is down.
    pub(super) fn deliver(&mut self, index: usize, event: Event) {
        let now = local_time(index, self.now);
        let Some(multi_site) = &mut self.gateways[index].multi_site else {
            return;
        };
        for action in multi_site.handle(now, event) {
            self.execute(index, action);
        }
    }

    /// A client's request, by its id.
    pub(super) fn request_mut(&mut self, id: RequestId) -> &mut SimulatedRequest {
        &mut self.requests[id.0 as usize]
    }

    /// Records an answer to a client.
    pub(super) fn record_answer(&mut self, id: RequestId, outcome: ForwardingOutcome) {
        let at = self.now;
        self.request_mut(id).answers.push(Answer { outcome, at });
    }
}
