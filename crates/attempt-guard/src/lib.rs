//! Decisions at the edge of the network, without I/O: whether an attempt may still be written, which idle connection may carry
//! it, how long an unconfirmed endpoint list may be acted on, how long to wait before a failed call is made again, and until when
//! a gateway that shuts down answers requests.
//!
//! Time passes between the decision to make an attempt and its first byte, because a connection has to come up. The attempt
//! therefore carries its precondition, which is checked again right before the write.

#![warn(missing_docs, unreachable_pub)]

mod backoff;
mod connection_reuse;
mod list_freshness;
mod precondition;
mod shutdown_schedule;

pub use backoff::Backoff;
pub use connection_reuse::{IdleState, ReusePolicy};
pub use list_freshness::{ListFreshness, NOTIFICATION_DEADLINE};
pub use precondition::{CurrentState, ListedEndpoint, Precondition, Violation};
pub use shutdown_schedule::ShutdownSchedule;
