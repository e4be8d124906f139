//! Requests that the other site forwards to this one: accepts, abandons and answers them.

use harrierdock_multi_site::{Event, InboundId};
use harrierdock_site_messages::{ForwardedRequest, ForwardingOutcome};
use harrierdock_types::{
    AffinityKey, BuildId, ClassId, Event as PolicyEvent, RequestId, TimeDelta, Timestamp,
};

use crate::metrics::Counter;
use crate::multi_site::forwarding::InboundAnswer;
use crate::runtime::context::{InternalEvent, ReceivedRequest};
use crate::runtime::gateway::Gateway;

/// A request that the other site forwarded to this site.
pub(super) struct InboundRequest {
    /// Its id in cross-site forwarding.
    pub(super) inbound: InboundId,
    /// The request class, by this gateway's ids.
    pub(super) class: ClassId,
    /// The affinity key, or `None` if the request carries none.
    pub(super) key: Option<AffinityKey>,
    /// When the request's message was handled. `time_left` counts from this time.
    pub(super) received_at: Timestamp,
    /// The time until the request's deadline.
    pub(super) time_left: TimeDelta,
    /// The message that forwarded the request.
    pub(super) message: ForwardedRequest,
}

impl Gateway {
    /// Queues a request forwarded by the other site as a received request.
    pub(super) fn accept_inbound(&mut self, request: InboundRequest) {
        let client_id = self.context.client_ids.open(&request.message.request_id);
        let Some(client_id) = client_id else {
            return self.refuse_repeated_inbound(request.received_at, request.inbound);
        };
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
                .emit_at(request.received_at, InternalEvent::Policy(learned));
        }
        let received = ReceivedRequest {
            id,
            client_id,
            class: request.class,
            key: request.key,
            is_client_retry,
            time_left: request.time_left,
            inbound: Some(request.inbound),
        };
        self.context.emit_at(
            request.received_at,
            InternalEvent::RequestReceived(received),
        );
    }

    /// Fails a request from the other site that is a copy of one that is under way here or may have had an effect.
    fn refuse_repeated_inbound(&mut self, now: Timestamp, inbound: InboundId) {
        self.context.counters.add(Counter::RepeatedRequests);
        let event = Event::InboundCompleted {
            inbound,
            outcome: ForwardingOutcome::Failed,
            build: None,
            body: Vec::new(),
        };
        self.handle_multi_site_event(now, event);
    }

    /// Drops a forwarded request that the other site no longer waits for.
    pub(super) fn abandon_inbound(&mut self, inbound: InboundId) {
        let id = self
            .forwarding
            .as_ref()
            .and_then(|forwarding| forwarding.inbound.request_id(inbound));
        if let Some(id) = id {
            self.context.emit(InternalEvent::ClientDisconnected { id });
        }
    }

    /// Sends the answer of an inbound request back to the other site. Ignores a request that was not forwarded.
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
}
