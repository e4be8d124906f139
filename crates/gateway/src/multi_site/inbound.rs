//! The requests that the other site has forwarded, as they were written there.

use std::collections::BTreeMap;

use harrierdock_multi_site::InboundId;
use harrierdock_site_messages::ForwardedRequest;
use harrierdock_types::RequestId;

use crate::runtime::context::OutboundRequest;

struct Inbound {
    number: InboundId,
    message: ForwardedRequest,
}

/// The inbound requests that have no answer yet.
#[derive(Default)]
pub(crate) struct InboundRequests {
    by_id: BTreeMap<RequestId, Inbound>,
    by_number: BTreeMap<InboundId, RequestId>,
}

impl InboundRequests {
    /// Adds a request.
    pub(crate) fn insert(&mut self, id: RequestId, number: InboundId, message: ForwardedRequest) {
        self.by_id.insert(id, Inbound { number, message });
        self.by_number.insert(number, id);
    }

    /// Removes a request and returns its number at the site boundary.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<InboundId> {
        let number = self.by_id.remove(&id)?.number;
        self.by_number.remove(&number);
        Some(number)
    }

    /// The id of a request with this number.
    pub(crate) fn id_of(&self, number: InboundId) -> Option<RequestId> {
        self.by_number.get(&number).copied()
    }

    /// A request as its client wrote it.
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
