//! What the decisions ask for.

use std::net::SocketAddr;

use harrierdock_site_messages::{ForwardedRequest, GatewayName, MemberState, PathId, SiteMessage};
use harrierdock_types::{AffinityKey, BuildId, ClassId, RequestId, TimeDelta};

use crate::InboundId;

/// One action to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Give a client's request to the local policy.
    ServeLocally {
        /// The request.
        id: RequestId,
        /// The time until its deadline.
        remaining: TimeDelta,
    },
    /// Forward a client's request.
    Forward {
        /// The request.
        id: RequestId,
        /// The path to send it on.
        path: PathId,
        /// The number under which it is forwarded.
        forwarding_id: u64,
        /// The incarnation of the receiver that it is meant for.
        receiver_incarnation: u64,
        /// The newest heartbeat sent so far.
        heartbeat_sequence: u32,
        /// The time that the receiver has for it.
        remaining: TimeDelta,
    },
    /// Answer a client's request with what the other site answered.
    Succeed {
        /// The request.
        id: RequestId,
        /// The answer's body.
        body: Vec<u8>,
        /// The build that answered it.
        build: Option<BuildId>,
    },
    /// Reject a client's request.
    Reject {
        /// The request.
        id: RequestId,
        /// What the client is asked to wait.
        retry_after: Option<TimeDelta>,
    },
    /// Fail a client's request, whose effect is unknown.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Give an inbound request to the local policy.
    ServeInbound {
        /// The inbound request.
        inbound: InboundId,
        /// Its class.
        class: ClassId,
        /// Its affinity key.
        key: Option<AffinityKey>,
        /// The time until its deadline.
        remaining: TimeDelta,
        /// The request as it was forwarded.
        request: ForwardedRequest,
    },
    /// Treat an inbound request as one whose client went away.
    AbandonInbound {
        /// The inbound request.
        inbound: InboundId,
    },
    /// Open a path.
    Connect {
        /// The gateway at its other end.
        peer: GatewayName,
        /// Where it is reached.
        address: SocketAddr,
    },
    /// Close a path.
    ClosePath {
        /// The path.
        path: PathId,
    },
    /// Send a message.
    Send {
        /// The path to send it on.
        path: PathId,
        /// The message.
        message: SiteMessage,
    },
    /// Report a change to operators.
    StatusChanged(Change),
    /// Send [`crate::Event::TimerFired`] after this time, in place of any timer asked for before.
    SetTimer {
        /// The time from now.
        after: TimeDelta,
    },
}

/// A change to report to operators.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A gateway was heard of for the first time.
    Joined {
        /// The gateway.
        gateway: GatewayName,
    },
    /// A gateway's state has changed.
    Member {
        /// The gateway.
        gateway: GatewayName,
        /// Its state now.
        state: MemberState,
        /// It was suspected or lost before.
        returned: bool,
        /// It has started anew.
        restarted: bool,
    },
    /// This gateway's traffic goes elsewhere.
    TrafficMoved {
        /// Where it goes now.
        location: TrafficLocation,
        /// Why.
        reason: MoveReason,
    },
    /// Responses matched no forwarded request.
    UnmatchedResponses {
        /// How many since the last such report.
        count: u64,
    },
}

/// Where this gateway's traffic goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficLocation {
    /// To the local site's endpoints.
    Local,
    /// To the other site.
    FailedOver,
    /// Back to the local site, a growing share of it.
    Returning,
}

/// Why traffic was moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveReason {
    /// An operator has commanded it.
    OperatorCommand,
    /// No local endpoint is ready.
    NoReadyEndpoint,
    /// Local requests ended one after another and none succeeded.
    NothingSucceeds,
    /// Local requests succeed.
    RequestsSucceed,
    /// The return of traffic is complete.
    SlowStartOver,
}
