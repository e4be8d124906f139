//! The events that [`crate::MultiSite::handle`] takes.

use harrierdock_site_messages::{ForwardingOutcome, GatewayName, PathId, SiteMessage};
use harrierdock_types::{BuildId, ClassId, RequestId, TimeDelta};

/// This gateway's id for an inbound request, never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InboundId(pub u64);

/// A command from an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Forward all requests, and accept none from the other site.
    Drain,
    /// End the drain, so that local endpoints serve requests again.
    Resume,
}

/// How a request that the local policy handled has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// An endpoint answered the request.
    Succeeded,
    /// The request was rejected without having run.
    Rejected,
    /// The request failed, or was rejected although it may have run.
    Failed,
    /// The client disconnected before the request was answered.
    ClientDisconnected,
}

/// An event that may change a decision.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client's request was received.
    RequestReceived {
        /// This gateway's id for the request.
        id: RequestId,
        /// The request class that the client named.
        class: ClassId,
        /// The time until the request's deadline.
        remaining: TimeDelta,
    },
    /// The local policy is about to reject a client's request that has not run.
    LocallyRejected {
        /// The request from [`Event::RequestReceived`].
        id: RequestId,
        /// The request class that the client named.
        class: ClassId,
        /// The time until the request's deadline.
        remaining: TimeDelta,
        /// The time between the request's receipt and its deadline.
        timeout: TimeDelta,
    },
    /// The client of a request disconnected.
    ClientDisconnected {
        /// The request from [`Event::RequestReceived`].
        id: RequestId,
    },
    /// The local policy has finished a client's or an inbound request.
    RequestEnded {
        /// The class of the request that ended.
        class: ClassId,
        /// Whether the request succeeded, was rejected or failed, or lost its client.
        end: RequestEnd,
        /// The time from the request's receipt to its end.
        elapsed: TimeDelta,
    },
    /// The local policy has completed an inbound request.
    InboundCompleted {
        /// The id from [`crate::Action::ServeInbound`].
        inbound: InboundId,
        /// The outcome to report to the other site.
        outcome: ForwardingOutcome,
        /// The build of the endpoint that answered, if one did.
        build: Option<BuildId>,
        /// The response body, empty without a response.
        body: Vec<u8>,
    },
    /// The endpoint list has changed.
    EndpointsUpdated {
        /// The number of ready endpoints at the local site.
        ready: usize,
    },
    /// Either end opened a path.
    PathOpened {
        /// The id of the new path.
        path: PathId,
        /// The gateway at the path's other end.
        peer: GatewayName,
    },
    /// A path was closed or its connection was lost.
    PathClosed {
        /// The id of the closed path.
        path: PathId,
        /// Whether the other end announced the close.
        orderly: bool,
    },
    /// The connect requested by [`crate::Action::Connect`] failed.
    ConnectFailed {
        /// The gateway that could not be reached.
        peer: GatewayName,
    },
    /// A message arrived from the other site.
    MessageReceived {
        /// The path on which the message arrived.
        path: PathId,
        /// The decoded message.
        message: SiteMessage,
    },
    /// An operator gave a command.
    OperatorCommand(OperatorCommand),
    /// The gateway has started to shut down.
    ShutdownStarted,
    /// The timer set by [`crate::Action::SetTimer`] has fired.
    TimerFired,
}
