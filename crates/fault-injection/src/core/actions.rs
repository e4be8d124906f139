//! What the deciding part asks for.

use harrierdock_multi_site::{Action, Change, Event, InboundId, MultiSite, TrafficLocation};
use harrierdock_site_messages::{ForwardingOutcome, SiteMessage};

use super::event::{RequestSource, SimulatedEvent};
use super::request_classes::request_classes;
use super::simulation::{NetworkSimulation, SECOND};

impl NetworkSimulation {
    pub(super) fn execute(&mut self, ix: usize, action: Action) {
        let (now, incarnation) = (self.now, self.gateways[ix].incarnation);
        match action {
            Action::ServeLocally {
                id,
                remaining: left,
            } => {
                let request = &mut self.requests[id.0 as usize];
                request.stays_local |= request.is_forwarded;
                let class = request.class;
                self.serve(ix, RequestSource::Client(id), id.0, class, left);
            }
            Action::Forward {
                id,
                path,
                forwarding_id,
                receiver_incarnation,
                heartbeat_sequence,
                remaining: left,
            } => {
                let request = &mut self.requests[id.0 as usize];
                assert!(
                    !request.is_forwarded,
                    "seed {}: a request was forwarded twice",
                    self.findings.seeds
                );
                request.is_forwarded = true;
                self.findings.forwarded += 1;
                let forwarded_request = harrierdock_site_messages::ForwardedRequest {
                    forwarding_id,
                    sender_incarnation: self.gateways[ix]
                        .multi_site
                        .as_ref()
                        .map_or(0, MultiSite::incarnation),
                    receiver_incarnation,
                    heartbeat_sequence,
                    class: request_classes()[request.class].name.clone(),
                    remaining_ms: (left.0 / 1000) as u32,
                    request_id: id.0.to_string(),
                    ..Default::default()
                };
                self.send_message(ix, path.0, SiteMessage::Request(forwarded_request));
            }
            Action::Succeed { id, .. } => {
                self.findings.forwards_succeeded += 1;
                self.record_answer(id, ForwardingOutcome::Succeeded);
            }
            Action::Reject { id, .. } => self.record_answer(id, ForwardingOutcome::NotAccepted),
            Action::Fail { id } => self.record_answer(id, ForwardingOutcome::Failed),
            Action::ServeInbound {
                inbound: InboundId(inbound),
                class,
                remaining: left,
                request: forwarded_request,
                ..
            } => {
                let request = forwarded_request.request_id.parse().unwrap_or(0);
                self.findings.accepted_while_drained += u64::from(self.gateways[ix].is_drained);
                self.gateways[ix].inbound.insert(inbound, request);
                self.serve(ix, RequestSource::Inbound(inbound), request, class.0, left);
            }
            Action::AbandonInbound {
                inbound: InboundId(inbound),
            } => {
                if self.gateways[ix].inbound.remove(&inbound).is_some() {
                    let (outcome, body) = (ForwardingOutcome::Failed, Vec::new());
                    self.deliver(
                        ix,
                        Event::InboundCompleted {
                            inbound: InboundId(inbound),
                            outcome,
                            build: None,
                            body,
                        },
                    );
                }
            }
            Action::Connect { peer, address } => {
                let to = self
                    .gateways
                    .iter()
                    .position(|g| g.address == address && g.name == peer);
                let reached = to.filter(|to| {
                    self.gateways[*to].multi_site.is_some() && !self.is_cut.contains(&true)
                });
                let took = self.draw_span(1_000, 50_000);
                match reached {
                    Some(to) => {
                        self.last_number += 1;
                        let path = self.last_number;
                        self.schedule(took, SimulatedEvent::PathOpened { from: ix, to, path });
                    }
                    None => {
                        self.schedule(SECOND, SimulatedEvent::ConnectFailed { gateway: ix, peer })
                    }
                }
            }
            Action::ClosePath { path } => self.close_path(path.0, ix, true),
            Action::Send { path, message } => self.send_message(ix, path.0, message),
            Action::StatusChanged(Change::TrafficMoved { location: home, .. }) => {
                if home != TrafficLocation::Local {
                    self.traffic_moves.entry(ix).or_default().push(now);
                }
            }
            Action::StatusChanged(_) => {}
            Action::SetTimer { after } => {
                let at = now + after;
                if self.gateways[ix]
                    .timer_deadline
                    .is_none_or(|w| at < w || w <= now)
                {
                    self.gateways[ix].timer_deadline = Some(at);
                    self.schedule(
                        after,
                        SimulatedEvent::TimerFired {
                            gateway: ix,
                            incarnation,
                        },
                    );
                }
            }
        }
    }
}
