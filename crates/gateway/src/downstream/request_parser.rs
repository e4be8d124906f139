//! Parses request heads of clients. The client protocol fixes the paths, header fields and parameters, which are defined here.

use harrierdock_config::ClassNames;
use harrierdock_http::RequestHead;
use harrierdock_types::{AffinityKey, ClassId, TimeDelta};

use crate::runtime::context::OutboundRequest;

/// A longer request id makes the request invalid.
const MAX_ID_BYTES: usize = 64;

const READY_PATH: &str = "/ready";
const REQUEST_PATH: &str = "/api";
const REQUEST_METHODS: [&str; 2] = ["GET", "POST"];
const KEY_PARAMETER: &str = "obj";
const REQUEST_ID_FIELD: &str = "X-Txn";
const CLASS_FIELD: &str = "X-Lane";
const TIME_LEFT_FIELD: &str = "X-Remaining-Ms";
const CLIENT_RETRY_FIELD: &str = "X-Resent";
const IDEMPOTENCY_KEY_FIELD: &str = "Idempotency-Key";

/// Length of an affinity key that is parsed as a hexadecimal number rather than hashed.
const KEY_DIGITS: usize = 16;

/// A parsed request head.
pub(super) enum ParsedRequest<'head> {
    /// A check whether the gateway is ready for requests.
    ReadinessCheck,
    /// A request for an endpoint.
    Request(RequestAttributes<'head>),
    /// The path is unknown.
    NotFound,
    /// The path doesn't support the request's method.
    MethodNotAllowed {
        /// The supported methods, separated by commas.
        methods: String,
    },
    /// A field is missing or malformed.
    InvalidField {
        /// The field name, as on the wire.
        field: &'static str,
    },
}

/// Attributes of a request for an endpoint, from its head.
pub(super) struct RequestAttributes<'head> {
    /// Request id that the client assigned.
    pub(super) client_request_id: &'head str,
    /// Request class that the client named.
    pub(super) class: ClassId,
    /// Affinity key; `None` if the request has none.
    pub(super) key: Option<AffinityKey>,
    /// Whether the client marked the request as a retry.
    pub(super) is_client_retry: bool,
    /// Remaining time that the client states it will wait.
    pub(super) time_left: TimeDelta,
}

impl<'head> ParsedRequest<'head> {
    /// Classifies a request head by its path and method, and reads the attributes of a request for an endpoint.
    pub(super) fn from_head(
        head: &RequestHead<'head>,
        classes: &ClassNames,
    ) -> ParsedRequest<'head> {
        match head.path() {
            READY_PATH => ParsedRequest::ReadinessCheck,
            REQUEST_PATH if !REQUEST_METHODS.contains(&head.method) => {
                ParsedRequest::MethodNotAllowed {
                    methods: REQUEST_METHODS.join(", "),
                }
            }
            REQUEST_PATH => match read_attributes(head, classes) {
                Ok(attributes) => ParsedRequest::Request(attributes),
                Err(field) => ParsedRequest::InvalidField { field },
            },
            _ => ParsedRequest::NotFound,
        }
    }
}

/// Reads the attributes of a request. The error is the name of a field that is missing or malformed.
fn read_attributes<'head>(
    head: &RequestHead<'head>,
    classes: &ClassNames,
) -> Result<RequestAttributes<'head>, &'static str> {
    let single = |name| head.fields.single(name).ok().flatten();
    let client_request_id = single(REQUEST_ID_FIELD)
        .filter(|id| is_valid_id(id))
        .ok_or(REQUEST_ID_FIELD)?;
    head.fields
        .single(IDEMPOTENCY_KEY_FIELD)
        .map_err(|_| IDEMPOTENCY_KEY_FIELD)?;
    let time_left_ms: u32 = single(TIME_LEFT_FIELD)
        .filter(|digits| digits.bytes().all(|b| b.is_ascii_digit()))
        .and_then(|digits| digits.parse().ok())
        .ok_or(TIME_LEFT_FIELD)?;
    let class = single(CLASS_FIELD)
        .and_then(|name| classes.id(name))
        .ok_or(CLASS_FIELD)?;
    Ok(RequestAttributes {
        client_request_id,
        class,
        key: head.query_parameter(KEY_PARAMETER).map(affinity_key),
        is_client_retry: single(CLIENT_RETRY_FIELD) == Some("1"),
        time_left: TimeDelta::from_millis(i64::from(time_left_ms)),
    })
}

/// Parses a key of 16 hexadecimal digits as a number, and hashes any other text.
fn affinity_key(text: &str) -> AffinityKey {
    let number = (text.len() == KEY_DIGITS)
        .then(|| u64::from_str_radix(text, 16).ok())
        .flatten();
    AffinityKey(number.unwrap_or_else(|| harrierdock_config::fnv1a(text)))
}

fn is_valid_id(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_ID_BYTES && text.bytes().all(|b| b.is_ascii_graphic())
}

/// The parts of a request that are sent to an endpoint. `None` if the request has no id.
pub(super) fn outbound_request<'bytes>(
    head: &RequestHead<'bytes>,
    body: &'bytes [u8],
) -> Option<OutboundRequest<'bytes>> {
    Some(OutboundRequest {
        method: head.method,
        target: head.target,
        client_request_id: head.fields.single(REQUEST_ID_FIELD).ok().flatten()?,
        idempotency_key: head.fields.single(IDEMPOTENCY_KEY_FIELD).ok().flatten(),
        body,
    })
}
