//! One client's connection, and how it stands between requests.

use harrierdock_event_loop::Connection;
use harrierdock_http::MessageReader;
use harrierdock_types::{RequestId, TimeDelta, Timestamp};

/// What a connection is used for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// A request is read, or awaited.
    Reading,
    /// The client waits for the answer to this request.
    Waiting(RequestId),
    /// A response is written.
    Responding {
        /// Whether the connection is kept after it.
        keeps_open: bool,
    },
    /// The last response is written; input is discarded until the client closes.
    Closing,
}

/// The kinds of connections without a request under way, in the order in which they are closed for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum IdleKind {
    /// Nothing was ever received on it.
    NeverUsed,
    /// A request has come in part.
    PartialRequest,
    /// The client has not closed it after its last response.
    Closing,
    /// Between requests.
    BetweenRequests,
    /// The client does not take in its response.
    UnreadResponse,
}

/// Since when a connection has been idle in this way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Idle {
    /// In which way.
    pub(super) kind: IdleKind,
    /// Since when.
    pub(super) since: Timestamp,
}

/// A client's connection.
pub(super) struct ClientConnection {
    /// The socket and its buffers.
    pub(super) connection: Connection,
    /// The state of the message that is read.
    pub(super) reader: MessageReader,
    /// What the connection is used for.
    pub(super) phase: Phase,
    /// Whether the client wants the connection kept after its last request.
    pub(super) keeps_alive: bool,
    /// Since when its phase lasts. The first request counts from the connection's opening.
    pub(super) since: Timestamp,
    /// How long its first request may have waited for the connection to be accepted.
    pub(super) queue_time: TimeDelta,
    /// How the connection is listed for eviction.
    pub(super) listed_idle: Option<Idle>,
}

impl ClientConnection {
    /// A connection that was just accepted, and has waited for that with a request.
    pub(super) fn new(
        connection: Connection,
        now: Timestamp,
        queue_time: TimeDelta,
    ) -> ClientConnection {
        ClientConnection {
            connection,
            reader: MessageReader::default(),
            phase: Phase::Reading,
            keeps_alive: false,
            since: now,
            queue_time,
            listed_idle: None,
        }
    }

    /// Whether no bytes follow the request that was read.
    pub(super) fn has_single_request(&self) -> bool {
        self.reader.body().end >= self.connection.input.len()
    }

    /// Whether nothing of the next request has been received.
    pub(super) fn is_between_requests(&self) -> bool {
        self.phase == Phase::Reading && self.reader.is_untouched(&self.connection.input)
    }

    /// How the connection is idle. `None` while a request is under way.
    pub(super) fn idle(&self) -> Option<Idle> {
        let kind = match self.phase {
            Phase::Waiting(_) => return None,
            Phase::Reading if !self.reader.is_untouched(&self.connection.input) => {
                IdleKind::PartialRequest
            }
            Phase::Reading if self.keeps_alive => IdleKind::BetweenRequests,
            Phase::Reading => IdleKind::NeverUsed,
            Phase::Responding { .. } => IdleKind::UnreadResponse,
            Phase::Closing => IdleKind::Closing,
        };
        Some(Idle {
            kind,
            since: self.since,
        })
    }
}
