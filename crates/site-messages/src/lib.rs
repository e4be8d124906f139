//! The messages that gateways of two sites exchange, and their encoding (postcard, version 1 of its wire format). This crate
//! holds only data types: it opens no sockets and makes no decisions.

#![warn(missing_docs, unreachable_pub)]

mod codec;
mod forwarding;
mod heartbeat;
mod path;

pub use codec::{decode, encode, DecodeError, EncodeError, SiteMessage, MAX_MESSAGE_BYTES};
pub use forwarding::{ForwardedRequest, ForwardingOutcome, ForwardingResponse};
pub use heartbeat::{GatewayName, Heartbeat, MemberRecord, MemberState};
pub use path::PathId;
