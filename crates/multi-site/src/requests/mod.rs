//! Ownership of requests between the sites: forwarded requests that await a response, and inbound requests that run here.

mod forgotten;
mod inbound;
mod outbound;

pub(crate) use inbound::{InboundCompletion, InboundKey, InboundRequests, InboundState};
pub(crate) use outbound::{OutboundRequest, OutboundRequests};
