//! Writes responses to clients, and then keeps or closes the connection.

use harrierdock_event_loop::{Buffer, ConnectionId, WriteResult, SHORT_BUFFER_BYTES};
use harrierdock_http::{write, ParseError};
use harrierdock_types::{RequestId, TimeDelta};

use super::connection::Phase;
use super::{Downstream, GatewayState};
use crate::metrics::Counter;
use crate::runtime::context::{Context, ResponseBody};

/// The status for requests that had no effect and may be repeated.
const SERVICE_UNAVAILABLE: u16 = 503;

/// The final result of a request, to be sent to its client.
pub(crate) enum Answer {
    /// The request succeeded with this endpoint response.
    Succeeded(ResponseBody),
    /// The request is rejected and had no effect.
    Rejected {
        /// Delay after which the client may retry. `None` omits the `Retry-After` field.
        retry_after: Option<TimeDelta>,
    },
    /// The request failed; whether it had an effect is unknown.
    Failed,
}

/// A header field of a response.
pub(super) struct Field {
    /// The field name, as written on the wire.
    pub(super) name: &'static str,
    /// The field value, as written on the wire.
    pub(super) value: String,
}

/// A response to be written to a client.
pub(super) struct Response<'body> {
    /// The HTTP status code.
    pub(super) status: u16,
    /// A header field in addition to those that every response has.
    pub(super) extra_field: Option<Field>,
    /// The response body, empty if there is none.
    pub(super) body: &'body [u8],
    /// Whether the request was read in full. If not, the start of the next request is unknown and the connection is closed.
    pub(super) is_request_complete: bool,
}

impl Response<'_> {
    /// A response with an empty body, to a request that was read in full.
    pub(super) fn status(status: u16) -> Response<'static> {
        Response {
            status,
            extra_field: None,
            body: b"",
            is_request_complete: true,
        }
    }

    /// A response with an empty body, after which the connection is closed because the start of the next request is unknown.
    pub(super) fn final_status(status: u16) -> Response<'static> {
        Response {
            is_request_complete: false,
            ..Response::status(status)
        }
    }
}

/// The bytes of a final response with status 503, for a connection that is closed at once.
pub(super) fn unavailable_response() -> Vec<u8> {
    let mut response = Vec::new();
    write::status_line(&mut response, SERVICE_UNAVAILABLE);
    write::field(&mut response, "Connection", "close");
    write::body(&mut response, b"");
    response
}

impl Downstream {
    /// Sends the answer to a request, if its client still waits.
    pub(crate) fn answer(&mut self, context: &mut Context, id: RequestId, answer: Answer) {
        let Some(connection_id) = self.waiting.remove(&id) else {
            return;
        };
        match answer {
            Answer::Succeeded(response) => {
                context.counters.add(Counter::RequestsSucceeded);
                self.respond_with_body(context, connection_id, response);
            }
            Answer::Rejected { retry_after } => {
                context.counters.add(Counter::RequestsRejected);
                let retry_after = retry_after.map(|delay| Field {
                    name: "Retry-After",
                    value: delay.as_seconds().to_string(),
                });
                let answer = Response {
                    extra_field: retry_after,
                    ..Response::status(SERVICE_UNAVAILABLE)
                };
                self.respond(context, connection_id, &answer);
            }
            Answer::Failed => {
                context.counters.add(Counter::RequestsFailed);
                self.respond(context, connection_id, &Response::status(502));
            }
        }
        self.update_idle_list(connection_id);
    }

    /// Writes a response. The connection stays open afterwards if the request was read in full and allowed keep-alive, no
    /// bytes follow it, and the gateway is not shutting down.
    pub(super) fn respond(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        response: &Response<'_>,
    ) {
        let Some(output) = self.start_response(context, id, response, response.body.len()) else {
            return self.close(context, id);
        };
        write::body(output, response.body);
        self.flush(context, id);
    }

