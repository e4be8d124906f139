//! Two sites around built gateways, on one event loop: endpoints with cores, queues and slow start; clients that send at
//! their own times whatever happens; and relays between the sites that delay, drop and repeat datagrams.
//!
//! [`Simulation`] owns all of them, the timers and the random numbers; each kind of party has a module of its own.

mod client_connections;
mod clients;
mod endpoint_connections;
mod endpoints;
mod parameters;
mod relay;
mod scenario;

use std::collections::{BTreeMap, VecDeque};
use std::io;

use harrierdock_event_loop::{ConnectionId, IoContext, TimerQueue};
use harrierdock_types::{TimeDelta, Timestamp};
use nanorand::{Rng, WyRand};
use thiserror::Error;

pub use clients::{Answer, ClientRequest, GatewayTarget};
pub use endpoints::Endpoint;
pub use parameters::{
    RequestClass, CORES_PER_ENDPOINT, DEDUPLICATION_WINDOW, DRAIN_GRACE, FIRST_BUILD,
    INITIAL_CAPACITY_RATIO, LATENCY_OBJECTIVE, MEAN_WORK, OVERLOAD_RATIO, OVERLOAD_WINDOW,
    REQUEST_TIMEOUT, SITE_NAMES, SLOW_START_DURATION,
};
pub use scenario::{Observations, PathFaults, ScenarioStep};

use client_connections::ClientConnection;
use endpoint_connections::EndpointConnection;
use relay::Relays;

/// Why a party of the simulation can't be started.
#[derive(Debug, Error)]
pub enum SimulationError {
    /// A socket is not to be had.
    #[error("{0}")]
    Socket(#[from] io::Error),
    /// The event loop takes no more sockets.
    #[error("error inserting event source: {0}")]
    EventSource(#[source] calloop::Error),
}

/// What a timer is for. The order of the variants is the order of timers with the same deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerEvent {
    /// The scenario's next step.
    ScenarioStep,
    /// A client of this site sends its next request.
    Arrival(usize),
    /// The time of this request is over.
    RequestExpired(usize),
    /// A core has done its work.
    WorkDone {
        /// The connection to answer on.
        connection: ConnectionId,
        /// The endpoint.
        endpoint: usize,
        /// Which of the endpoint's starts the work belongs to.
        incarnation: u32,
    },
    /// A delayed datagram arrives.
    Datagram(u64),
    /// Clients notice which gateways run.
    ClientTargetsUpdated,
}

/// The parties around the gateways.
pub struct Simulation {
    /// Sockets and their event loop.
    pub io: IoContext<Simulation>,
    /// All timers.
    pub timers: TimerQueue<TimerEvent>,
    rng: WyRand,
    /// The endpoints of both sites.
    pub endpoints: Vec<Endpoint>,
    endpoint_connections: BTreeMap<ConnectionId, EndpointConnection>,
    /// All requests of clients so far.
    pub requests: Vec<ClientRequest>,
    client_connections: BTreeMap<ConnectionId, ClientConnection>,
    /// The gateways, as clients see them.
    pub gateways: Vec<GatewayTarget>,
    relays: Relays,
    /// Faults of the path between the sites.
    pub path_faults: PathFaults,
    /// When an idempotency group last ran a request, by group and key.
    deduplicated: BTreeMap<(usize, String), Timestamp>,
    /// One idempotency group spans both sites.
    shares_idempotency_group: bool,
    /// Requests that come to each site in a second.
    pub requests_per_second: [f64; 2],
    /// Whether clients send requests.
    pub sends_requests: bool,
    /// Since when each site is drained by hand.
    pub drained_since: [Option<Timestamp>; 2],
    /// The scenario's steps to come, by their time.
    pub steps: VecDeque<(Timestamp, ScenarioStep)>,
    /// What was observed so far.
    pub observations: Observations,
}

impl Simulation {
    /// A simulation without parties. All its random draws follow from the seed.
    pub fn new(io: IoContext<Simulation>, seed: u64, shares_idempotency_group: bool) -> Simulation {
        Simulation {
            io,
            timers: TimerQueue::default(),
            rng: WyRand::new_seed(seed),
            endpoints: Vec::new(),
            endpoint_connections: BTreeMap::new(),
            requests: Vec::new(),
            client_connections: BTreeMap::new(),
            gateways: Vec::new(),
            relays: Relays::default(),
            path_faults: PathFaults::default(),
            deduplicated: BTreeMap::new(),
            shares_idempotency_group,
            requests_per_second: [0.0; 2],
            sends_requests: false,
            drained_since: [None; 2],
            steps: VecDeque::new(),
            observations: Observations::default(),
        }
    }

    /// The event loop's time.
    pub fn now(&self) -> Timestamp {
        self.io.now()
    }

    /// A time span drawn from the exponential distribution with this mean.
    fn draw_exponential(&mut self, mean: TimeDelta) -> TimeDelta {
        mean * -(1.0 - self.rng.generate::<f64>()).ln()
    }

    /// Handles all timers that have expired, and returns the scenario's steps among them.
    pub fn handle_expired_timers(&mut self) -> Vec<ScenarioStep> {
        let mut steps = Vec::new();
        while let Some(deadline) = self.timers.next_deadline() {
            let now = self.now();
            if deadline > now {
                break;
            }
            let delay = self.now() - deadline;
            let largest = self.observations.largest_loop_delay;
            self.observations.largest_loop_delay = largest.max(delay);
            let Some(event) = self.timers.pop_expired(deadline) else {
                break;
            };
            if event == TimerEvent::ScenarioStep {
                self.take_steps(deadline, &mut steps);
            } else {
                self.handle_timer(event);
            }
        }
        steps
    }

    fn take_steps(&mut self, until: Timestamp, steps: &mut Vec<ScenarioStep>) {
        while self.steps.front().is_some_and(|(at, _)| *at <= until) {
            steps.extend(self.steps.pop_front().map(|(_, step)| step));
        }
    }

    fn handle_timer(&mut self, event: TimerEvent) {
        match event {
            TimerEvent::ScenarioStep => {}
            TimerEvent::Arrival(site) => self.create_request(site),
            TimerEvent::RequestExpired(request) => self.expire_request(request),
            TimerEvent::WorkDone {
                connection,
                endpoint,
                incarnation,
            } => self.finish_work(connection, endpoint, incarnation),
            TimerEvent::Datagram(id) => self.relays.send_delayed(id),
            TimerEvent::ClientTargetsUpdated => {
                for gateway in &mut self.gateways {
                    gateway.accepts_clients = gateway.is_alive;
                }
            }
        }
    }
}

/// The request that a name on the wire stands for: `SITE-NUMBER`.
fn request_number(name: &str) -> Option<usize> {
    name.rsplit('-').next()?.parse().ok()
}
