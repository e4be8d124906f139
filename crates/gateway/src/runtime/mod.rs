//! The event loop of a gateway: shared state, socket and timer handlers, startup, reload and shutdown.

pub(crate) mod buffer_use;
pub(crate) mod context;
pub(crate) mod error;
pub(crate) mod event_loop;
pub(crate) mod gateway;
mod maintenance;
mod reload;
mod reporting;
pub(crate) mod shutdown;
pub(crate) mod socket_handlers;
pub(crate) mod startup;
pub(crate) mod timer;
