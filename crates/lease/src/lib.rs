//! Leases, each held by at most one gateway of a fleet at a time. A majority of a few electors grants a lease; all state is in memory.
//!
//! [`LeaseManager`] takes events and returns actions, in order. It does no I/O, reads no clock, and seeds its random numbers from a
//! parameter. Before each operation, the holder calls [`LeaseManager::may_act`] with the current time and sends the returned epoch
//! along with the operation. The receiver checks that epoch with a [`FencingGuard`]. See `docs/design/fleet.md`.

#![warn(missing_docs, unreachable_pub)]

mod candidate;
pub mod codec;
mod configuration;
pub mod elector;
mod error;
mod event;
mod fencing;
mod known_leases;
mod lease_name;
mod lease_state;
mod manager;
mod message;
mod message_handling;
mod quorum;
mod replies;
mod retry_delay;

pub use codec::DecodeError;
pub use configuration::{name_hash, Electorate, LeaseParameters, LeaseSettings};
pub use error::ConfigurationError;
pub use event::{Action, Event, KnownHolder, LeaseCounters, LossReason};
pub use fencing::{FencingError, FencingGuard};
pub use lease_name::LeaseName;
pub use manager::{ElectorateStatus, LeaseManager};
pub use message::{Epoch, LeaseRecord, Message, MessageBody, ProposalId};
