//! What clients and endpoints recorded during a soak. All times count from the start of the soak.

use std::time::Duration;

use super::requests::RequestClass;
use super::startup::StartupConnection;

/// How a request ended from the client's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The client received a complete answer.
    Answered {
        /// When the client read the last byte of the answer.
        at: Duration,
        /// Whether the answer belongs to this request.
        is_matching: bool,
    },
    /// The connection ended, or the client stopped waiting long after the deadline.
    Unanswered {
        /// When the connection ended or the client stopped waiting.
        at: Duration,
        /// How many bytes of an answer the client had received.
        received_bytes: usize,
    },
    /// The client closed its connection before an answer.
    ClientClosed {
        /// When the client closed the connection.
        at: Duration,
    },
    /// The client shut down its sending side and kept reading. The gateway can't tell this from a full close and treats the
    /// client as disconnected.
    HalfClosed {
        /// When the client shut down its sending side.
        at: Duration,
        /// What the client received afterwards.
        answer: HalfCloseAnswer,
    },
}

/// What a client received after it shut down its sending side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HalfCloseAnswer {
    /// No complete answer.
    None,
    /// The answer to its request.
    Matching,
    /// The answer to another request.
    Mismatched,
}

/// A request that a client wrote in full.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The id that the client sent with the request.
    pub id: String,
    /// Index of the gateway.
    pub gateway: usize,
    /// How safe the request is to repeat.
    pub class: RequestClass,
    /// When the client wrote the last byte.
    pub written_at: Duration,
    /// The remaining time that the request stated, counted from `written_at`.
    pub deadline: Duration,
    /// Whether the connection had carried an earlier answer.
    pub is_connection_reused: bool,
    /// Whether the client had tried to connect since its gateway was spawned.
    pub is_startup_client: bool,
    /// Whether the client reads with pauses.
    pub reads_slowly: bool,
    /// How the request ended.
    pub outcome: RequestOutcome,
}

/// An attempt that an endpoint received.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// The request's id.
    pub id: String,
    /// Index of the endpoint.
    pub endpoint: usize,
    /// When the endpoint had received the whole request.
    pub at: Duration,
    /// The remaining time that the gateway stated to the endpoint.
    pub stated_remaining: Duration,
    /// What may have delayed the attempt on the machine or the connection.
    pub arrival: Arrival,
}

/// How an attempt arrived at its endpoint. Reported with a violation; no rule makes allowance for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Arrival {
    /// Whether the attempt is the first on its connection.
    pub is_first_on_connection: bool,
    /// How long the endpoint's thread waited for a processor since the previous attempt, or since the thread started.
    pub processor_wait: Duration,
}

/// A gateway's shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownRecord {
    /// Index of the gateway.
    pub gateway: usize,
    /// When the first signal that starts a shutdown was sent.
    pub signal_at: Duration,
    /// When the gateway was killed; `None` if it exited by itself.
    pub killed_at: Option<Duration>,
}

/// A kill of a gateway without a preceding signal.
#[derive(Clone, Copy, Debug)]
pub struct SuddenKillRecord {
    /// Index of the gateway.
    pub gateway: usize,
    /// Right before the kill.
    pub from: Duration,
    /// When the process had exited.
    pub until: Duration,
}

/// A connection that could not be established although its gateway had to accept connections.
#[derive(Clone, Copy, Debug)]
pub struct RefusedConnection {
    /// Index of the gateway.
    pub gateway: usize,
    /// When the connection failed.
    pub at: Duration,
}

/// A drain of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct DrainRecord {
    /// Index of the endpoint.
    pub endpoint: usize,
    /// When discovery had sent the drain to every gateway.
    pub published_at: Duration,
}

/// Everything recorded during a soak.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// The requests that clients wrote.
    pub requests: Vec<RequestRecord>,
    /// The attempts that endpoints received.
    pub attempts: Vec<AttemptRecord>,
    /// The connections that could not be established.
    pub refused_connections: Vec<RefusedConnection>,
    /// The connections of clients that try to connect as soon as a gateway is spawned.
    pub startup_connections: Vec<StartupConnection>,
    /// The shutdowns by signal.
    pub shutdowns: Vec<ShutdownRecord>,
    /// The kills without a preceding signal.
    pub sudden_kills: Vec<SuddenKillRecord>,
    /// The drain of an endpoint, if the plan has one.
    pub drain: Option<DrainRecord>,
}

impl Observations {
    /// Subtracts this offset from the times of the attempts, which count from an earlier moment.
    #[must_use]
    pub fn with_attempts_shifted(mut self, offset: Duration) -> Observations {
        for attempt in &mut self.attempts {
            attempt.at = attempt.at.saturating_sub(offset);
        }
        self
    }
}
