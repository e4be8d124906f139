//! Handles one event of the simulation.

use harrierdock_multi_site::{Event, PathId};
use harrierdock_types::{ClassId, RequestId, TimeDelta};
use nanorand::Rng;

use super::event::SimulatedEvent;
use super::request_classes::REQUEST_TIMEOUT;
use super::simulation::{NetworkSimulation, SimulatedRequest, SECOND};

const REQUEST_CLASSES: usize = 4;
/// Range of the interval between two client requests to a gateway, in microseconds.
const SHORTEST_ARRIVAL_INTERVAL_US: i64 = 5_000;
const LONGEST_ARRIVAL_INTERVAL_US: i64 = 60_000;
/// How long clients continue to send requests after the end of the faults.
const ARRIVALS_AFTER_FAULTS: TimeDelta = TimeDelta(2 * SECOND.0);

impl NetworkSimulation {
    /// Handles an event whose time has come.
    pub(super) fn handle(&mut self, event: SimulatedEvent) {
        match event {
            SimulatedEvent::RequestArrived { gateway } => self.handle_arrival(gateway),
            SimulatedEvent::MessageArrived { to, path, message } => {
                if self.paths.contains_key(&path) {
                    let message = *message;
                    self.deliver(to, Event::MessageReceived { path, message });
                }
            }
            SimulatedEvent::PathOpened { from, to, path } => self.open_path(from, to, path),
            SimulatedEvent::ConnectFailed { gateway, peer } => {
                self.deliver(gateway, Event::ConnectFailed { peer });
            }
            SimulatedEvent::PathClosed {
                gateway,
                path,
                orderly,
            } => self.deliver(gateway, Event::PathClosed { path, orderly }),
            SimulatedEvent::AttemptStarted(attempt) => {
                if self.is_same_incarnation(attempt.gateway, attempt.incarnation) {
                    self.start_attempt(attempt);
                }
            }
            SimulatedEvent::AttemptFinished {
                attempt,
                has_succeeded,
            } => {
                if self.is_same_incarnation(attempt.gateway, attempt.incarnation) {
                    self.finish_attempt(attempt, has_succeeded);
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
            SimulatedEvent::GatewayStarted { gateway } => self.start_gateway(gateway),
            SimulatedEvent::FaultTimerFired => self.inject_fault(),
        }
    }

    /// Whether a gateway runs and has not restarted since it had this incarnation.
    fn is_same_incarnation(&self, gateway: usize, incarnation: u32) -> bool {
        self.is_running(gateway) && self.gateways[gateway].incarnation == incarnation
    }

    /// Delivers a client's request if the gateway runs, and schedules the next arrival.
    fn handle_arrival(&mut self, gateway: usize) {
        if self.is_running(gateway) {
            self.receive_request(gateway);
        }
        let interval = self.draw_span(SHORTEST_ARRIVAL_INTERVAL_US, LONGEST_ARRIVAL_INTERVAL_US);
        if self.now < self.faults_end + ARRIVALS_AFTER_FAULTS {
            self.schedule(interval, SimulatedEvent::RequestArrived { gateway });
        }
    }

    fn receive_request(&mut self, gateway: usize) {
        let id = RequestId(self.requests.len() as u64);
        let class = ClassId(self.rng.generate_range(0..REQUEST_CLASSES));
        self.requests.push(SimulatedRequest {
            gateway,
            incarnation: self.gateways[gateway].incarnation,
            class,
            deadline: self.now + REQUEST_TIMEOUT,
            answers: Vec::new(),
            runs: Vec::new(),
            is_forwarded: false,
            stays_local: false,
        });
        let remaining = REQUEST_TIMEOUT;
        let received = Event::RequestReceived {
            id,
            class,
            remaining,
        };
        self.deliver(gateway, received);
    }

    /// Opens a path if both gateways are running; otherwise the connection attempt fails.
    fn open_path(&mut self, from: usize, to: usize, path: PathId) {
        let opener = self.gateways[from].name.clone();
        let peer = self.gateways[to].name.clone();
        if !(self.is_running(from) && self.is_running(to)) {
            return self.deliver(from, Event::ConnectFailed { peer });
        }
        self.paths.insert(path, (from, to));
        self.deliver(from, Event::PathOpened { path, peer });
        self.deliver(to, Event::PathOpened { path, peer: opener });
    }
}
