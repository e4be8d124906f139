//! The clients' side: connections, the requests that arrive on them, and the responses.

mod connection;
mod idle_eviction;
mod listener;
mod request_parser;
mod requests;
mod responses;

use std::collections::{BTreeMap, BTreeSet};

use harrierdock_config::ClassNames;
use harrierdock_event_loop::ConnectionId;
use harrierdock_http::RequestHead;
use harrierdock_types::{RequestId, TimeDelta};

use crate::metrics::Counter;
use crate::runtime::context::{Context, InternalEvent, OutboundRequest};
use connection::{ClientConnection, Phase};
use idle_eviction::{IdleList, READABLE};

pub(crate) use listener::{AcceptResult, Listener};
pub(crate) use responses::Answer;

/// How long the protocol grants a connection without an open request at the least.
pub(crate) const MIN_IDLE_TIME: TimeDelta = TimeDelta(2_000_000);
/// Clients may use one in this many descriptors for requests, by the protocol.
const DESCRIPTORS_PER_REQUEST: usize = 3;

/// Whether the gateway is ready for requests.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Readiness {
    /// It has no endpoint list.
    NotReady,
    Ready,
    /// Every connection is closed after its response.
    ShuttingDown,
}

/// How clients are served.
pub(crate) struct DownstreamSettings {
    /// The request classes.
    pub(crate) classes: ClassNames,
    /// How long a connection is kept unused, or a response unread.
    pub(crate) idle_timeout: TimeDelta,
    /// How long a stalled connection is kept while others need its resources.
    pub(crate) stall_timeout: TimeDelta,
    /// How many descriptors the process may have.
    pub(crate) descriptor_limit: usize,
}

struct WaitingClient {
    connection_id: ConnectionId,
    client_request_id: String,
}

/// The requests whose clients wait for an answer.
#[derive(Default)]
struct WaitingClients {
    clients: BTreeMap<RequestId, WaitingClient>,
    client_request_ids: BTreeSet<String>,
}

impl WaitingClients {
    fn insert(&mut self, id: RequestId, connection_id: ConnectionId, client_request_id: &str) {
        self.client_request_ids.insert(client_request_id.into());
        let client = WaitingClient {
            connection_id,
            client_request_id: client_request_id.into(),
        };
        self.clients.insert(id, client);
    }

    /// The client waits no more. Returns the connection on which it did.
    fn remove(&mut self, id: RequestId) -> Option<ConnectionId> {
        let client = self.clients.remove(&id)?;
        self.client_request_ids.remove(&client.client_request_id);
        Some(client.connection_id)
    }

    /// Whether a client waits for a request with this id.
    fn contains(&self, client_request_id: &str) -> bool {
        self.client_request_ids.contains(client_request_id)
    }

    fn connection_of(&self, id: RequestId) -> Option<ConnectionId> {
        Some(self.clients.get(&id)?.connection_id)
    }
}

/// The clients' side of the gateway.
pub(crate) struct Downstream {
    listener: Listener,
    connections: BTreeMap<ConnectionId, ClientConnection>,
    idle: IdleList,
    /// How many connections may be kept between requests.
    max_unused: usize,
    waiting: WaitingClients,
    classes: ClassNames,
    idle_timeout: TimeDelta,
    stall_timeout: TimeDelta,
    readiness: Readiness,
}

impl Downstream {
    /// Serves the clients of a listener. None is accepted until `start_accepting`.
    pub(crate) fn new(listener: Listener, settings: DownstreamSettings) -> Downstream {
        Downstream {
            listener,
            connections: BTreeMap::new(),
            idle: IdleList::default(),
            max_unused: settings.descriptor_limit / DESCRIPTORS_PER_REQUEST / 2,
            waiting: WaitingClients::default(),
            classes: settings.classes,
            idle_timeout: settings.idle_timeout,
            stall_timeout: settings.stall_timeout,
            readiness: Readiness::NotReady,
        }
    }

    /// How many connections clients have.
    pub(crate) fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Answers readiness checks with yes, unless the gateway shuts down.
    pub(crate) fn set_ready(&mut self) {
        self.readiness = self.readiness.max(Readiness::Ready);
    }

    /// Answers readiness checks with no, and closes every connection after its response.
    pub(crate) fn start_shutdown(&mut self) {
        self.readiness = Readiness::ShuttingDown;
    }

    /// Whether a request's client still waits, by what its connection says now. A client may have left while the loop was busy
    /// with other sockets, and no attempt is to be sent for it then.
    pub(crate) fn is_client_waiting(&mut self, context: &mut Context, id: RequestId) -> bool {
        if let Some(connection_id) = self.waiting.connection_of(id) {
            self.handle_readiness(context, connection_id, READABLE);
        }
        self.waiting.connection_of(id).is_some()
    }

    /// Calls a function with a request's bytes, if its client still waits.
    pub(crate) fn with_outbound_request<T>(
        &self,
        id: RequestId,
        function: impl FnOnce(OutboundRequest<'_>) -> T,
    ) -> Option<T> {
        let client = self.connections.get(&self.waiting.connection_of(id)?)?;
        let bytes = &client.connection.input;
        let head = RequestHead::parse(&bytes[client.reader.head()])
            .ok()
            .flatten()?;
        request_parser::outbound_request(&head, &bytes[client.reader.body()]).map(function)
    }

    fn close(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(client) = self.connections.remove(&id) else {
            return;
        };
        if let Some(idle) = client.listed_idle {
            self.idle.remove(id, idle);
        }
        if let Phase::Waiting(request_id) = client.phase {
            self.waiting.remove(request_id);
            context.counters.add(Counter::ClientsDisconnected);
            context.emit(InternalEvent::ClientDisconnected { id: request_id });
        }
        client.connection.close(context);
    }
}
