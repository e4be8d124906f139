//! Decisions around network calls, without I/O: whether an attempt may still be written, which idle connection may carry it, how
//! long an unconfirmed endpoint list stays usable, how long to back off after a failed call, when a message that arrives in pieces
//! has stalled, which requests are copies of others, and the schedule of a graceful shutdown.
//!
//! Establishing a connection takes time between the decision to make an attempt and its first byte. The attempt therefore carries
//! a precondition, which is checked again right before the write.

#![warn(missing_docs, unreachable_pub)]

mod backoff;
mod connection_reuse;
mod list_freshness;
mod precondition;
mod request_ids;
mod shutdown_schedule;
mod transfer_timeouts;

pub use backoff::Backoff;
pub use connection_reuse::{IdleState, ReusePolicy};
pub use list_freshness::{ListFreshness, NOTIFICATION_DEADLINE};
pub use precondition::{CurrentState, ListedEndpoint, Precondition, Violation};
pub use request_ids::{IdRelease, RequestIdHash, RequestIds};
pub use shutdown_schedule::ShutdownSchedule;
pub use transfer_timeouts::{Transfer, TransferTimeouts};
