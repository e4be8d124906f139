//! The configuration of one gateway's decisions.

use std::net::SocketAddr;

use harrierdock_site_messages::GatewayName;
use harrierdock_types::{RetrySafety, TimeDelta};

/// The time between two heartbeats on a path, and between two evaluations of paths, credit and failover.
pub const HEARTBEAT_INTERVAL: TimeDelta = TimeDelta(100_000);

/// A request class as both sites know it.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The class name, the same at both sites.
    pub name: String,
    /// Whether a request of this class may run twice.
    pub retry_safety: RetrySafety,
    /// A response that takes longer counts as late.
    pub latency_objective: TimeDelta,
    /// The longest time that a client waits for a response.
    pub timeout: TimeDelta,
    /// The value of a request answered in time, relative to other classes. Scarce credit goes to the highest weight first.
    pub priority_weight: f64,
    /// Whether a deduplication group of this class has endpoints at both sites.
    pub deduplicates_across_sites: bool,
}

/// The configuration of one gateway that forwards between two sites.
#[derive(Clone, Debug, PartialEq)]
pub struct MultiSiteConfig {
    /// This gateway's site and name.
    pub own_name: GatewayName,
    /// The address at which the other site's gateways reach this gateway; `None` to announce none.
    pub address: Option<SocketAddr>,
    /// The number of this start, higher than that of every earlier start.
    pub incarnation: u64,
    /// The other site's name, as in its gateways' certificates.
    pub other_site: String,
    /// The gateways of the other site that are configured, with their addresses.
    pub seeds: Vec<(GatewayName, SocketAddr)>,
    /// The request classes, in the order of their [`harrierdock_types::ClassId`].
    pub classes: Vec<RequestClass>,
    /// How long an endpoint warms up; traffic takes as long to return to this site.
    pub slow_start_window: TimeDelta,
    /// The tick of the event loop, which is the resolution of its timers.
    pub tick: TimeDelta,
    /// When a rejected client should retry; `None` sends no `Retry-After`.
    pub retry_after: Option<TimeDelta>,
    /// The limit on the total bytes of stored response bodies.
    pub stored_response_bytes: usize,
    /// The seed of the random number generators.
    pub seed: u64,
}
