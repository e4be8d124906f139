//! Reads requests from client connections, and drops a request when its client disconnects.

use calloop::Readiness;
use harrierdock_event_loop::{ConnectionId, ReadResult};
use harrierdock_http::{write, ParseError, Progress, RequestHead};
use harrierdock_types::{RequestId, TimeDelta};

use super::connection::{IdleKind, Phase};
use super::request_parser::{ParsedRequest, RequestAttributes};
use super::responses::{Field, Response};
use super::{Downstream, GatewayState};
use crate::metrics::Counter;
use crate::runtime::context::{Context, InternalEvent, ReceivedRequest};

impl Downstream {
    /// Handles the readiness of a client connection.
    pub(crate) fn handle_readiness(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        readiness: Readiness,
    ) {
        if readiness.writable {
            self.handle_writable(context, id);
        }
        if readiness.readable {
            self.handle_readable(context, id);
        }
        self.update_idle_list(id);
    }

    fn handle_writable(&mut self, context: &mut Context, id: ConnectionId) {
        let phase = self.connections.get(&id).map(|client| client.phase);
        if let Some(Phase::Responding { .. } | Phase::Reading) = phase {
            self.flush(context, id);
        }
    }

    fn handle_readable(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(client) = self.connections.get_mut(&id) else {
            return;
        };
        if !client.connection.is_reading() {
            // Reading is paused, so a readable event means that the connection failed.
            if !matches!(client.phase, Phase::Responding { .. }) {
                self.close(context, id);
            }
            return;
        }
        if client.phase == Phase::Closing {
            let discarded = client.connection.discard_input(context);
            if matches!(discarded, ReadResult::EndOfStream | ReadResult::Failed) {
                self.close(context, id);
            }
            return;
        }
        let was_empty = client.connection.input.is_empty();
        // Discards further bytes that follow a request under way. If they filled the buffer, a disconnection would go
        // unnoticed. The first of these bytes stay in the buffer, so that the connection is closed after the response.
        let has_surplus = matches!(client.phase, Phase::Waiting(_)) && !client.has_single_request();
        let result = if has_surplus {
            client.connection.discard_input(context)
        } else {
            client.connection.read(context)
        };
        match result {
            ReadResult::Data if client.phase == Phase::Reading => {
                // The time limit of a request runs from its first byte, so a client that sends byte by byte gains no time.
                if was_empty && client.keeps_alive {
                    client.idle_since = context.now();
                }
                self.read_requests(context, id);
            }
            ReadResult::Data | ReadResult::WouldBlock => {}
            ReadResult::NoBuffer => self.handle_buffer_shortage(context, id),
            ReadResult::EndOfStream | ReadResult::Failed => self.close(context, id),
        }
    }

    /// Stops reading for lack of a buffer. If this connection holds no buffer, evicts one stalled partial request, so that
    /// partial requests cannot occupy all buffers.
    fn handle_buffer_shortage(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(client) = self.connections.get_mut(&id) else {
            return;
        };
        client.buffer_wait_since.get_or_insert(context.now());
        let has_no_buffer = client.connection.input.is_empty();
        client.connection.set_interest(context, false, false);
        if has_no_buffer && self.evict(context, IdleKind::PartialRequest, self.stall_timeout) {
            self.resume_reading(context);
        }
    }

    /// Parses the requests in the input buffer. Accepts or refuses each complete one.
    pub(super) fn read_requests(&mut self, context: &mut Context, id: ConnectionId) {
        while let Some(client) = self
            .connections
            .get_mut(&id)
            .filter(|client| client.phase == Phase::Reading)
        {
            if client.reader.is_untouched(&client.connection.input) {
                client.connection.release_empty_buffers(context);
                return;
            }
            match client.reader.read_request(&mut client.connection.input) {
                Ok(Progress::Incomplete) => return,
                Ok(Progress::ExpectsContinue) => {
                    let Some(output) = client.connection.output_buffer(context) else {
                        return self.close(context, id);
                    };
                    write::continue_response(output);
                    return self.flush(context, id);
                }
                // Clients send one request at a time. Bytes after a request mean that its length is wrong, or that requests
                // are pipelined, which is not supported.
                Ok(Progress::Complete) if !client.has_single_request() => {
                    self.refuse(context, id, ParseError::Malformed);
                }
                Ok(Progress::Complete) => self.handle_complete_request(context, id),
                Err(error) => self.refuse(context, id, error),
            }
        }
    }

    /// Queues a request for the dispatcher. Responds to readiness checks, duplicates and invalid requests directly.
    fn handle_complete_request(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(client) = self.connections.get_mut(&id) else {
            return;
        };
        let head = match RequestHead::parse(&client.connection.input) {
            Ok(Some(head)) => head,
            Ok(None) => return self.refuse(context, id, ParseError::Malformed),
            Err(error) => return self.refuse(context, id, error),
        };
        client.keeps_alive = head.keeps_alive();
        let queue_time = std::mem::take(&mut client.queue_time);
        let message;
        let response = match ParsedRequest::from_head(&head, &self.classes) {
            ParsedRequest::Request(attributes) => {
                if !self.waiting.contains(attributes.client_request_id) {
                    let request_id = context.next_request_id();
                    client.phase = Phase::Waiting(request_id);
                    self.waiting
                        .insert(request_id, id, attributes.client_request_id);
                    let request = received_request(request_id, &attributes, queue_time);
                    context.counters.add(Counter::RequestsReceived);
                    return context.emit(InternalEvent::RequestReceived(request));
                }
                // Another request with the same id is under way. Refuses this one and leaves the first unaffected.
                Response::status(409)
            }
            ParsedRequest::ReadinessCheck if self.state == GatewayState::Ready => {
                Response::status(200)
            }
            ParsedRequest::ReadinessCheck => Response::status(503),
            ParsedRequest::NotFound => Response::status(404),
            ParsedRequest::MethodNotAllowed { methods } => Response {
                extra_field: Some(Field {
                    name: "Allow",
                    value: methods,
                }),
                ..Response::status(405)
            },
            ParsedRequest::InvalidField { field } => {
                message = format!("{field}: missing or wrong\n");
                Response {
                    body: message.as_bytes(),
                    ..Response::status(400)
                }
            }
        };
        context.counters.add(Counter::OtherRequests);
        self.respond(context, id, &response);
    }
}

/// Builds a request for the dispatcher. Subtracts the time that it may have waited in the accept queue from the time left.
fn received_request(
    id: RequestId,
    attributes: &RequestAttributes<'_>,
    queue_time: TimeDelta,
) -> ReceivedRequest {
    ReceivedRequest {
        id,
        class: attributes.class,
        key: attributes.key,
        is_client_retry: attributes.is_client_retry,
        time_left: (attributes.time_left - queue_time).max(TimeDelta::ZERO),
        inbound: None,
    }
}
