//! Ownership of requests between the sites: which forwarded requests await a response, and which inbound requests owe one.

mod inbound;
mod outbound;

pub(crate) use inbound::{InboundCompletion, InboundKey, InboundRequests, InboundState};
pub(crate) use outbound::{OutboundRequest, OutboundRequests};
