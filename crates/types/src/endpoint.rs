//! Endpoints as discovery lists them.

use crate::{BuildId, EndpointId, GossipId, TimeDelta, ZoneId};

/// Whether an endpoint takes requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// It takes requests, though it may still be warming up.
    #[default]
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is no longer there.
    Removed,
}

/// An endpoint as discovery lists it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointRecord {
    /// This gateway's number for it.
    pub endpoint: EndpointId,
    /// The build that it runs.
    pub build: BuildId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell; endpoints of one zone and cell share what they remember of idempotency keys.
    pub cell: u64,
    /// Its machine model, by a number of this gateway's own.
    pub model: usize,
    /// Its relative capacity, as discovery states it. Selection learns capacity from answer times and does not read it.
    pub weight: f64,
    /// Whether it takes requests.
    pub lifecycle: Lifecycle,
    /// Time since it started; `None` if it started so long ago that nobody says when.
    pub age: Option<TimeDelta>,
    /// The number that all gateways know it by.
    pub gossip_id: GossipId,
}

/// What a list of endpoints is a list of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// Endpoints that have changed; the others stay as they were.
    Delta,
    /// All endpoints there are.
    Snapshot,
    /// All endpoints there were when the gateway last ran; may be outdated.
    Cached,
    /// Nothing: the call to discovery failed.
    Failed,
}
