//! What clients, endpoints and the kernel saw of a soak. All times count from its start.

use std::time::Duration;

use super::requests::RequestClass;
use super::starts::StartupConnection;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// It has a whole answer.
    Answered {
        /// When its last byte was read.
        at: Duration,
        /// Whether it is the answer made for this request.
        is_own: bool,
    },
    /// The connection ended, or the client gave up waiting long after the deadline.
    Unanswered {
        /// When.
        at: Duration,
        /// How many bytes of an answer had come.
        received_bytes: usize,
    },
    /// The client closed its connection.
    Left {
        /// When.
        at: Duration,
    },
    /// The client ended its writing side and read on. The gateway sees what it sees of one that closes, and counts it as gone.
    HalfClosed {
        /// When.
        at: Duration,
        /// Whether a whole answer came all the same, and was the one made for this request.
        answer: HalfCloseAnswer,
    },
}

/// What came to a client that had ended its writing side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HalfCloseAnswer {
    /// No whole answer.
    None,
    /// The answer made for its request.
    Own,
    /// Another's.
    Foreign,
}

/// A request whose last byte was written.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Its id.
    pub id: String,
    /// The gateway.
    pub gateway: usize,
    /// Its class.
    pub class: RequestClass,
    /// When its last byte was written.
    pub written_at: Duration,
    /// The time that it stated.
    pub deadline: Duration,
    /// Whether its connection had carried an answer before.
    pub is_connection_reused: bool,
    /// Whether its connection was tried from the spawn of its gateway on.
    pub is_in_start: bool,
    /// Whether its client reads with pauses.
    pub reads_slowly: bool,
    /// How it ended.
    pub end: RequestEnd,
}

/// An attempt that an endpoint received.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// The request's id.
    pub id: String,
    /// The endpoint.
    pub endpoint: usize,
    /// When its last byte came.
    pub at: Duration,
    /// The time that it stated.
    pub stated: Duration,
    /// How far the machine and the connection may have made it late.
    pub arrival: Arrival,
}

/// How an attempt came to its endpoint. Told with a violation; no rule allows for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Arrival {
    /// Whether it is the first on its connection.
    pub is_first_on_connection: bool,
    /// How long the endpoint's thread waited for a processor since the attempt before, or since it was started.
    pub processor_wait: Duration,
}

/// A gateway's shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownRecord {
    /// The gateway.
    pub gateway: usize,
    /// When the signal was sent.
    pub signal_at: Duration,
    /// When it was killed, if it still ran.
    pub killed_at: Option<Duration>,
}

/// A kill of a gateway with no signal before it.
#[derive(Clone, Copy, Debug)]
pub struct SuddenKillRecord {
    /// The gateway.
    pub gateway: usize,
    /// When it was about to be killed.
    pub from: Duration,
    /// When its process was gone.
    pub until: Duration,
}

/// A connection that did not come up while its gateway was to accept connections.
#[derive(Clone, Copy, Debug)]
pub struct RefusedConnection {
    /// The gateway.
    pub gateway: usize,
    /// When it was refused.
    pub at: Duration,
}

/// An endpoint that drains.
#[derive(Clone, Copy, Debug)]
pub struct DrainRecord {
    /// The endpoint.
    pub endpoint: usize,
    /// When discovery had written it to every gateway.
    pub told_at: Duration,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// The clients' requests.
    pub requests: Vec<RequestRecord>,
    /// The attempts.
    pub attempts: Vec<AttemptRecord>,
    /// The connections that did not come up.
    pub refused_connections: Vec<RefusedConnection>,
    /// The connections of clients that connect from the spawn of a gateway on.
    pub startup_connections: Vec<StartupConnection>,
    /// The shutdowns.
    pub shutdowns: Vec<ShutdownRecord>,
    /// The kills with no signal before them.
    pub sudden_kills: Vec<SuddenKillRecord>,
    /// The drain, if one was played.
    pub drain: Option<DrainRecord>,
}

impl Observations {
    /// The same with the attempts' times counted from a moment that is later by this.
    #[must_use]
    pub fn shifted(mut self, offset: Duration) -> Observations {
        for attempt in &mut self.attempts {
            attempt.at = attempt.at.saturating_sub(offset);
        }
        self
    }
}
