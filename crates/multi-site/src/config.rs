//! What a gateway is configured with.

use std::net::SocketAddr;

use harrierdock_site_messages::GatewayName;
use harrierdock_types::{RetrySafety, TimeDelta};

/// The time between two heartbeats on a path, and between two evaluations of paths, credit and failover.
pub const HEARTBEAT_INTERVAL: TimeDelta = TimeDelta(100_000);

/// One request class.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Its name, the same at both sites.
    pub name: String,
    /// Whether a request of it may run twice.
    pub retry_safety: RetrySafety,
    /// An answer within it counts as in time.
    pub latency_objective: TimeDelta,
    /// The longest time that a client waits.
    pub timeout: TimeDelta,
    /// What a request answered in time is worth against those of other classes.
    pub priority_weight: f64,
    /// Its deduplication group has endpoints at both sites.
    pub deduplicates_across_sites: bool,
}

/// The configuration of one gateway between two sites.
#[derive(Clone, Debug, PartialEq)]
pub struct MultiSiteConfig {
    /// This gateway.
    pub own_name: GatewayName,
    /// Where the other site's gateways reach it.
    pub address: Option<SocketAddr>,
    /// This start's number, above those of all earlier starts.
    pub incarnation: u64,
    /// The other site's name.
    pub other_site: String,
    /// Gateways of the other site that are known from the start.
    pub seeds: Vec<(GatewayName, SocketAddr)>,
    /// The request classes, in the order of their [`harrierdock_types::ClassId`].
    pub classes: Vec<RequestClass>,
    /// How long an endpoint warms up.
    pub slow_start_window: TimeDelta,
    /// The tick of the event loop: no timer is more exact.
    pub tick: TimeDelta,
    /// What a rejected client is asked to wait.
    pub retry_after: Option<TimeDelta>,
    /// The most bytes that stored responses may take.
    pub stored_response_bytes: usize,
    /// The seed of all random draws.
    pub seed: u64,
}
