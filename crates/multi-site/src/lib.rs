//! Decisions about forwarding between two sites, without I/O. They determine which requests go to the other site and how they
//! end, which of the other site's requests are served here, and which of its gateways are available.
//!
//! [`MultiSite`] makes the decisions of one gateway. [`MultiSite::handle`] takes an event and the current time, and returns
//! the actions to carry out in order. It reads no clock and draws random numbers only from the configured seed.

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
