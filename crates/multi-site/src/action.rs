//! The actions that [`crate::MultiSite::handle`] returns to its caller.

use std::net::SocketAddr;

use harrierdock_site_messages::{ForwardedRequest, GatewayName, MemberState, PathId, SiteMessage};
use harrierdock_types::{AffinityKey, BuildId, ClassId, RequestId, TimeDelta};

use crate::InboundId;

/// One action to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Pass a client's request to the local policy.
    ServeLocally {
        /// The client's request.
        id: RequestId,
        /// The time until the request's deadline.
        remaining: TimeDelta,
    },
    /// Forward a client's request.
    Forward {
        /// The client's request.
        id: RequestId,
        /// The path to forward the request on.
        path: PathId,
        /// This gateway's id for the forwarded request.
        forwarding_id: u64,
        /// The receiver's incarnation. A receiver that now has another incarnation refuses the request.
        receiver_incarnation: u64,
        /// The sequence number of the newest heartbeat sent before the request.
        heartbeat_sequence: u32,
        /// The time within which the receiver must answer.
        remaining: TimeDelta,
    },
    /// Answer a client's request with the other site's response.
    Succeed {
        /// The client's request.
        id: RequestId,
        /// The body of the response.
        body: Vec<u8>,
        /// The build of the endpoint that answered, if known.
        build: Option<BuildId>,
    },
    /// Reject a client's request.
    Reject {
        /// The client's request.
        id: RequestId,
        /// When the client should retry; `None` to send no `Retry-After`.
        retry_after: Option<TimeDelta>,
    },
    /// Fail a client's request: whether it took effect is unknown.
    Fail {
        /// The client's request.
        id: RequestId,
    },
    /// Pass an inbound request to the local policy.
    ServeInbound {
        /// This gateway's id for the inbound request.
        inbound: InboundId,
        /// The request class, by this gateway's ids.
        class: ClassId,
        /// The affinity key; `None` if the client sent none.
        key: Option<AffinityKey>,
        /// The time until the request's deadline.
        remaining: TimeDelta,
        /// The message that forwarded the request.
        request: ForwardedRequest,
    },
    /// Abandon an inbound request, as if its client had disconnected.
    AbandonInbound {
        /// The id from [`Action::ServeInbound`].
        inbound: InboundId,
    },
    /// Open a path to a gateway of the other site.
    Connect {
        /// The gateway to connect to.
        peer: GatewayName,
        /// The address to connect to.
        address: SocketAddr,
    },
    /// Close a path that is no longer used.
    ClosePath {
        /// The path to close.
        path: PathId,
    },
    /// Send a message to the gateway at the other end of a path.
    Send {
        /// The path to send the message on.
        path: PathId,
        /// The message to encode and send.
        message: SiteMessage,
    },
    /// Log a change for operators.
    StatusChanged(Change),
    /// Send [`crate::Event::TimerFired`] after this time. Replaces the timer that is set.
    SetTimer {
        /// The time from the handled event to the timer.
        after: TimeDelta,
    },
}

/// A change to report to operators.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A membership record named a gateway for the first time.
    Joined {
        /// The new gateway.
        gateway: GatewayName,
    },
    /// A gateway changed its state or restarted.
    Member {
        /// The gateway whose record changed.
        gateway: GatewayName,
        /// The gateway's new state.
        state: MemberState,
        /// Whether the gateway's former state was suspected or lost.
        returned: bool,
        /// Whether the gateway's incarnation has changed.
        restarted: bool,
    },
    /// This gateway's traffic was moved between the sites.
    TrafficMoved {
        /// Where the traffic goes now.
        location: TrafficLocation,
        /// Why the traffic was moved.
        reason: MoveReason,
    },
    /// Responses arrived that matched no open forwarded request.
    UnmatchedResponses {
        /// The number of such responses since the last report.
        count: u64,
    },
}

/// Where this gateway sends its clients' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficLocation {
    /// To the local site's endpoints.
    Local,
    /// To the other site, except for probes of the local one.
    FailedOver,
    /// To both sites: the local site's share grows until the slow start is over.
    Returning,
}

/// Why traffic was moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveReason {
    /// An operator drained or resumed this site.
    OperatorCommand,
    /// No local endpoint is ready.
    NoReadyEndpoint,
    /// The latest local requests all failed or were rejected.
    NothingSucceeds,
    /// Probes of the local site succeed again.
    RequestsSucceed,
    /// All traffic has returned to the local site.
    SlowStartOver,
}