    /// Writes an endpoint's response body. A body that does not fit into a short buffer is written from the buffer that holds
    /// it, so that no response needs a longer buffer of its own.
    fn respond_with_body(&mut self, context: &mut Context, id: ConnectionId, body: ResponseBody) {
        let response = Response::status(200);
        let ResponseBody { mut buffer, range } = body;
        if write::MAX_FIELDS_BYTES + range.len() <= SHORT_BUFFER_BYTES {
            let response = Response {
                body: &buffer[range],
                ..response
            };
            self.respond(context, id, &response);
            return context.buffers.release(&mut buffer);
        }
        let Some(output) = self.start_response(context, id, &response, 0) else {
            context.buffers.release(&mut buffer);
            return self.close(context, id);
        };
        write::end_of_head_before_body(output, range.len());
        if let Some(client) = self.connections.get_mut(&id) {
            client.connection.set_output_body(buffer, range);
        }
        self.flush(context, id);
    }

    /// Starts a response, without the end of its head, and returns the output buffer with room for a body of this length.
    /// `None` if the connection is closed, or if a body that does not fit into a short buffer finds no longer one.
    fn start_response(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        response: &Response<'_>,
        body_bytes: usize,
    ) -> Option<&mut Buffer> {
        let client = self.connections.get_mut(&id)?;
        let keeps_open = response.is_request_complete
            && client.has_single_request()
            && client.keeps_alive
            && self.state != GatewayState::ShuttingDown;
        client.phase = Phase::Responding { keeps_open };
        if !keeps_open {
            // Nothing of the input is needed any more, and the client may take its time to read the response.
            client.connection.input.clear();
            client.connection.release_empty_buffers(context);
        }
        let output = client
            .connection
            .output_buffer(context, write::MAX_FIELDS_BYTES + body_bytes)?;
        write::status_line(output, response.status);
        if let Some(field) = &response.extra_field {
            write::field(output, field.name, &field.value);
        }
        if !keeps_open {
            write::field(output, "Connection", "close");
        }
        Some(output)
    }

    /// Refuses an incomplete request, because its descriptor or its memory is needed. It had no effect, so the client may retry.
    pub(super) fn refuse_incomplete(&mut self, context: &mut Context, id: ConnectionId) {
        context.counters.add(Counter::IncompleteRequestsRefused);
        self.respond(context, id, &Response::final_status(SERVICE_UNAVAILABLE));
    }

    /// Refuses an incomplete request, and closes its connection at once.
    pub(super) fn refuse_and_close(&mut self, context: &mut Context, id: ConnectionId) {
        context.counters.add(Counter::IncompleteRequestsRefused);
        if let Some(client) = self.remove(context, id) {
            client
                .connection
                .close_with_response(context, &unavailable_response());
        }
    }

    /// Refuses a malformed request and closes its connection, because the start of the next request is unknown.
    pub(super) fn refuse(&mut self, context: &mut Context, id: ConnectionId, error: ParseError) {
        context.counters.add(Counter::MalformedRequests);
        self.respond(context, id, &Response::final_status(error.status()));
    }

    /// Flushes the output buffer. Once a response is written in full, reads the next request or closes the connection for
    /// sending.
    pub(super) fn flush(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(client) = self.connections.get_mut(&id) else {
            return;
        };
        client.idle_since = context.now();
        match client.connection.flush(context) {
            WriteResult::Failed => return self.close(context, id),
            WriteResult::Partial => {
                let is_reading = client.phase == Phase::Reading;
                return client.connection.set_interest(context, is_reading, true);
            }
            WriteResult::Complete => client.connection.set_interest(context, true, false),
        }
        match client.phase {
            Phase::Responding { keeps_open: true } => {
                client.reader.consume(&mut client.connection.input);
                client.phase = Phase::Reading;
                client.connection.release_empty_buffers(context);
                self.read_requests(context, id);
            }
            Phase::Responding { keeps_open: false } => {
                client.phase = Phase::Closing;
                client.connection.shut_down_sending();
            }
            Phase::Reading | Phase::Waiting(_) | Phase::Closing => {}
        }
    }
}
