//! Connections from simulated clients to gateways, and HTTP on them.

use calloop::Readiness;
use harrierdock_event_loop::{Connection, ConnectionId, ReadResult, ResourceClass, WriteResult};
use harrierdock_http::{write, MessageReader, Progress, ResponseHead};

use super::clients::Answer;
use super::parameters::{RequestClass, REQUEST_TIMEOUT, SITE_NAMES};
use super::Simulation;

const BODY: &[u8] = b"{\"lines\":[1,2,3]}";

/// A client's connection to a gateway.
pub(super) struct ClientConnection {
    connection: Connection,
    gateway: usize,
    incarnation: u32,
    reader: MessageReader,
    /// Index of the request that waits for its answer; `None` while the connection is idle.
    pub(super) request: Option<usize>,
    /// Whether this connection has carried an answer.
    has_answered: bool,
}

impl Simulation {
    /// Returns the newest idle connection to a gateway's incarnation.
    pub(super) fn idle_connection(&self, gateway: usize, incarnation: u32) -> Option<ConnectionId> {
        self.client_connections
            .iter()
            .rev()
            .find(|(_, client)| {
                client.gateway == gateway
                    && client.incarnation == incarnation
                    && client.request.is_none()
            })
            .map(|(id, _)| *id)
    }

    /// Starts to connect to a gateway. Returns `None` if the gateway has no address or the connection attempt fails.
    pub(super) fn open_client_connection(
        &mut self,
        gateway: usize,
        incarnation: u32,
    ) -> Option<ConnectionId> {
        let address = self.gateways[gateway].address?;
        let id = self.io.next_connection_id();
        let on_ready = move |simulation: &mut Simulation, readiness: Readiness| {
            simulation.handle_client_ready(id, readiness);
        };
        let connected =
            Connection::connect(&mut self.io, address, ResourceClass::Reserved, on_ready);
        let client = ClientConnection {
            connection: connected.ok()?,
            gateway,
            incarnation,
            reader: MessageReader::default(),
            request: None,
            has_answered: false,
        };
        self.client_connections.insert(id, client);
        Some(id)
    }

    /// Closes a connection without recording an answer for its request.
    pub(super) fn close_client_connection(&mut self, id: ConnectionId) {
        if let Some(client) = self.client_connections.remove(&id) {
            client.connection.close(&mut self.io);
        }
    }

    /// Writes a request on an idle connection.
    pub(super) fn write_request(&mut self, id: ConnectionId, request: usize) {
        let class = self.requests[request].class;
        let site_name = SITE_NAMES[self.requests[request].site];
        let now = self.io.now();
        let remaining = self.requests[request].sent_at + REQUEST_TIMEOUT - now;
        let Some(client) = self.client_connections.get_mut(&id) else {
            return;
        };
        client.request = Some(request);
        let size = BODY.len() + write::MAX_FIELDS_BYTES;
        let Some(output) = client.connection.output_buffer(&mut self.io, size) else {
            return;
        };
        let method = if class == RequestClass::Idempotent {
            "GET"
        } else {
            "POST"
        };
        write::request_line(output, method, &format!("/api?obj={request:016x}"));
        write::field(output, "Host", "app");
        write::field(output, "X-Txn", format_args!("{site_name}-{request}"));
        write::field(output, "X-Lane", class.name());
        write::field(output, "X-Remaining-Ms", remaining.0 / 1000);
        if class == RequestClass::Keyed {
            write::field(output, "Idempotency-Key", format_args!("key-{request}"));
        }
        if class == RequestClass::Idempotent {
            write::end_of_head(output);
        } else {
            write::body(output, BODY);
        }
        self.flush_client_connection(id);
    }

    fn flush_client_connection(&mut self, id: ConnectionId) {
        let Some(client) = self.client_connections.get_mut(&id) else {
            return;
        };
        match client.connection.flush(&mut self.io) {
            WriteResult::Complete => {
                client.connection.set_interest(&self.io, true, false);
                let receiver = (client.gateway, client.incarnation);
                if let Some(request) = client.request {
                    self.requests[request].gateway = Some(receiver);
                }
            }
            WriteResult::Partial => client.connection.set_interest(&self.io, true, true),
            WriteResult::Failed
                if client.connection.check_connected().is_ok() && !client.has_answered =>
            {
                // Not connected yet: the readiness callback fires once it is.
                client.connection.set_interest(&self.io, true, true);
            }
            WriteResult::Failed => self.handle_connection_lost(id),
        }
    }

    /// Reads from or writes to a connection that has become ready.
    pub(super) fn handle_client_ready(&mut self, id: ConnectionId, readiness: Readiness) {
        if readiness.writable {
            let Some(client) = self.client_connections.get_mut(&id) else {
                return;
            };
            if client.connection.check_connected().is_err() {
                return self.handle_connection_lost(id);
            }
            self.flush_client_connection(id);
        }
        if readiness.readable {
            self.read_response(id);
        }
    }

    fn read_response(&mut self, id: ConnectionId) {
        let Some(client) = self.client_connections.get_mut(&id) else {
            return;
        };
        match client.connection.read(&mut self.io) {
            ReadResult::Data => {}
            ReadResult::WouldBlock => return,
            _ => return self.handle_connection_lost(id),
        }
        match client.reader.read_response(&mut client.connection.input) {
            Ok(Progress::Complete) => {}
            Ok(_) => return,
            Err(_) => return self.handle_connection_lost(id),
        }
        let now = self.io.now();
        let Ok(Some(head)) = ResponseHead::parse(&client.connection.input) else {
            return self.handle_connection_lost(id);
        };
        let status = head.status;
        let keeps_alive = head.keeps_alive();
        let body_range = client.reader.body();
        let has_surplus = client.connection.input.len() > body_range.end;
        client.has_answered = true;
        if let Some(request) = client.request.take() {
            let site_name = SITE_NAMES[self.requests[request].site];
            let expected_body = format!("settled {site_name}-{request}");
            let body = &client.connection.input[body_range];
            let answer = match status {
                200 if body == expected_body.as_bytes() => Answer::Succeeded,
                429 | 503 => Answer::Rejected,
                _ => Answer::Failed,
            };
            self.record_answer(request, answer, now, has_surplus);
        }
        self.finish_response(id, keeps_alive && !has_surplus);
    }

    /// Prepares a connection for the next request, or closes it.
    fn finish_response(&mut self, id: ConnectionId, is_kept: bool) {
        let Some(client) = self.client_connections.get_mut(&id) else {
            return;
        };
        client.reader.consume(&mut client.connection.input);
        client.connection.release_empty_buffers(&mut self.io);
        if !is_kept {
            self.handle_connection_lost(id);
        }
    }

    /// Closes a connection. As HTTP permits, its request is retried once if the connection was reused or the request was not
    /// completely written. A request to a gateway that was killed since is not retried, because it may have had an effect.
    fn handle_connection_lost(&mut self, id: ConnectionId) {
        let Some(client) = self.client_connections.remove(&id) else {
            return;
        };
        let was_written = client.connection.output.is_empty();
        client.connection.close(&mut self.io);
        let Some(request) = client.request else {
            return;
        };
        let gateway = &self.gateways[client.gateway];
        let is_same_incarnation = gateway.is_alive && gateway.incarnation == client.incarnation;
        let may_retry = client.has_answered || !was_written;
        if !self.requests[request].is_client_retry && may_retry && is_same_incarnation {
            self.requests[request].is_client_retry = true;
            self.requests[request].gateway = None;
            self.send_request(request);
        }
    }
}
