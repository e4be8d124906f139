//! A client connection: its current phase, and the ways in which it can be idle.

use harrierdock_event_loop::{Connection, SHORT_BUFFER_BYTES};
use harrierdock_http::MessageReader;
use harrierdock_types::{RequestId, TimeDelta, Timestamp};

/// What a connection is currently doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Waiting for a request, or reading one.
    Reading,
    /// The client waits for the response to this request.
    Waiting(RequestId),
    /// Writing a response.
    Responding {
        /// Whether the connection stays open after the response.
        keeps_open: bool,
    },
    /// The last response has been written; input is discarded until the client closes the connection.
    Closing,
}

/// The ways in which a connection can be idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum IdleKind {
    /// No byte has been received since the connection was accepted.
    NeverUsed,
    /// Part of a request has been received, and is held in a short buffer.
    PartialRequest,
    /// Part of a request has been received, and is held in a longer buffer.
    LongPartialRequest,
    /// The last response has been written, but the client has not closed the connection.
    Closing,
    /// A response has been written, and no byte of the next request has been received.
    BetweenRequests,
    /// The client does not read its response.
    UnreadResponse,
}

impl IdleKind {
    /// Whether part of a request has been received.
    pub(super) fn is_partial_request(self) -> bool {
        matches!(
            self,
            IdleKind::PartialRequest | IdleKind::LongPartialRequest
        )
    }
}

/// How a connection is idle, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Idle {
    /// What the connection is waiting for.
    pub(super) kind: IdleKind,
    /// Start of the idle time.
    pub(super) since: Timestamp,
}

/// A client's connection and its state.
pub(super) struct ClientConnection {
    /// The socket and its buffers.
    pub(super) connection: Connection,
    /// Parser state of the request that is being read.
    pub(super) reader: MessageReader,
    /// What the connection is currently doing.
    pub(super) phase: Phase,
    /// Whether the last request allowed the connection to stay open. `false` before the first request.
    pub(super) keeps_alive: bool,
    /// Start of the idle time: the accept for the first request, later the last flush or the first byte of a request.
    pub(super) idle_since: Timestamp,
    /// Upper bound on how long the first request waited in the accept queue. Zero once that request has been read.
    pub(super) queue_time: TimeDelta,
    /// Whether bytes have followed the last request while its client waited for the response.
    pub(super) has_surplus: bool,
    /// This connection's entry in the list of idle connections. `None` if it is not listed.
    pub(super) listed_idle: Option<Idle>,
}

impl ClientConnection {
    /// Wraps a connection that was just accepted. `queue_time` is how long its first request may have waited in the accept
    /// queue.
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
            idle_since: now,
            queue_time,
            has_surplus: false,
            listed_idle: None,
        }
    }

    /// Whether no bytes have followed the request that was read.
    pub(super) fn has_single_request(&self) -> bool {
        !self.has_surplus && self.reader.body().end >= self.connection.input.len()
    }

    /// Whether the connection waits for a request and has received no byte of it.
    pub(super) fn is_between_requests(&self) -> bool {
        self.phase == Phase::Reading && self.reader.is_untouched(&self.connection.input)
    }

    /// How the connection is idle. `None` while its client waits for a response.
    pub(super) fn idle(&self) -> Option<Idle> {
        let kind = match self.phase {
            Phase::Waiting(_) => return None,
            Phase::Reading if self.is_between_requests() => match self.keeps_alive {
                true => IdleKind::BetweenRequests,
                false => IdleKind::NeverUsed,
            },
            Phase::Reading if self.connection.input.capacity() <= SHORT_BUFFER_BYTES => {
                IdleKind::PartialRequest
            }
            Phase::Reading => IdleKind::LongPartialRequest,
            Phase::Responding { .. } => IdleKind::UnreadResponse,
            Phase::Closing => IdleKind::Closing,
        };
        Some(Idle {
            kind,
            since: self.idle_since,
        })
    }
}
