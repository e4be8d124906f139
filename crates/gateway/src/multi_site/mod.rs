//! The connection to the other site: the transport, the forwarded requests, and the operators' control socket.

pub(crate) mod control_socket;
pub(crate) mod forwarding;
mod inbound;
pub(crate) mod log;
