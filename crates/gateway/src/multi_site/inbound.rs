//! The unanswered requests from the other site, each with the message that forwarded it.

use std::collections::BTreeMap;

use harrierdock_multi_site::InboundId;
use harrierdock_site_messages::ForwardedRequest;
use harrierdock_types::RequestId;

use crate::runtime::context::OutboundRequest;

/// An unanswered request from the other site.
struct Inbound {
    inbound_id: InboundId,
    message: ForwardedRequest,
}

/// The unanswered inbound requests, by their id in the request table and by inbound id.
#[derive(Default)]
pub(crate) struct InboundRequests {
    by_id: BTreeMap<RequestId, Inbound>,
    by_inbound_id: BTreeMap<InboundId, RequestId>,
}

impl InboundRequests {
    /// Adds an inbound request under its id in this gateway's request table.
    pub(crate) fn insert(
        &mut self,
        id: RequestId,
        inbound_id: InboundId,
        message: ForwardedRequest,
    ) {
        self.by_id.insert(
            id,
            Inbound {
                inbound_id,
                message,
            },
        );
        self.by_inbound_id.insert(inbound_id, id);
    }

    /// Removes a request and returns its inbound id.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<InboundId> {
        let inbound_id = self.by_id.remove(&id)?.inbound_id;
        self.by_inbound_id.remove(&inbound_id);
        Some(inbound_id)
    }

    /// Returns an inbound request's id in the request table; `None` once the request is answered.
    pub(crate) fn request_id(&self, inbound_id: InboundId) -> Option<RequestId> {
        self.by_inbound_id.get(&inbound_id).copied()
    }

    /// Returns the HTTP fields of an inbound request, as the client sent them.
    pub(crate) fn outbound_request(&self, id: RequestId) -> Option<OutboundRequest<'_>> {
        let message = &self.by_id.get(&id)?.message;
        Some(OutboundRequest {
            method: &message.method,
            target: &message.target,
            client_request_id: &message.request_id,
            idempotency_key: message.idempotency_key.as_deref(),
            body: &message.body,
        })
    }
}
