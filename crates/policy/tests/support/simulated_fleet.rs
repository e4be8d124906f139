//! Many gateways on one simulated clock. Gossip goes to their peers, votes to a platform with a limited call rate, and attempts
//! to simulated endpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use harrierdock_policy::Policy;
use harrierdock_types::{
    gossip, Action, AttemptOutcome, ClassId, EndpointId, Event, GossipMessage, Parameters, PeerId,
    PlatformStatus, RequestId, RolloutPhase, RolloutUpdate, TimeDelta, Timestamp, UpdateKind,
};

use super::parameters::{fleet_parameters, FLEET_LATENCY_OBJECTIVE_MS};
use super::platform::Platform;
use super::simulated_endpoint::SimulatedEndpoint;
use super::{endpoints, ms, rollout_update};

/// How long the platform takes to answer a vote.
const PLATFORM_LATENCY_MS: i64 = 80;
/// How long a gossip message takes to its peer.
const GOSSIP_LATENCY_MS: i64 = 5;
const MICROS_PER_SECOND: i64 = 1_000_000;

/// Numbers of requests of one class that arrived in some period, by result.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassTotals {
    pub received: usize,
    pub in_time: usize,
    pub rejected: usize,
}

impl ClassTotals {
    fn plus(self, other: &ClassTotals) -> ClassTotals {
        ClassTotals {
            received: self.received + other.received,
            in_time: self.in_time + other.in_time,
            rejected: self.rejected + other.rejected,
        }
    }
}

/// A request without an answer yet.
#[derive(Clone, Copy)]
struct OpenRequest {
    class: ClassId,
    received_at: Timestamp,
    deadline: Timestamp,
}

/// The order of queued events. Events of one moment are ordered by number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventTime {
    at: Timestamp,
    number: u64,
}

struct QueuedEvent {
    to: PeerId,
    event: Event,
}

/// A timer of one gateway. The earliest fires first; of several at once, the one of the lowest gateway number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct GatewayTimer {
    at: Timestamp,
    gateway: usize,
}

/// The gateways, and simulations of everything that they communicate with.
pub struct SimulatedFleet {
    gateways: Vec<Policy>,
    pub platform: Platform,
    pub endpoints: Vec<SimulatedEndpoint>,
    /// Pairs of gateway and endpoint between which an attempt was started.
    pub contacts: BTreeSet<(PeerId, EndpointId)>,
    /// By the second in which the requests arrived, and by their class.
    totals: BTreeMap<(i64, ClassId), ClassTotals>,
    requests: BTreeMap<RequestId, OpenRequest>,
    /// The number of the last attempt of each request, from 0.
    attempts: BTreeMap<RequestId, usize>,
    now: Timestamp,
    queue: BTreeMap<EventTime, QueuedEvent>,
    timers: Vec<Option<Timestamp>>,
    rollout: Option<RolloutUpdate>,
    last_number: u64,
}

impl SimulatedFleet {
    /// Creates gateways with [`fleet_parameters`], which `adjust` may change.
    pub fn new(gateway_count: usize, adjust: impl Fn(&mut Parameters)) -> SimulatedFleet {
        let gateway = |number| {
            let mut parameters = Parameters {
                local_peer: PeerId(number),
                ..fleet_parameters(gateway_count)
            };
            adjust(&mut parameters);
            Policy::new(parameters, 7 + number as u64)
        };
        let gateways: Vec<Policy> = (0..gateway_count).map(gateway).collect();
        let rollout = &gateways[0].parameters().rollout;
        let platform = Platform::new(rollout.votes_per_second, rollout.vote_ttl);
        SimulatedFleet {
            gateways,
            platform,
            endpoints: Vec::new(),
            contacts: BTreeSet::new(),
            totals: BTreeMap::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            now: Timestamp(0),
            queue: BTreeMap::new(),
            timers: vec![None; gateway_count],
            rollout: None,
            last_number: 0,
        }
    }

