//! Cross-site forwarding: passes the gateway's events to `harrierdock-multi-site` and executes the actions it returns.

use std::time::Instant;

use harrierdock_event_loop::ResourceClass;
use harrierdock_multi_site::{Action, Change, Event};
use harrierdock_site_messages::{
    self as site_messages, ForwardedRequest, ForwardingOutcome, ForwardingResponse, SiteMessage,
    MAX_MESSAGE_BYTES,
};
use harrierdock_site_transport::{CloseCause, PathId, TransportEvent};
use harrierdock_types::{BuildId, Event as PolicyEvent, RequestId, TimeDelta, Timestamp};

use crate::dispatch::inbound::InboundRequest;
use crate::downstream::Answer;
use crate::metrics::Counter;
use crate::multi_site::forwarding::OutboundAttributes;
use crate::multi_site::log;
use crate::runtime::context::{OutboundRequest, ResponseBody};
use crate::runtime::gateway::Gateway;
use crate::runtime::timer::Timer;

/// A request to forward to the other site.
struct OutboundForward {
    id: RequestId,
    path: PathId,
    /// The message, with only the fields that `harrierdock-multi-site` sets.
    partial_message: ForwardedRequest,
    time_left: TimeDelta,
}

impl Gateway {
    /// Delivers an event to cross-site forwarding and executes the actions it returns.
    pub(crate) fn handle_multi_site_event(&mut self, now: Timestamp, event: Event) {
        let Some(forwarding) = &mut self.forwarding else {
            return;
        };
        for action in forwarding.sites.handle(now, event) {
            self.execute_multi_site_action(now, action);
        }
    }

    /// Handles the transport's pending events and flushes its queued messages.
    pub(crate) fn process_transport(&mut self) {
        while let Some(event) = self
            .forwarding
            .as_mut()
            .and_then(|forwarding| forwarding.transport.next_event())
        {
            let now = self.context.now();
            self.handle_transport_event(now, event);
        }
        if let Some(forwarding) = &mut self.forwarding {
            forwarding.flush(&mut self.context);
        }
    }

    /// Delivers the firing of the transport's timer.
    pub(crate) fn handle_transport_timer(&mut self) {
        if let Some(forwarding) = &mut self.forwarding {
            forwarding.handle_transport_timer();
        }
    }

    /// Delivers the firing of the cross-site forwarding timer.
    pub(crate) fn handle_multi_site_timer(&mut self) {
        let now = self.context.now();
        if let Some(forwarding) = &mut self.forwarding {
            forwarding.sites_deadline = None;
        }
        self.handle_multi_site_event(now, Event::TimerFired);
    }

    fn handle_transport_event(&mut self, now: Timestamp, event: TransportEvent) {
        let Some(forwarding) = &mut self.forwarding else {
            return;
        };
        match event {
            TransportEvent::Opened { path, peer } => {
                forwarding.connecting.remove(&path);
                tracing::info!("sites: connected to {peer}");
                self.handle_multi_site_event(now, Event::PathOpened { path, peer });
            }
            TransportEvent::Closed {
                path,
                peer,
                cause,
                reason,
            } => {
                if let Some(peer) = forwarding.connecting.remove(&path) {
                    log::connect_failed(&peer, cause, &reason);
                    self.handle_multi_site_event(now, Event::ConnectFailed { peer });
                } else {
                    log::disconnected(peer.as_ref(), &reason);
                    let orderly = cause == CloseCause::Orderly;
                    self.handle_multi_site_event(now, Event::PathClosed { path, orderly });
                }
            }
            TransportEvent::Refused { remote, reason } => {
                forwarding.refusals.log(now, &remote, &reason);
            }
            TransportEvent::Message { path, bytes } => match site_messages::decode(&bytes) {
                Ok(message) => {
                    self.handle_multi_site_event(now, Event::MessageReceived { path, message });
                }
                Err(e) => {
                    self.context.counters.add(Counter::SiteMessagesRefused);
                    tracing::debug!("sites: failed to decode a message: {e}");
                }
            },
            TransportEvent::MessageTooLong { path } => {
                self.context.counters.add(Counter::SiteMessagesRefused);
                tracing::warn!(
                    "sites: discarded a message on {path:?} that exceeds the limit of {MAX_MESSAGE_BYTES} bytes"
                );
            }
        }
    }

    /// Executes an action that cross-site forwarding returned. `now` is the time of the event that caused the action.
    pub(crate) fn execute_multi_site_action(&mut self, now: Timestamp, action: Action) {
        match action {
            Action::ServeLocally { id, remaining } => self.serve_locally(now, id, remaining),
            Action::Forward {
                id,
                path,
                forwarding_id,
                receiver_incarnation,
                heartbeat_sequence,
                remaining,
            } => {
                let partial_message = ForwardedRequest {
                    forwarding_id,
                    receiver_incarnation,
                    heartbeat_sequence,
                    ..ForwardedRequest::default()
                };
                let forward = OutboundForward {
                    id,
                    path,
                    partial_message,
                    time_left: remaining,
                };
                self.forward_request(now, forward);
            }
            Action::Succeed { id, body, build } => {
                self.handle_forwarded_response(now, id, &body, build);
            }
            Action::Reject { id, retry_after } => {
                self.answer(id, Answer::Rejected { retry_after });
            }
            Action::Fail { id } => self.answer(id, Answer::Failed),
            Action::ServeInbound {
                inbound,
                class,
                key,
                remaining,
                request,
            } => self.accept_inbound(InboundRequest {
                inbound,
                class,
                key,
                received_at: now,
                time_left: remaining,
                message: request,
            }),
            Action::AbandonInbound { inbound } => self.abandon_inbound(inbound),
            Action::Connect { .. } | Action::ClosePath { .. } | Action::Send { .. } => {
                self.execute_transport_action(now, action);
            }
            Action::StatusChanged(change) => log_change(&change),
            Action::SetTimer { after } => {
                if let Some(forwarding) = &mut self.forwarding {
                    let earlier = forwarding.sites_deadline;
                    let deadline =
                        self.context
                            .replace_timer(earlier, now + after, Timer::MultiSite);
                    forwarding.sites_deadline = Some(deadline);
                }
            }
        }
    }

