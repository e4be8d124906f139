//! Cross-site forwarding: the gateway's events are passed to `harrierdock-multi-site`, and its actions are executed here.

use std::time::Instant;

use harrierdock_event_loop::ResourceClass;
use harrierdock_multi_site::{Action, Change, Event, InboundId};
use harrierdock_site_messages::{
    self as site_messages, ForwardedRequest, ForwardingOutcome, ForwardingResponse, SiteMessage,
};
use harrierdock_site_transport::{CloseCause, PathId, TransportEvent};
use harrierdock_types::{
    AffinityKey, BuildId, ClassId, Event as PolicyEvent, RequestId, TimeDelta, Timestamp,
};

use crate::downstream::Answer;
use crate::metrics::Counter;
use crate::multi_site::forwarding::{InboundAnswer, OutboundAttributes};
use crate::multi_site::log;
use crate::runtime::context::{InternalEvent, OutboundRequest, ReceivedRequest, ResponseBody};
use crate::runtime::gateway::Gateway;
use crate::runtime::timer::Timer;

/// A request that the other site has forwarded to this one.
struct InboundRequest {
    inbound: InboundId,
    class: ClassId,
    key: Option<AffinityKey>,
    /// When its message was handled. Its time counts from then.
    came_at: Timestamp,
    time_left: TimeDelta,
    message: ForwardedRequest,
}

/// A request that is to be forwarded.
struct OutboundForward {
    id: RequestId,
    path: PathId,
    /// What `harrierdock-multi-site` has filled in of the message.
    blank: ForwardedRequest,
    time_left: TimeDelta,
}

impl Gateway {
    /// Tells cross-site forwarding what has happened, and executes the actions it returns.
    pub(crate) fn handle_multi_site_event(&mut self, now: Timestamp, event: Event) {
        let Some(forwarding) = &mut self.forwarding else {
            return;
        };
        for action in forwarding.sites.handle(now, event) {
            self.execute_multi_site(now, action);
        }
    }

    /// Handles what the transport has received, and sends what waits to be sent.
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

    /// The transport's timer has fired.
    pub(crate) fn handle_transport_timer(&mut self) {
        if let Some(forwarding) = &mut self.forwarding {
            forwarding.handle_transport_timer();
        }
    }

    /// The timer of cross-site forwarding has fired.
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
                tracing::info!("sites: linked with {peer}");
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
                    tracing::debug!("sites: a message cannot be read: {e}");
                }
            },
        }
    }

    /// Executes an action that cross-site forwarding returned for an event at `now`.
    pub(crate) fn execute_multi_site(&mut self, now: Timestamp, action: Action) {
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
                let blank = ForwardedRequest {
                    forwarding_id,
                    receiver_incarnation,
                    heartbeat_sequence,
                    ..ForwardedRequest::default()
                };
                let forward = OutboundForward {
                    id,
                    path,
                    blank,
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
                came_at: now,
                time_left: remaining,
                message: request,
            }),
            Action::AbandonInbound { inbound } => self.abandon_inbound(inbound),
            Action::Connect { .. } | Action::ClosePath { .. } | Action::Send { .. } => {
                self.execute_transport(now, action);
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

    /// Executes an action that concerns the transport alone.
    fn execute_transport(&mut self, now: Timestamp, action: Action) {
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
                        tracing::debug!("sites: {peer} cannot be dialled: {e}");
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

    /// Accepts a request that the other site has forwarded.
    fn accept_inbound(&mut self, request: InboundRequest) {
        let id = self.context.next_request_id();
        let is_client_retry = request.message.is_client_retry;
        let sticky_build = BuildId(request.message.minimum_build);
        if let Some(forwarding) = &mut self.forwarding {
            forwarding
                .inbound
                .insert(id, request.inbound, request.message);
        }
        self.context.counters.add(Counter::InboundRequests);
        if let Some(key) = request.key.filter(|_| sticky_build > BuildId(0)) {
            let learned = PolicyEvent::StickyVersionLearned {
                key,
                build: sticky_build,
            };
            self.context
                .emit_at(request.came_at, InternalEvent::Policy(learned));
        }
        let received = ReceivedRequest {
            id,
            class: request.class,
            key: request.key,
            is_client_retry,
            time_left: request.time_left,
            inbound: Some(request.inbound),
        };
        self.context
            .emit_at(request.came_at, InternalEvent::RequestReceived(received));
    }

    /// The other site waits no more for a request that it has forwarded.
    fn abandon_inbound(&mut self, inbound: InboundId) {
        let id = self
            .forwarding
            .as_ref()
            .and_then(|forwarding| forwarding.inbound.id_of(inbound));
        if let Some(id) = id {
            self.context.emit(InternalEvent::ClientDisconnected { id });
        }
    }

    /// Sends a client's request to the other site.
    fn forward_request(&mut self, now: Timestamp, forward: OutboundForward) {
        let id = forward.id;
        let Some(attributes) = self.dispatcher.requests.mark_forwarded(id) else {
            return;
        };
        let sticky_build = attributes
            .key
            .map_or(BuildId(0), |key| self.dispatcher.sticky_build(key));
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
        let forwarding_id = forward.blank.forwarding_id;
        let incarnation = forwarding.sites.incarnation();
        let blank = ForwardedRequest {
            sender_incarnation: incarnation,
            ..forward.blank
        };
        let write = |request: OutboundRequest<'_>| outbound.message(&request, blank);
        // If its client has left, this is reported as an event of its own, and nothing is sent.
        let Some(message) = self.downstream.with_outbound_request(id, write) else {
            return;
        };
        self.context.counters.add(Counter::RequestsForwarded);
        let message = SiteMessage::Request(message);
        if !forwarding.send(&mut self.context, forward.path, &message) {
            // Not sent, so it has certainly had no effect.
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

    /// The other site has answered a request with an endpoint's response.
    fn handle_forwarded_response(
        &mut self,
        now: Timestamp,
        id: RequestId,
        body: &[u8],
        build: Option<BuildId>,
    ) {
        // A request that has its answer already takes no buffer.
        let Some(attributes) = self.dispatcher.requests.mark_forwarded(id) else {
            return;
        };
        if let Some((key, build)) = attributes.key.zip(build) {
            self.handle_policy_event(now, PolicyEvent::StickyVersionLearned { key, build });
        }
        let answer = match self.context.buffers.acquire(ResourceClass::Upstream) {
            Some(mut buffer) if body.len() <= buffer.capacity() => {
                buffer.extend_from_slice(body);
                Answer::Succeeded(ResponseBody {
                    buffer,
                    range: 0..body.len(),
                })
            }
            Some(mut buffer) => {
                self.context.buffers.release(&mut buffer);
                Answer::Failed
            }
            None => Answer::Failed,
        };
        self.answer(id, answer);
    }

    /// Sends the answer of a request back to the site that has forwarded it. Any other request is ignored.
    pub(crate) fn answer_inbound(&mut self, now: Timestamp, id: RequestId, answer: InboundAnswer) {
        let inbound = self
            .forwarding
            .as_mut()
            .and_then(|forwarding| forwarding.inbound.remove(id));
        if let Some(inbound) = inbound {
            let event = Event::InboundCompleted {
                inbound,
                outcome: answer.outcome,
                build: answer.build,
                body: answer.body,
            };
            self.handle_multi_site_event(now, event);
        }
    }

    /// Tells cross-site forwarding how many endpoints are ready at this site.
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
