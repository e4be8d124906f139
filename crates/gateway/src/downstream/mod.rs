//! Client-facing side of the gateway: accepts connections, reads requests and writes responses.

mod connection;
mod idle_eviction;
mod idle_list;
mod listener;
mod request_parser;
mod requests;
mod responses;

use std::collections::BTreeMap;

use harrierdock_config::ClassNames;
use harrierdock_event_loop::ConnectionId;
use harrierdock_http::RequestHead;
use harrierdock_types::{RequestId, TimeDelta};

use crate::metrics::Counter;
use crate::runtime::buffer_use::BufferUse;
use crate::runtime::context::{Context, InternalEvent, OutboundRequest};
use connection::{ClientConnection, Phase};
use idle_eviction::READABLE;
use idle_list::IdleList;

pub(crate) use listener::{AcceptResult, Listener};
pub(crate) use responses::Answer;

/// Minimum time for which the protocol lets a connection stay open without a request.
pub(crate) const MIN_IDLE_TIME: TimeDelta = TimeDelta(2_000_000);
/// File descriptors of the process for each request that the protocol lets clients have under way.
const DESCRIPTORS_PER_REQUEST: usize = 3;

/// State of the gateway, which decides the response to readiness checks.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum GatewayState {
    /// The gateway has no endpoint list yet.
    NotReady,
    Ready,
    /// Readiness checks fail, and every connection is closed after its response.
    ShuttingDown,
}

/// Settings for client connections.
pub(crate) struct DownstreamSettings {
    /// The names that clients may put into the request class field.
    pub(crate) classes: ClassNames,
    /// How long a connection may stay open between requests, or with a response that its client doesn't read.
    pub(crate) idle_timeout: TimeDelta,
    /// Limit on the file descriptors of the process.
    pub(crate) descriptor_limit: usize,
}

/// Client connections and the listener that accepts them.
pub(crate) struct Downstream {
    listener: Listener,
    connections: BTreeMap<ConnectionId, ClientConnection>,
    idle: IdleList,
    /// Limit on open connections between requests.
    max_between_requests: usize,
    /// The connections of the clients that wait for a response.
    waiting: BTreeMap<RequestId, ConnectionId>,
    classes: ClassNames,
    idle_timeout: TimeDelta,
    state: GatewayState,
}

impl Downstream {
    /// Takes over a bound listener. No connection is accepted before `start_accepting`.
    pub(crate) fn new(listener: Listener, settings: DownstreamSettings) -> Downstream {
        Downstream {
            listener,
            connections: BTreeMap::new(),
            idle: IdleList::default(),
            max_between_requests: settings.descriptor_limit / DESCRIPTORS_PER_REQUEST / 2,
            waiting: BTreeMap::new(),
            classes: settings.classes,
            idle_timeout: settings.idle_timeout,
            state: GatewayState::NotReady,
        }
    }

    /// Number of open client connections.
    pub(crate) fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Adds the buffers of all client connections.
    pub(crate) fn add_buffer_use(&self, buffer_use: &mut BufferUse) {
        for client in self.connections.values() {
            let holder = match client.phase {
                Phase::Reading => &mut buffer_use.partial_requests,
                Phase::Waiting(_) => &mut buffer_use.requests,
                Phase::Responding { .. } | Phase::Closing => &mut buffer_use.responses,
            };
            *holder += client.connection.buffer_bytes();
        }
    }

    /// Makes readiness checks succeed, unless the gateway is shutting down.
    pub(crate) fn set_ready(&mut self) {
        self.state = self.state.max(GatewayState::Ready);
    }

    /// Makes readiness checks fail and closes every connection after its response.
    pub(crate) fn start_shutdown(&mut self) {
        self.state = GatewayState::ShuttingDown;
    }

    /// Reads the client's connection and returns whether the client still waits for this request. The client may have
    /// disconnected while the event loop handled other sockets; no attempt may be sent for a client that has disconnected.
    pub(crate) fn is_client_waiting(&mut self, context: &mut Context, id: RequestId) -> bool {
        if let Some(connection_id) = self.waiting.get(&id) {
            self.handle_readiness(context, *connection_id, READABLE);
        }
        self.waiting.contains_key(&id)
    }

    /// Calls `function` with the request's bytes. Returns `None` if the client no longer waits.
    pub(crate) fn with_outbound_request<T>(
        &self,
        id: RequestId,
        function: impl FnOnce(OutboundRequest<'_>) -> T,
    ) -> Option<T> {
        let client = self.connections.get(self.waiting.get(&id)?)?;
        let bytes = &client.connection.input;
        let head = RequestHead::parse(&bytes[client.reader.head()])
            .ok()
            .flatten()?;
        request_parser::outbound_request(&head, &bytes[client.reader.body()]).map(function)
    }

    fn close(&mut self, context: &mut Context, id: ConnectionId) {
        if let Some(client) = self.remove(context, id) {
            client.connection.close(context);
        }
    }

    /// Removes a connection, which the caller must close. Reports that the client of a request under way has disconnected.
    fn remove(&mut self, context: &mut Context, id: ConnectionId) -> Option<ClientConnection> {
        let client = self.connections.remove(&id)?;
        if let Some(idle) = client.listed_idle {
            self.idle.remove(id, idle);
        }
        if let Phase::Waiting(request_id) = client.phase {
            self.waiting.remove(&request_id);
            context.counters.add(Counter::ClientsDisconnected);
            context.emit(InternalEvent::ClientDisconnected { id: request_id });
        }
        Some(client)
    }
}
