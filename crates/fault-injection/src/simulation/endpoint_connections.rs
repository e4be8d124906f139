//! Connections from gateways to simulated endpoints, and HTTP on them.

use std::net::TcpStream;

use calloop::{Interest, Readiness};
use harrierdock_event_loop::{Connection, ConnectionId, ReadResult, ResourceClass, WriteResult};
use harrierdock_http::{write, MessageReader, Progress, RequestHead};
use harrierdock_types::{TimeDelta, Timestamp};

use super::endpoints::Admission;
use super::Simulation;

/// A gateway's connection to an endpoint.
pub(super) struct EndpointConnection {
    connection: Connection,
    endpoint: usize,
    reader: MessageReader,
    /// The request that the endpoint has not answered; `None` while the connection is idle.
    request: Option<PendingRequest>,
}

/// A request that the endpoint has not answered yet.
#[derive(Clone)]
pub(super) struct PendingRequest {
    /// From the `X-Txn` header.
    pub(super) request_id: String,
    /// Computed from the `X-Remaining-Ms` header on arrival.
    pub(super) deadline: Timestamp,
}

/// The header fields that an endpoint reads.
struct ReceivedHead {
    request_id: String,
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

    /// Returns a connection's unanswered request; `None` if it has none or is closed.
    pub(super) fn pending_request(&self, id: ConnectionId) -> Option<PendingRequest> {
        self.endpoint_connections.get(&id)?.request.clone()
    }

    fn read_request(&mut self, id: ConnectionId) {
        let Some(endpoint_connection) = self.endpoint_connections.get_mut(&id) else {
            return;
        };
        let endpoint = endpoint_connection.endpoint;
        match endpoint_connection.connection.read(&mut self.io) {
            ReadResult::Data => {}
            ReadResult::WouldBlock => return,
            _ => {
                // The gateway closed the connection: a queued request is dropped, work on a core continues.
                self.remove_from_queue(endpoint, id);
                return self.close_endpoint_connection(id);
            }
        }
        let input = &mut endpoint_connection.connection.input;
        if endpoint_connection.request.is_some()
            || endpoint_connection.reader.read_request(input) != Ok(Progress::Complete)
        {
            return;
        }
        let Some(head) = parse_head(&endpoint_connection.connection.input) else {
            return self.close_endpoint_connection(id);
        };
        let now = self.io.now();
        let deadline = now + TimeDelta(head.remaining_ms * 1000);
        endpoint_connection.request = Some(PendingRequest {
            request_id: head.request_id.clone(),
            deadline,
        });
        match self.admit_request(endpoint, now, &head.request_id, head.deduplication_key) {
            Admission::Answer(status) => self.respond(id, status),
            Admission::Ignore => {}
            Admission::Queue => self.queue_request(endpoint, id),
        }
    }

    /// Answers a connection's pending request. Does nothing if the connection is closed or has none.
    pub(super) fn respond(&mut self, id: ConnectionId, status: u16) {
        let Some(endpoint_connection) = self.endpoint_connections.get_mut(&id) else {
            return;
        };
        let Some(request) = endpoint_connection.request.take() else {
            return;
        };
        let Some(output) = endpoint_connection
            .connection
            .output_buffer(&mut self.io, write::MAX_FIELDS_BYTES)
        else {
            return self.close_endpoint_connection(id);
        };
        write::status_line(output, status);
        if matches!(status, 503 | 504) {
            write::field(output, "X-Turned-Away", 1);
        }
        let body = if status == 200 {
            format!("settled {}", request.request_id)
        } else {
            String::new()
        };
        write::body(output, body.as_bytes());
        endpoint_connection
            .reader
            .consume(&mut endpoint_connection.connection.input);
        endpoint_connection
            .connection
            .release_empty_buffers(&mut self.io);
        if endpoint_connection.connection.flush(&mut self.io) != WriteResult::Complete {
            self.close_endpoint_connection(id);
        }
    }
}

fn parse_head(input: &[u8]) -> Option<ReceivedHead> {
    let head = RequestHead::parse(input).ok()??;
    let field = |name| head.fields.single(name).ok().flatten();
    Some(ReceivedHead {
        request_id: field("X-Txn").unwrap_or("").to_string(),
        remaining_ms: field("X-Remaining-Ms")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0),
        deduplication_key: field("Idempotency-Key").map(str::to_string),
    })
}
