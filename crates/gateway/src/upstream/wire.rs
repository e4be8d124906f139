//! Requests and responses of endpoints as bytes. The names that endpoints use on the wire stand in this file.

use std::net::SocketAddr;
use std::ops::Range;

use harrierdock_http::{write, ResponseHead};
use harrierdock_types::{AttemptOutcome, TimeDelta};

use crate::runtime::context::OutboundRequest;

const REQUEST_ID_FIELD: &str = "X-Txn";
const TIME_LEFT_FIELD: &str = "X-Remaining-Ms";
const IDEMPOTENCY_KEY_FIELD: &str = "Idempotency-Key";
const REJECTED_FIELD: &str = "X-Turned-Away";

const LINE_END: &str = "\r\n";
const MICROS_PER_MILLISECOND: i64 = 1000;

/// Writes a request. Returns where the time that its client still waits stands in the output.
pub(super) fn write_request(
    output: &mut Vec<u8>,
    address: SocketAddr,
    request: &OutboundRequest<'_>,
    time_left: TimeDelta,
) -> Range<usize> {
    write::request_line(output, request.method, request.target);
    write::field(output, "Host", address);
    write::field(output, REQUEST_ID_FIELD, request.client_request_id);
    let time_left_at = write_time_left(output, time_left);
    if let Some(key) = request.idempotency_key {
        write::field(output, IDEMPOTENCY_KEY_FIELD, key);
    }
    if request.method == "GET" && request.body.is_empty() {
        write::end_of_head(output);
    } else {
        write::body(output, request.body);
    }
    time_left_at
}

fn write_time_left(output: &mut Vec<u8>, time_left: TimeDelta) -> Range<usize> {
    let text = time_left_text(time_left);
    write::field(output, TIME_LEFT_FIELD, &text);
    let end = output.len() - LINE_END.len();
    end - text.len()..end
}

/// The time that is left, as the field says it.
pub(super) fn time_left_text(time_left: TimeDelta) -> String {
    (time_left.0.max(0) / MICROS_PER_MILLISECOND).to_string()
}

/// What a response means for its attempt.
pub(super) fn outcome_of(head: &ResponseHead<'_>) -> AttemptOutcome {
    let is_rejected = || head.fields.single(REJECTED_FIELD).ok().flatten() == Some("1");
    match head.status {
        200 => AttemptOutcome::Succeeded,
        503 | 504 if is_rejected() => AttemptOutcome::Rejected,
        _ => AttemptOutcome::ServerError,
    }
}
