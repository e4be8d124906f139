//! Executes the actions that a gateway's multi-site decisions return.

use std::net::SocketAddr;

use harrierdock_multi_site::{
    Action, Change, Event, InboundId, MultiSite, PathId, TrafficLocation,
};
use harrierdock_site_messages::{ForwardedRequest, ForwardingOutcome, GatewayName, SiteMessage};
use harrierdock_types::{ClassId, RequestId, TimeDelta};

use super::event::{RequestSource, SimulatedEvent};
use super::request_classes::request_classes;
use super::simulation::{NetworkSimulation, SECOND};

const MICROSECONDS_PER_MILLISECOND: i64 = 1000;
/// Range of the time that a path takes to open, in microseconds.
const SHORTEST_CONNECT_US: i64 = 1_000;
const LONGEST_CONNECT_US: i64 = 50_000;
/// Delay until a connection attempt to an unreachable peer fails.
const CONNECT_TIMEOUT: TimeDelta = SECOND;

impl NetworkSimulation {
    /// Executes an action that this gateway returned.
    pub(super) fn execute(&mut self, gateway: usize, action: Action) {
        match action {
            Action::ServeLocally { id, remaining } => self.serve_client(gateway, id, remaining),
            Action::Forward {
                id,
                path,
                forwarding_id,
                receiver_incarnation,
                heartbeat_sequence,
                remaining,
            } => {
                let request = ForwardedRequest {
                    forwarding_id,
                    receiver_incarnation,
                    heartbeat_sequence,
                    remaining_ms: (remaining.0 / MICROSECONDS_PER_MILLISECOND) as u32,
                    ..ForwardedRequest::default()
                };
                self.forward(gateway, id, path, request);
            }
            Action::Succeed { id, .. } => {
                self.findings.forwards_succeeded += 1;
                self.record_answer(id, ForwardingOutcome::Succeeded);
            }
            Action::Reject { id, .. } => self.record_answer(id, ForwardingOutcome::NotAccepted),
            Action::Fail { id } => self.record_answer(id, ForwardingOutcome::Failed),
            Action::ServeInbound {
                inbound,
                class,
                remaining,
                request,
                ..
            } => self.serve_inbound(gateway, inbound, class, remaining, &request),
            Action::AbandonInbound { inbound } => self.abandon_inbound(gateway, inbound),
            Action::Connect { peer, address } => self.connect(gateway, peer, address),
            Action::ClosePath { path } => self.close_path(path, gateway, true),
            Action::Send { path, message } => self.send_message(gateway, path, &message),
            Action::StatusChanged(change) => self.record_change(gateway, &change),
            Action::SetTimer { after } => self.set_timer(gateway, after),
        }
    }

    fn serve_client(&mut self, gateway: usize, id: RequestId, remaining: TimeDelta) {
        let request = self.request_mut(id);
        request.stays_local |= request.is_forwarded;
        let class = request.class;
        self.serve(gateway, RequestSource::Client, id, class, remaining);
    }

    /// Sends a request to the other site, after adding the fields that the action does not provide.
    fn forward(
        &mut self,
        gateway: usize,
        id: RequestId,
        path: PathId,
        forwarded_request: ForwardedRequest,
    ) {
        let seed = self.seed;
        let request = self.request_mut(id);
        assert!(
            !request.is_forwarded,
            "seed {seed}: a request was forwarded twice"
        );
        request.is_forwarded = true;
        let class = request.class;
        self.findings.forwarded += 1;
        let multi_site = self.gateways[gateway].multi_site.as_ref();
        let message = SiteMessage::Request(ForwardedRequest {
            sender_incarnation: multi_site.map_or(0, MultiSite::incarnation),
            class: request_classes()[class.0].name.clone(),
            request_id: id.0.to_string(),
            ..forwarded_request
        });
        self.send_message(gateway, path, &message);
    }

    fn serve_inbound(
        &mut self,
        gateway: usize,
        inbound: InboundId,
        class: ClassId,
        remaining: TimeDelta,
        request: &ForwardedRequest,
    ) {
        let id = RequestId(request.request_id.parse().unwrap_or(0));
        self.findings.accepted_while_drained += u64::from(self.gateways[gateway].is_drained);
        self.gateways[gateway].inbound.insert(inbound, id);
        let source = RequestSource::OtherSite(inbound);
        self.serve(gateway, source, id, class, remaining);
    }

    fn abandon_inbound(&mut self, gateway: usize, inbound: InboundId) {
        if self.gateways[gateway].inbound.remove(&inbound).is_some() {
            let completed = Event::InboundCompleted {
                inbound,
                outcome: ForwardingOutcome::Failed,
                build: None,
                body: Vec::new(),
            };
            self.deliver(gateway, completed);
        }
    }

    fn connect(&mut self, from: usize, peer: GatewayName, address: SocketAddr) {
        let to = self
            .gateways
            .iter()
            .position(|gateway| gateway.address == address && gateway.name == peer);
        let is_cut = self.is_cut.contains(&true);
        let reachable = to.filter(|to| self.is_running(*to) && !is_cut);
        let delay = self.draw_span(SHORTEST_CONNECT_US, LONGEST_CONNECT_US);
        match reachable {
            Some(to) => {
                let path = PathId(self.next_number());
                self.schedule(delay, SimulatedEvent::PathOpened { from, to, path });
            }
            None => {
                let gateway = from;
                let failed = SimulatedEvent::ConnectFailed { gateway, peer };
                self.schedule(CONNECT_TIMEOUT, failed);
            }
        }
    }

    fn record_change(&mut self, gateway: usize, change: &Change) {
        let Change::TrafficMoved { location, .. } = change else {
            return;
        };
        if *location != TrafficLocation::Local {
            let moves = self.traffic_moves.entry(gateway).or_default();
            moves.push(self.now);
        }
    }

    /// Sets a gateway's timer, unless it already fires at that time or earlier.
    fn set_timer(&mut self, gateway: usize, after: TimeDelta) {
        let now = self.now;
        let deadline = now + after;
        let state = &mut self.gateways[gateway];
        let fires_earlier = state
            .timer_deadline
            .is_some_and(|set| deadline >= set && set > now);
        if fires_earlier {
            return;
        }
        state.timer_deadline = Some(deadline);
        let incarnation = state.incarnation;
        let fired = SimulatedEvent::TimerFired {
            gateway,
            incarnation,
        };
        self.schedule(after, fired);
    }
}
