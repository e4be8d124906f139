//! Forwarded requests and what becomes of them.

use serde::{Deserialize, Serialize};

/// A request that is forwarded to the other site, as its client wrote it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// The sender's number for it, never used twice in an incarnation.
    pub forwarding_id: u64,
    /// The incarnation of the sender.
    pub sender_incarnation: u64,
    /// The incarnation of the receiver that it is meant for.
    pub receiver_incarnation: u64,
    /// The newest heartbeat that the sender had sent by then.
    pub heartbeat_sequence: u32,
    /// The request class.
    pub class: String,
    /// How long an answer is of use, in milliseconds.
    pub remaining_ms: u32,
    /// The client has sent this request before.
    pub is_client_retry: bool,
    /// The affinity key.
    pub affinity_key: Option<u64>,
    /// No build below this one may answer; 0 for any.
    pub minimum_build: u32,
    /// The HTTP method.
    pub method: String,
    /// The HTTP request target.
    pub target: String,
    /// The client's identifier of the request.
    pub request_id: String,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
    /// The HTTP body.
    pub body: Vec<u8>,
}

/// What became of a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardingOutcome {
    /// It was answered.
    Succeeded,
    /// It was turned away. A retry is harmless among the endpoints that deduplicate it.
    Rejected {
        /// It may have had its effect all the same.
        may_have_run: bool,
    },
    /// It ended with unknown effect.
    Failed,
    /// The receiver never accepted it: it has not run and will not.
    NotAccepted,
    /// It may have run, and nothing more will be known.
    Unknown,
}

/// The answer to a forwarded request, or to a query about it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardingResponse {
    /// The number of the forwarded request.
    pub forwarding_id: u64,
    /// The incarnation that forwarded it.
    pub sender_incarnation: u64,
    /// What became of it.
    pub outcome: ForwardingOutcome,
    /// The build that answered it.
    pub build: Option<u32>,
    /// The answer's body.
    pub body: Vec<u8>,
}
