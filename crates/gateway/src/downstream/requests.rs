//! Reads requests from client connections, and drops a request when its client disconnects.

use calloop::Readiness;
use harrierdock_attempt_guard::RequestIdHash;
use harrierdock_event_loop::{ConnectionId, ReadResult};
use harrierdock_http::{write, ParseError, Progress, RequestHead};
use harrierdock_types::{RequestId, TimeDelta};

use super::connection::Phase;
use super::request_parser::{ParsedRequest, RequestAttributes};
use super::responses::{Field, Response};
use super::{Downstream, GatewayState};
use crate::metrics::Counter;
use crate::runtime::context::{Context, InternalEvent, ReceivedRequest};

/// What happens to a request that needs a longer buffer when none is available.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Shortage {
    /// Other incomplete requests are refused, so that it gets their buffers.
    EvictOthers,
    /// It is refused.
    Refuse,
}

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
        let Some(client) = self.connections.get(&id) else {
            return;
        };
        match client.phase {
            Phase::Reading => self.read_input(context, id, Shortage::EvictOthers),
            Phase::Waiting(_) | Phase::Closing => self.discard_input(context, id),
            // The next request is read once the response is written.
            Phase::Responding { .. } => {}
        }
    }

    /// Discards input that belongs to no request. Bytes behind a request under way are not kept: if they filled the buffer, a
    /// disconnection would go unnoticed.
    fn discard_input(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(client) = self.connections.get_mut(&id) else {
            return;
        };
        match client.connection.discard_input(context) {
            ReadResult::Data => client.has_surplus = true,
            ReadResult::EndOfStream | ReadResult::Failed => self.close(context, id),
            ReadResult::WouldBlock | ReadResult::NoBuffer | ReadResult::BufferFull => {}
        }
    }

    /// Reads until a request is complete or no more input has arrived. Input that fills its buffer is read on at once: a request
    /// that has arrived in full never waits for a longer buffer while it counts as incomplete.
    pub(super) fn read_input(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        shortage: Shortage,
    ) {
        while let Some(client) = self
            .connections
            .get_mut(&id)
            .filter(|client| client.phase == Phase::Reading)
        {
            let was_empty = client.connection.input.is_empty();
            match client.connection.read(context) {
                ReadResult::Data => {
                    // The time limit of a request runs from its first byte, so a client that sends byte by byte gains no time.
                    if was_empty && client.keeps_alive {
                        client.idle_since = context.now();
                    }
                    let may_have_more = client.connection.is_input_full();
                    self.read_requests(context, id);
                    if !may_have_more {
                        return;
                    }
                }
                ReadResult::NoBuffer => {
                    if shortage == Shortage::Refuse || !self.free_input_buffer(context, id) {
                        return self.refuse_incomplete(context, id);
                    }
                }
                ReadResult::BufferFull => {
                    return self.refuse(context, id, ParseError::BodyTooLarge)
                }
                ReadResult::WouldBlock => return,
                ReadResult::EndOfStream | ReadResult::Failed => return self.close(context, id),
            }
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
                    let output = client
                        .connection
                        .output_buffer(context, write::MAX_FIELDS_BYTES);
                    let Some(output) = output else {
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
                if let Some(client_id) = context.client_ids.open(attributes.client_request_id) {
                    let request_id = context.next_request_id();
                    client.phase = Phase::Waiting(request_id);
                    self.waiting.insert(request_id, id);
                    let request = received_request(request_id, client_id, &attributes, queue_time);
                    context.counters.add(Counter::RequestsReceived);
                    return context.emit(InternalEvent::RequestReceived(request));
                }
                // A copy of a request that is under way or may have had an effect. No promise that trying again is harmless.
                context.counters.add(Counter::RepeatedRequests);
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
    client_id: RequestIdHash,
    attributes: &RequestAttributes<'_>,
    queue_time: TimeDelta,
) -> ReceivedRequest {
    ReceivedRequest {
        id,
        client_id,
        class: attributes.class,
        key: attributes.key,
        is_client_retry: attributes.is_client_retry,
        time_left: (attributes.time_left - queue_time).max(TimeDelta::ZERO),
        inbound: None,
    }
}
