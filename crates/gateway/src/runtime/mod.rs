//! The event loop: what the parts share, what timers do, how the gateway starts, reloads and ends.

pub mod context;
pub mod gateway;
pub mod timer;
