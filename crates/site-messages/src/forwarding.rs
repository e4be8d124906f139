//! Forwarded requests and their responses.

use serde::{Deserialize, Serialize};

/// A request that is forwarded to the other site, with its HTTP fields as the client sent them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// The sender's id for the request, never reused within an incarnation.
    pub forwarding_id: u64,
    /// The incarnation of the gateway that forwards the request.
    pub sender_incarnation: u64,
    /// The receiver's incarnation as known to the sender. A receiver with another incarnation does not run the request.
    pub receiver_incarnation: u64,
    /// The sequence number of the sender's newest heartbeat, from which the receiver bounds the request's age.
    pub heartbeat_sequence: u32,
    /// The name of the request class, the same at both sites.
    pub class: String,
    /// The time until a response is too late, in milliseconds.
    pub remaining_ms: u32,
    /// Whether the client has sent this request before.
    pub is_client_retry: bool,
    /// The affinity key, if the client sent one.
    pub affinity_key: Option<u64>,
    /// The oldest build that may answer; 0 for any.
    pub minimum_build: u32,
    /// The HTTP method, such as `POST`.
    pub method: String,
    /// The HTTP request target with its query.
    pub target: String,
    /// The client's identifier of the request.
    pub request_id: String,
    /// The idempotency key, if the client sent one.
    pub idempotency_key: Option<String>,
    /// The HTTP request body.
    pub body: Vec<u8>,
}

/// The outcome of a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardingOutcome {
    /// An endpoint answered the request.
    Succeeded,
    /// The request was rejected. A retry is safe at endpoints that deduplicate it.
    Rejected {
        /// Whether the request may have taken effect despite the rejection.
        may_have_run: bool,
    },
    /// The request failed; whether it took effect is unknown.
    Failed,
    /// The receiver did not accept the request, which has not run and never will.
    NotAccepted,
    /// The request may have run, but the receiver no longer has its outcome.
    Unknown,
}

/// The response to a forwarded request or to a status query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardingResponse {
    /// The forwarding gateway's id for the request.
    pub forwarding_id: u64,
    /// The incarnation of the gateway that forwarded the request.
    pub sender_incarnation: u64,
    /// The outcome of the request at the receiver.
    pub outcome: ForwardingOutcome,
    /// The build of the endpoint that answered, if one did.
    pub build: Option<u32>,
    /// The HTTP response body, empty without a response.
    pub body: Vec<u8>,
}
