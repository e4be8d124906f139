//! What happens next.

use harrierdock_site_messages::{GatewayName, SiteMessage};
use harrierdock_types::{RequestId, TimeDelta};

#[derive(Clone, Copy, PartialEq)]
pub(super) enum RequestSource {
    Client(RequestId),
    Inbound(u64),
}

pub(super) enum SimulatedEvent {
    RequestArrived {
        gateway: usize,
    },
    MessageArrived {
        to: usize,
        path: u64,
        message: Box<SiteMessage>,
    },
    PathOpened {
        from: usize,
        to: usize,
        path: u64,
    },
    ConnectFailed {
        gateway: usize,
        peer: GatewayName,
    },
    PathClosed {
        gateway: usize,
        path: u64,
        orderly: bool,
    },
    AttemptStarted {
        gateway: usize,
        incarnation: u32,
        source: RequestSource,
        request: u64,
        class: usize,
        left: TimeDelta,
    },
    AttemptFinished {
        gateway: usize,
        incarnation: u32,
        source: RequestSource,
        class: usize,
        has_succeeded: bool,
    },
    TimerFired {
        gateway: usize,
        incarnation: u32,
    },
    GatewayStarted {
        gateway: usize,
    },
    InjectFault,
}