    /// Starts warm endpoints of build 1. Each works on `cores` requests at a time, each for `service_time`.
    pub fn start_endpoints(&mut self, count: usize, cores: usize, service_time: TimeDelta) {
        self.endpoints = vec![SimulatedEndpoint::new(cores, service_time); count];
        self.list_endpoints(&vec![1; count]);
        self.update_rollout(1, 0, RolloutPhase::Released, 1.0);
    }

    /// Sends all gateways a list of endpoints, numbered from 0, with these builds.
    pub fn list_endpoints(&mut self, builds: &[u32]) {
        self.handle_at_all(&Event::EndpointsUpdated {
            kind: UpdateKind::Snapshot,
            endpoints: endpoints(builds),
        });
    }

    /// Sends all gateways an update about the rollout.
    pub fn update_rollout(
        &mut self,
        build: u32,
        stage: usize,
        phase: RolloutPhase,
        exposure_limit: f64,
    ) {
        let update = rollout_update(build, stage, phase, exposure_limit);
        self.rollout = Some(update.clone());
        self.handle_at_all(&Event::RolloutUpdated(update));
    }

    /// Delivers a gossip datagram to all gateways.
    pub fn receive_gossip_at_all(&mut self, from: usize, datagram: &str) {
        if let Some(message) = gossip::decode(datagram) {
            self.handle_at_all(&Event::GossipReceived {
                from: PeerId(from),
                message,
            });
        }
    }

    /// Lets all gateways handle an event now.
    pub fn handle_at_all(&mut self, event: &Event) {
        for to in 0..self.gateways.len() {
            self.handle(PeerId(to), event.clone());
        }
    }

    /// Runs until `until_ms`. Each gateway receives one request per `interval`, of each class in turn.
    pub fn run_traffic(&mut self, interval: TimeDelta, until_ms: i64) {
        let gateway_count = self.gateways.len();
        let end = Timestamp(0) + ms(until_ms);
        for gateway in 0..gateway_count {
            let mut at = self.now + interval * (gateway as f64 / gateway_count as f64);
            let mut number = gateway;
            while at < end {
                self.queue_request(at, PeerId(gateway), ClassId(number % 3));
                at = at + interval;
                number += 1;
            }
        }
        self.run_until(until_ms);
    }

    /// Totals of a class's requests that arrived in these seconds.
    pub fn totals(&self, seconds: Range<i64>, class: usize) -> ClassTotals {
        self.totals
            .iter()
            .filter(|((second, id), _)| seconds.contains(second) && id.0 == class)
            .fold(ClassTotals::default(), |sum, (_, totals)| sum.plus(totals))
    }

    /// Advances the clock to `until_ms`, and handles all events and timers on the way.
    pub fn run_until(&mut self, until_ms: i64) {
        let end = Timestamp(0) + ms(until_ms);
        loop {
            let timer = self.next_timer();
            let event_at = self.queue.first_key_value().map(|(time, _)| time.at);
            match (timer, event_at) {
                (Some(timer), event_at)
                    if timer.at <= end && event_at.is_none_or(|event_at| timer.at < event_at) =>
                {
                    self.now = timer.at.max(self.now);
                    self.timers[timer.gateway] = None;
                    self.handle(PeerId(timer.gateway), Event::TimerFired);
                }
                (_, Some(event_at)) if event_at <= end => {
                    self.now = event_at;
                    if let Some((_, queued)) = self.queue.pop_first() {
                        self.handle(queued.to, queued.event);
                    }
                }
                _ => break,
            }
        }
        self.now = end;
    }

    fn next_timer(&self) -> Option<GatewayTimer> {
        self.timers
            .iter()
            .enumerate()
            .filter_map(|(gateway, at)| at.map(|at| GatewayTimer { at, gateway }))
            .min()
    }

    fn queue_request(&mut self, at: Timestamp, to: PeerId, class: ClassId) {
        self.last_number += 1;
        let number = self.last_number;
        let event = Event::RequestReceived {
            id: RequestId(number),
            class,
            key: None,
            is_client_retry: false,
            time_left: self.gateways[to.0].parameters().classes[class.0].timeout,
        };
        self.queue
            .insert(EventTime { at, number }, QueuedEvent { to, event });
    }

