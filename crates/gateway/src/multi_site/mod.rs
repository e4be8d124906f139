//! The other site: the transport to its gateways, the requests forwarded between the sites, and the operators' control socket.

pub mod control_socket;
pub mod forwarding;
mod inbound;
pub mod log;
