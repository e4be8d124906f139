//! The other site: the transport to its gateways, the requests forwarded between the sites, and the operators' control socket.

pub(crate) mod control_socket;
pub(crate) mod forwarding;
mod inbound;
pub(crate) mod log;
