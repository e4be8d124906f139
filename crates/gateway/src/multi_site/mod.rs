//! Requests that are forwarded between two sites.

pub mod control_socket;
pub mod forwarding;
