//! Responses to clients: how they are written, and what becomes of the connection afterwards.

use harrierdock_event_loop::{ConnectionId, WriteResult};
use harrierdock_http::{write, ParseError};
use harrierdock_types::{RequestId, TimeDelta};

use super::connection::Phase;
use super::{Downstream, Readiness};
use crate::metrics::Counter;
use crate::runtime::context::{Context, ResponseBody};

/// The answer to a request.
pub(crate) enum Answer {
    /// An endpoint's response.
    Succeeded(ResponseBody),
    /// The request is rejected without effect.
    Rejected {
        /// When the client may retry, if this is said.
        retry_after: Option<TimeDelta>,
    },
    /// The request has ended with unknown effect.
    Failed,
}

/// A header field.
pub(super) struct Field {
    /// Its name.
    pub(super) name: &'static str,
    /// Its value.
    pub(super) value: String,
}

/// A response as it is written.
pub(super) struct Response<'body> {
    /// The status code.
    pub(super) status: u16,
    /// A field beside those that every response has.
    pub(super) extra_field: Option<Field>,
    /// The body.
    pub(super) body: &'body [u8],
    /// Whether the request was read in full, so that the next one's start is known.
    pub(super) request_is_complete: bool,
}

impl Response<'_> {
    /// A response without a body, to a request that was read in full.
    pub(super) fn status(status: u16) -> Response<'static> {
        Response {
            status,
            extra_field: None,
            body: b"",
            request_is_complete: true,
        }
    }

    /// A response without a body, after which the connection is closed, because it is not known where the next request starts.
    pub(super) fn final_status(status: u16) -> Response<'static> {
        Response {
            request_is_complete: false,
            ..Response::status(status)
        }
    }
}

impl Downstream {
    /// Answers a request, if its client still waits.
    pub(crate) fn answer(&mut self, context: &mut Context, id: RequestId, answer: Answer) {
        let Some(connection_id) = self.waiting.remove(id) else {
            return;
        };
        match answer {
            Answer::Succeeded(mut response) => {
                context.counters.add(Counter::RequestsSucceeded);
                let answer = Response {
                    body: response.bytes(),
                    ..Response::status(200)
                };
                self.respond(context, connection_id, &answer);
                context.buffers.release(&mut response.buffer);
            }
            Answer::Rejected { retry_after } => {
                context.counters.add(Counter::RequestsRejected);
                let retry_after = retry_after.map(|delay| Field {
                    name: "Retry-After",
                    value: delay.as_seconds().to_string(),
                });
                let answer = Response {
                    extra_field: retry_after,
                    ..Response::status(503)
                };
                self.respond(context, connection_id, &answer);
            }
            Answer::Failed => {
                context.counters.add(Counter::RequestsFailed);
                self.respond(context, connection_id, &Response::status(502));
            }
        }
        self.update_idle(connection_id);
    }

    /// Writes a response. The connection is kept afterwards if the client wants it, its request was read in full, and no
    /// bytes follow it.
    pub(super) fn respond(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        response: &Response<'_>,
    ) {
        let Some(client) = self.connections.get_mut(&id) else {
            return;
        };
        let keeps_open = response.request_is_complete
            && client.has_single_request()
            && client.keeps_alive
            && self.readiness != Readiness::ShuttingDown;
        client.phase = Phase::Responding { keeps_open };
        let Some(output) = client.connection.output_buffer(context) else {
            return self.close(context, id);
        };
        write::status_line(output, response.status);
        if let Some(field) = &response.extra_field {
            write::field(output, field.name, &field.value);
        }
        if !keeps_open {
            write::field(output, "Connection", "close");
        }
        write::body(output, response.body);
        self.flush(context, id);
    }

    /// Refuses a malformed request and closes its connection, because it is not known where the next request starts.
    pub(super) fn refuse(&mut self, context: &mut Context, id: ConnectionId, error: ParseError) {
        context.counters.add(Counter::MalformedRequests);
        self.respond(context, id, &Response::final_status(error.status()));
    }

    /// Writes what waits to be written, and reads the next request once a response is complete.
    pub(super) fn flush(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(client) = self.connections.get_mut(&id) else {
            return;
        };
        client.since = context.now();
        match client.connection.flush(context) {
            WriteResult::Failed => return self.close(context, id),
            WriteResult::Partial => {
                let reads = client.phase == Phase::Reading;
                return client.connection.set_interest(context, reads, true);
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
                client.connection.input.clear();
                client.connection.release_empty_buffers(context);
            }
            Phase::Reading | Phase::Waiting(_) | Phase::Closing => {}
        }
    }
}
