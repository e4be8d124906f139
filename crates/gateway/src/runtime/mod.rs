//! The event loop of a gateway: what its parts share, what sockets and timers call, how it starts, reloads and ends.

pub mod context;
pub mod error;
pub mod event_loop;
pub mod gateway;
mod maintenance;
mod reload;
mod reporting;
pub mod shutdown;
pub mod socket_handlers;
mod startup;
pub mod timer;
