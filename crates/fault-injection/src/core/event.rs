//! The events of the simulation.

use harrierdock_multi_site::{InboundId, PathId};
use harrierdock_site_messages::{GatewayName, SiteMessage};
use harrierdock_types::{ClassId, RequestId, TimeDelta};

/// The sender of a request to a gateway.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum RequestSource {
    /// A client of the gateway's site.
    Client,
    /// A gateway of the other site.
    OtherSite(InboundId),
}

/// An attempt at an endpoint. It is dropped if its gateway has restarted since, with another incarnation.
#[derive(Clone, Copy, PartialEq)]
pub(super) struct Attempt {
    pub(super) gateway: usize,
    pub(super) incarnation: u32,
    pub(super) source: RequestSource,
    pub(super) request: RequestId,
    pub(super) class: ClassId,
    /// The time until the deadline.
    pub(super) remaining: TimeDelta,
}

/// An event in simulated time. Gateways are identified by their indices.
pub(super) enum SimulatedEvent {
    RequestArrived {
        gateway: usize,
    },
    MessageArrived {
        to: usize,
        path: PathId,
        message: Box<SiteMessage>,
    },
    PathOpened {
        from: usize,
        to: usize,
        path: PathId,
    },
    ConnectFailed {
        gateway: usize,
        peer: GatewayName,
    },
    PathClosed {
        gateway: usize,
        path: PathId,
        orderly: bool,
    },
    AttemptStarted(Attempt),
    AttemptFinished {
        attempt: Attempt,
        has_succeeded: bool,
    },
    TimerFired {
        gateway: usize,
        incarnation: u32,
    },
    GatewayStarted {
        gateway: usize,
    },
    FaultTimerFired,
}
