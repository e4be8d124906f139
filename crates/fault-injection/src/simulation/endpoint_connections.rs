//! The connections from gateways to simulated endpoints, and HTTP on them.

use std::net::TcpStream;

use calloop::{Interest, Readiness};
use harrierdock_event_loop::{Connection, ConnectionId, ReadResult, ResourceClass, WriteResult};
use harrierdock_http::{write, MessageReader, Progress, RequestHead};
use harrierdock_types::{TimeDelta, Timestamp};

use super::endpoints::Admission;
use super::Simulation;

/// A connection from a gateway.
pub(super) struct EndpointConnection {
    connection: Connection,
    endpoint: usize,
    reader: MessageReader,
    /// The request that waits or is worked on.
    request: Option<PendingRequest>,
}

/// A request without an answer.
#[derive(Clone)]
pub(super) struct PendingRequest {
    /// Its name on the wire.
    pub(super) name: String,
    /// When its time is over.
    pub(super) deadline: Timestamp,
}

/// What an endpoint reads from a request's head.
struct ReceivedHead {
    name: String,
    remaining_ms: i64,
    deduplication_key: Option<String>,
}

impl Simulation {
    pub(super) fn accept_endpoint_connection(&mut self, endpoint: usize, stream: TcpStream) {
        if stream.set_nonblocking(true).is_err() || stream.set_nodelay(true).is_err() {
            return;
        }
        let id = self.io.next_connection_id();
        let on_ready = move |simulation: &mut Simulation, _: Readiness| simulation.read_request(id);
        let connection = Connection::register(
            &mut self.io,
            stream,
            Interest::READ,
            ResourceClass::Reserved,
            on_ready,
        );
        if let Ok(connection) = connection {
            let endpoint_connection = EndpointConnection {
                connection,
                endpoint,
                reader: MessageReader::default(),
                request: None,
            };
            self.endpoint_connections.insert(id, endpoint_connection);
        }
    }

    pub(super) fn close_endpoint_connections(&mut self, endpoint: usize) {
        let ids: Vec<ConnectionId> = self
            .endpoint_connections
            .iter()
            .filter(|(_, connection)| connection.endpoint == endpoint)
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.close_endpoint_connection(id);
        }
    }

    fn close_endpoint_connection(&mut self, id: ConnectionId) {
        if let Some(closed) = self.endpoint_connections.remove(&id) {
            closed.connection.close(&mut self.io);
        }
    }

    /// The request that waits on a connection.
    pub(super) fn pending_request(&self, id: ConnectionId) -> Option<PendingRequest> {
        self.endpoint_connections.get(&id)?.request.clone()
    }

    fn read_request(&mut self, id: ConnectionId) {
        let Some(receiver) = self.endpoint_connections.get_mut(&id) else {
            return;
        };
        let endpoint = receiver.endpoint;
        match receiver.connection.read(&mut self.io) {
            ReadResult::Data => {}
            ReadResult::WouldBlock => return,
            _ => {
                // The gateway gave up: what waits is not begun, what a core works on goes on.
                self.remove_from_queue(endpoint, id);
                return self.close_endpoint_connection(id);
            }
        }
        let input = &mut receiver.connection.input;
        if receiver.request.is_some()
            || receiver.reader.read_request(input) != Ok(Progress::Complete)
        {
            return;
        }
        let Some(head) = parse_head(&receiver.connection.input) else {
            return self.close_endpoint_connection(id);
        };
        let now = self.io.now();
        let deadline = now + TimeDelta(head.remaining_ms * 1000);
        receiver.request = Some(PendingRequest {
            name: head.name.clone(),
            deadline,
        });
        match self.admit_request(endpoint, now, &head.name, head.deduplication_key) {
            Admission::Answer(status) => self.respond(id, status),
            Admission::Ignore => {}
            Admission::Queue => self.queue_request(endpoint, id),
        }
    }

    /// Answers the request that waits on a connection, if it is still there.
    pub(super) fn respond(&mut self, id: ConnectionId, status: u16) {
        let Some(receiver) = self.endpoint_connections.get_mut(&id) else {
            return;
        };
        let Some(request) = receiver.request.take() else {
            return;
        };
        let Some(output) = receiver.connection.output_buffer(&mut self.io) else {
            return self.close_endpoint_connection(id);
        };
        write::status_line(output, status);
        if matches!(status, 503 | 504) {
            write::field(output, "X-Turned-Away", 1);
        }
        let body = if status == 200 {
            format!("settled {}", request.name)
        } else {
            String::new()
        };
        write::body(output, body.as_bytes());
        receiver.reader.consume(&mut receiver.connection.input);
        receiver.connection.release_empty_buffers(&mut self.io);
        if receiver.connection.flush(&mut self.io) != WriteResult::Complete {
            self.close_endpoint_connection(id);
        }
    }
}

fn parse_head(input: &[u8]) -> Option<ReceivedHead> {
    let head = RequestHead::parse(input).ok()??;
    let field = |name| head.fields.single(name).ok().flatten();
    Some(ReceivedHead {
        name: field("X-Txn").unwrap_or("").to_string(),
        remaining_ms: field("X-Remaining-Ms")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0),
        deduplication_key: field("Idempotency-Key").map(str::to_string),
    })
}
