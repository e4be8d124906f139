//! Decisions about a second site, without I/O: which requests are forwarded to it, what becomes of them, which of its requests
//! are served here, and which of its gateways are there.
//!
//! [`MultiSite`] is one gateway's part. [`MultiSite::handle`] takes one event with the time and returns the actions to carry out,
//! in order. It has no clock; its randomness comes from the configured seed.

#![warn(missing_docs, unreachable_pub)]

mod action;
mod config;
mod event;
mod failover;
mod membership;
mod multi_site;
mod offered_capacity;
mod path_selection;
mod requests;

pub use action::{Action, Change, MoveReason, TrafficLocation};
pub use config::{MultiSiteConfig, RequestClass, HEARTBEAT_INTERVAL};
pub use event::{Event, InboundId, OperatorCommand, RequestEnd};
pub use harrierdock_site_messages::PathId;
pub use membership::{IntervalOutput, Membership, MembershipAction, Path, PathHeartbeat};
pub use multi_site::status;
pub use multi_site::{MultiSite, OpenRequests};
pub use status::{Counters, MemberStatus, Status};