    fn queue_event(&mut self, after: TimeDelta, to: PeerId, event: Event) {
        self.last_number += 1;
        let time = EventTime {
            at: self.now + after,
            number: self.last_number,
        };
        self.queue.insert(time, QueuedEvent { to, event });
    }

    fn handle(&mut self, to: PeerId, event: Event) {
        self.record_event(&event);
        for action in self.gateways[to.0].handle(self.now, event) {
            self.execute(to, action);
        }
    }

    /// Counts requests that arrive and requests that are answered in time.
    fn record_event(&mut self, event: &Event) {
        match event {
            Event::RequestReceived {
                id,
                class,
                time_left,
                ..
            } => {
                let request = OpenRequest {
                    class: *class,
                    received_at: self.now,
                    deadline: self.now + *time_left,
                };
                self.requests.insert(*id, request);
                self.totals_mut(request).received += 1;
            }
            Event::AttemptFinished {
                id,
                outcome: AttemptOutcome::Succeeded,
                ..
            } => {
                if let Some(request) = self.requests.remove(id) {
                    let in_time = self.now - request.received_at <= ms(FLEET_LATENCY_OBJECTIVE_MS);
                    self.totals_mut(request).in_time += usize::from(in_time);
                }
            }
            _ => {}
        }
    }

    fn totals_mut(&mut self, request: OpenRequest) -> &mut ClassTotals {
        let second = request.received_at.0 / MICROS_PER_SECOND;
        self.totals.entry((second, request.class)).or_default()
    }

    fn execute(&mut self, from: PeerId, action: Action) {
        match action {
            Action::StartAttempt { id, endpoint, .. } => self.start_attempt(from, id, endpoint),
            Action::Reject { id, .. } => {
                if let Some(request) = self.requests.remove(&id) {
                    self.totals_mut(request).rejected += 1;
                }
            }
            Action::Fail { id } => {
                self.requests.remove(&id);
            }
            Action::SetTimer { after } => self.timers[from.0] = Some(self.now + after),
            Action::Vote { .. } => self.vote(from),
            Action::SendGossip {
                to: Some(peer),
                message,
            } => self.send_gossip(from, peer, message),
            Action::SendGossip { to: None, message } => {
                for peer in (0..self.gateways.len()).map(PeerId) {
                    if peer != from {
                        self.send_gossip(from, peer, message.clone());
                    }
                }
            }
            Action::CancelAttempt { .. } | Action::WatchEndpoints => {}
        }
    }

    fn start_attempt(&mut self, from: PeerId, id: RequestId, endpoint: EndpointId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let deadline = request.deadline;
        let attempt = *self
            .attempts
            .entry(id)
            .and_modify(|attempt| *attempt += 1)
            .or_insert(0);
        self.contacts.insert((from, endpoint));
        let end = self.endpoints[endpoint.0].receive(self.now, id, deadline);
        let duration = end.at - self.now;
        let finished = Event::AttemptFinished {
            id,
            attempt,
            endpoint,
            outcome: end.outcome,
            duration,
            is_request_finished: false,
        };
        self.queue_event(duration, from, finished);
    }

    fn vote(&mut self, from: PeerId) {
        let status = if self.platform.vote(self.now, from) {
            PlatformStatus::Valid
        } else {
            PlatformStatus::Overloaded
        };
        if let Some(update) = self.rollout.clone() {
            let answer = RolloutUpdate {
                status,
                is_vote_response: true,
                ..update
            };
            self.queue_event(ms(PLATFORM_LATENCY_MS), from, Event::RolloutUpdated(answer));
        }
    }

    fn send_gossip(&mut self, from: PeerId, to: PeerId, message: GossipMessage) {
        let event = Event::GossipReceived { from, message };
        self.queue_event(ms(GOSSIP_LATENCY_MS), to, event);
    }
}
