//! Endpoints as discovery lists them.

use crate::{BuildId, EndpointId, GossipId, TimeDelta, ZoneId};

/// Whether an endpoint accepts requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// Accepts requests, possibly while still warming up.
    #[default]
    Ready,
    /// Finishes the requests in flight and accepts no new ones.
    Draining,
    /// No longer exists.
    Removed,
}

/// An endpoint as discovery lists it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointRecord {
    /// The identifier that this gateway assigned to the endpoint.
    pub endpoint: EndpointId,
    /// The build that the endpoint runs.
    pub build: BuildId,
    /// The zone that the endpoint runs in.
    pub zone: ZoneId,
    /// The cell within the zone. Endpoints of the same zone and cell share their store of idempotency keys.
    pub cell: u64,
    /// The machine model, by the number that this gateway assigned to it.
    pub model: usize,
    /// Relative capacity, as stated by discovery. Endpoint selection ignores it and learns capacity from response times.
    pub weight: f64,
    /// Whether the endpoint accepts requests.
    pub lifecycle: Lifecycle,
    /// Time since the endpoint started; `None` if discovery states no start time, which means a long time ago.
    pub age: Option<TimeDelta>,
    /// The identifier that all gateways of the fleet share for the endpoint.
    pub gossip_id: GossipId,
}

/// Which endpoints a list from discovery covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// The endpoints that have changed; all others stay as they were.
    Delta,
    /// All current endpoints.
    Snapshot,
    /// The endpoints known when the gateway last ran; may be outdated.
    Cached,
    /// No endpoints: the call to discovery failed.
    Failed,
}