    /// Opens or closes a path, or sends a message on one. Ignores all other actions.
    fn execute_transport_action(&mut self, now: Timestamp, action: Action) {
        let Some(forwarding) = &mut self.forwarding else {
            return;
        };
        match action {
            Action::Connect { peer, address } => {
                match forwarding.transport.connect(Instant::now(), address, &peer) {
                    Ok(path) => {
                        forwarding.connecting.insert(path, peer);
                    }
                    Err(e) => {
                        tracing::debug!("sites: failed to open a connection to {peer}: {e}");
                        self.handle_multi_site_event(now, Event::ConnectFailed { peer });
                    }
                }
            }
            Action::ClosePath { path } => {
                forwarding.transport.close(Instant::now(), path, "no path");
            }
            Action::Send { path, message } => {
                forwarding.send(&mut self.context, path, &message);
            }
            _ => {}
        }
    }

    /// Sends a client's request to the other site. Does nothing if the request is already answered.
    fn forward_request(&mut self, now: Timestamp, forward: OutboundForward) {
        let id = forward.id;
        let Some(attributes) = self.dispatcher.requests.mark_forwarded(id) else {
            return;
        };
        let sticky_build = attributes.key.map_or(BuildId(0), |key| {
            self.dispatcher.policy.sticky_build_elsewhere(key)
        });
        let class = self.dispatcher.names.classes.name(attributes.class);
        let Some(forwarding) = &mut self.forwarding else {
            return;
        };
        let outbound = OutboundAttributes {
            class: class.to_string(),
            key: attributes.key,
            is_client_retry: attributes.is_client_retry,
            sticky_build,
            time_left: forward.time_left,
        };
        let forwarding_id = forward.partial_message.forwarding_id;
        let incarnation = forwarding.sites.incarnation();
        let partial_message = ForwardedRequest {
            sender_incarnation: incarnation,
            ..forward.partial_message
        };
        let write = |request: OutboundRequest<'_>| outbound.into_message(&request, partial_message);
        // `None`: the client has disconnected, which a separate event reports.
        let Some(message) = self.downstream.with_outbound_request(id, write) else {
            return;
        };
        self.context.counters.add(Counter::RequestsForwarded);
        let message = SiteMessage::Request(message);
        if !forwarding.send(&mut self.context, forward.path, &message) {
            // The request was not sent, so it cannot have had an effect at the other site.
            let response = ForwardingResponse {
                forwarding_id,
                sender_incarnation: incarnation,
                outcome: ForwardingOutcome::NotAccepted,
                build: None,
                body: Vec::new(),
            };
            let event = Event::MessageReceived {
                path: forward.path,
                message: SiteMessage::Response(response),
            };
            self.handle_multi_site_event(now, event);
        }
    }

    /// Answers a request with an endpoint's response from the other site. Fails the request if no buffer can hold the response.
    fn handle_forwarded_response(
        &mut self,
        now: Timestamp,
        id: RequestId,
        body: &[u8],
        build: Option<BuildId>,
    ) {
        // No buffer is acquired for a request that is already answered.
        let Some(attributes) = self.dispatcher.requests.mark_forwarded(id) else {
            return;
        };
        if let Some((key, build)) = attributes.key.zip(build) {
            self.handle_policy_event(now, PolicyEvent::StickyVersionLearned { key, build });
        }
        let buffers = &mut self.context.buffers;
        let answer = match buffers.acquire(body.len(), ResourceClass::Upstream) {
            Some(mut buffer) => {
                buffer.extend_from_slice(body);
                Answer::Succeeded(ResponseBody {
                    buffer,
                    range: 0..body.len(),
                })
            }
            None => {
                self.context.buffer_shortages.record();
                tracing::warn!(
                    "sites: no buffer is available for a forwarded response of {} bytes",
                    body.len()
                );
                Answer::Failed
            }
        };
        self.answer(id, answer);
    }

    /// Reports the number of ready endpoints at this site to cross-site forwarding.
    pub(crate) fn update_local_capacity(&mut self, now: Timestamp) {
        if self.forwarding.is_some() {
            let ready = self.dispatcher.ready_endpoint_count();
            self.handle_multi_site_event(now, Event::EndpointsUpdated { ready });
        }
    }
}

fn log_change(change: &Change) {
    let text = log::describe(change);
    match change {
        Change::Joined { .. } => tracing::debug!("sites: {text}"),
        Change::TrafficMoved { .. } | Change::UnmatchedResponses { .. } => {
            tracing::warn!("sites: {text}")
        }
        Change::Member { .. } => tracing::info!("sites: {text}"),
    }
}
