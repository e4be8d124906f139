//! The wire format of requests to endpoints and of their responses. The endpoint protocol fixes the header names.

use std::net::SocketAddr;

use harrierdock_http::{write, ResponseHead};
use harrierdock_types::{AttemptOutcome, TimeDelta};

use crate::runtime::context::OutboundRequest;

const REQUEST_ID_FIELD: &str = "X-Txn";
const TIME_LEFT_FIELD: &str = "X-Remaining-Ms";
const IDEMPOTENCY_KEY_FIELD: &str = "Idempotency-Key";
const REJECTED_FIELD: &str = "X-Turned-Away";

const LINE_END: &str = "\r\n";
const MICROS_PER_MILLISECOND: i64 = 1000;

/// An upper bound on the length of a request with its time left.
pub(super) fn request_bytes(request: &OutboundRequest<'_>) -> usize {
    request.target.len()
        + request.client_request_id.len()
        + request.idempotency_key.map_or(0, str::len)
        + request.body.len()
        + write::MAX_FIELDS_BYTES
}

/// Writes a request without the client's remaining time. Returns the offset in `output` at which to insert that time.
pub(super) fn write_request(
    output: &mut Vec<u8>,
    address: SocketAddr,
    request: &OutboundRequest<'_>,
) -> usize {
    write::request_line(output, request.method, request.target);
    write::field(output, "Host", address);
    write::field(output, REQUEST_ID_FIELD, request.client_request_id);
    write::field(output, TIME_LEFT_FIELD, "");
    let time_left_offset = output.len() - LINE_END.len();
    if let Some(key) = request.idempotency_key {
        write::field(output, IDEMPOTENCY_KEY_FIELD, key);
    }
    if request.method == "GET" && request.body.is_empty() {
        write::end_of_head(output);
    } else {
        write::body(output, request.body);
    }
    time_left_offset
}

/// Inserts the client's remaining time, in whole milliseconds, into a request.
pub(super) fn insert_time_left(output: &mut Vec<u8>, offset: usize, time_left: TimeDelta) {
    let text = (time_left.0.max(0) / MICROS_PER_MILLISECOND).to_string();
    output.splice(offset..offset, text.into_bytes());
}

/// The outcome of an attempt whose response has this head.
pub(super) fn outcome_of(head: &ResponseHead<'_>) -> AttemptOutcome {
    let is_rejected = || head.fields.single(REJECTED_FIELD).ok().flatten() == Some("1");
    match head.status {
        200 => AttemptOutcome::Succeeded,
        503 | 504 if is_rejected() => AttemptOutcome::Rejected,
        _ => AttemptOutcome::ServerError,
    }
}
