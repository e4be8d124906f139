//! The event loop of a gateway: what its parts share, what sockets and timers call, how it starts, reloads and ends.

pub(crate) mod context;
pub(crate) mod error;
pub(crate) mod event_loop;
pub(crate) mod gateway;
mod maintenance;
mod reload;
mod reporting;
pub(crate) mod shutdown;
pub(crate) mod socket_handlers;
mod startup;
pub(crate) mod timer;

#[cfg(test)]
#[path = "../../tests/unit/attempt_deadlines.rs"]
mod attempt_deadlines;
#[cfg(test)]
#[path = "../../tests/unit/gateway_fixture.rs"]
mod gateway_fixture;
#[cfg(test)]
#[path = "../../tests/unit/scripted_clock.rs"]
mod scripted_clock;
#[cfg(test)]
#[path = "../../tests/unit/stated_time.rs"]
mod stated_time;
