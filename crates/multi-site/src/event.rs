//! The events that the decisions handle.

use harrierdock_site_messages::{ForwardingOutcome, GatewayName, PathId, SiteMessage};
use harrierdock_types::{BuildId, ClassId, RequestId, TimeDelta};

/// An inbound request, by a number that is never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InboundId(pub u64);

/// What an operator commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Forward all requests, and accept none from the other site.
    Drain,
    /// Undo the drain.
    Resume,
}

/// How a request ended that the local policy was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// It was answered.
    Succeeded,
    /// It was rejected, and nothing of it has run.
    Rejected,
    /// It failed, or was rejected although it may have run.
    Failed,
    /// Its client went away.
    ClientGone,
}

/// One event.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client's request was received.
    RequestReceived {
        /// The request.
        id: RequestId,
        /// Its class.
        class: ClassId,
        /// The time until its deadline.
        remaining: TimeDelta,
    },
    /// The local policy would reject a client's request of which nothing has run.
    LocallyRejected {
        /// The request.
        id: RequestId,
        /// Its class.
        class: ClassId,
        /// The time until its deadline.
        remaining: TimeDelta,
    },
    /// The client of a request went away.
    ClientGone {
        /// The request.
        id: RequestId,
    },
    /// A request that the local policy was given has ended, be it a client's or an inbound one.
    RequestEnded {
        /// Its class.
        class: ClassId,
        /// How it ended.
        end: RequestEnd,
        /// The time it took.
        elapsed: TimeDelta,
    },
    /// An inbound request was answered here.
    InboundCompleted {
        /// The inbound request.
        inbound: InboundId,
        /// What became of it.
        outcome: ForwardingOutcome,
        /// The build that answered it.
        build: Option<BuildId>,
        /// The answer's body.
        body: Vec<u8>,
    },
    /// The endpoint list has changed.
    EndpointsUpdated {
        /// How many endpoints are ready.
        ready: usize,
    },
    /// A path was opened, by either end.
    PathOpened {
        /// The path.
        path: PathId,
        /// Its other end.
        peer: GatewayName,
    },
    /// A path was closed.
    PathClosed {
        /// The path.
        path: PathId,
        /// The other end has announced that it closes the path.
        orderly: bool,
    },
    /// A path could not be opened.
    ConnectFailed {
        /// The gateway that was to be its other end.
        peer: GatewayName,
    },
    /// A message was received.
    MessageReceived {
        /// The path it came on.
        path: PathId,
        /// The message.
        message: SiteMessage,
    },
    /// An operator gave a command.
    OperatorCommand(OperatorCommand),
    /// The gateway shuts down.
    ShutdownStarted,
    /// The timer that [`crate::Action::SetTimer`] asked for has fired.
    TimerFired,
}
