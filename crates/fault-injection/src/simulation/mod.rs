//! Simulates the surroundings of real gateway processes at two sites, on one event loop. Endpoints have cores, queues and slow
//! start. Clients send requests independently of earlier answers. Relays between the sites delay, drop and repeat datagrams.
//!
//! [`Simulation`] owns all of them, the timers and the random number generator. Each kind of simulated component has its own
//! module.

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

/// A simulated component cannot be started.
#[derive(Debug, Error)]
pub enum SimulationError {
    /// A socket cannot be opened or configured.
    #[error("{0}")]
    Socket(#[from] io::Error),
    /// The event loop rejected an event source.
    #[error("error inserting event source: {0}")]
    EventSource(#[source] calloop::Error),
}

/// The purpose of a timer. Timers with the same deadline expire in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerEvent {
    /// The scenario's next step starts.
    ScenarioStep,
    /// A client of this site sends its next request.
    Arrival(usize),
    /// The timeout of this request has passed, including the allowance for late answers.
    RequestExpired(usize),
    /// A core has finished its work on a request.
    WorkDone {
        /// The connection for the answer.
        connection: ConnectionId,
        /// Index of the endpoint.
        endpoint: usize,
        /// Incarnation of the endpoint that started the work.
        incarnation: u32,
    },
    /// A delayed datagram, identified by its number, is delivered.
    Datagram(u64),
    /// Clients update which gateways they send requests to: those that are running.
    ClientTargetsUpdated,
}

/// The simulated clients, endpoints and network around the gateways.
pub struct Simulation {
    /// Event loop and sockets.
    pub io: IoContext<Simulation>,
    /// Timers of all simulated components.
    pub timers: TimerQueue<TimerEvent>,
    rng: WyRand,
    /// The endpoints of both sites.
    pub endpoints: Vec<Endpoint>,
    endpoint_connections: BTreeMap<ConnectionId, EndpointConnection>,
    /// All client requests so far. The index is the number in the request id.
    pub requests: Vec<ClientRequest>,
    client_connections: BTreeMap<ConnectionId, ClientConnection>,
    /// The gateways as clients see them, by gateway index.
    pub gateways: Vec<GatewayTarget>,
    relays: Relays,
    /// Faults of the path between the sites.
    pub path_faults: PathFaults,
    /// When an idempotency group last ran a request, by group index and key.
    last_run_by_key: BTreeMap<(usize, String), Timestamp>,
    /// Whether one idempotency group spans both sites.
    shares_idempotency_group: bool,
    /// Client requests per second, for each site.
    pub requests_per_second: [f64; 2],
    /// Whether clients send new requests.
    pub sends_requests: bool,
    /// For each site, since when it is manually drained; `None` if it is not.
    pub drained_since: [Option<Timestamp>; 2],
    /// The remaining steps of the scenario, in order of time.
    pub steps: VecDeque<(Timestamp, ScenarioStep)>,
    /// Counts so far, for the rules and the report.
    pub observations: Observations,
}

impl Simulation {
    /// Creates an empty simulation. The seed determines all its random draws.
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
            last_run_by_key: BTreeMap::new(),
            shares_idempotency_group,
            requests_per_second: [0.0; 2],
            sends_requests: false,
            drained_since: [None; 2],
            steps: VecDeque::new(),
            observations: Observations::default(),
        }
    }

    /// Current time of the event loop.
    pub fn now(&self) -> Timestamp {
        self.io.now()
    }

    /// Draws a duration from the exponential distribution with this mean.
    fn draw_exponential(&mut self, mean: TimeDelta) -> TimeDelta {
        mean * -(1.0 - self.rng.generate::<f64>()).ln()
    }

    /// Handles all expired timers, and returns the scenario's steps among them.
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
                self.pop_steps_until(deadline, &mut steps);
            } else {
                self.handle_timer(event);
            }
        }
        steps
    }

    fn pop_steps_until(&mut self, until: Timestamp, steps: &mut Vec<ScenarioStep>) {
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

/// Parses the number of a request from its id on the wire, `SITE-NUMBER`.
fn request_number(request_id: &str) -> Option<usize> {
    request_id.rsplit('-').next()?.parse().ok()
}
