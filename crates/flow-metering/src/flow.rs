//! What is observed, the key under which it is counted, and a flow: the counters of one key over an interval.

use harrierdock_types::{BuildId, TimeDelta, Timestamp};

use crate::FlowCounters;

/// What a flow counts: attempts at endpoints, or requests of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordKind {
    /// Attempts at endpoints.
    Attempt = 0,
    /// Requests of clients.
    Request = 1,
}

impl RecordKind {
    /// All kinds, each at the index of its number.
    pub const ALL: [RecordKind; 2] = [RecordKind::Attempt, RecordKind::Request];
}

/// How an attempt (the first eight) or a request (the others) ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FlowOutcome {
    /// The endpoint answered.
    Succeeded = 0,
    /// The endpoint answered with an error.
    ServerError = 1,
    /// The endpoint rejected the attempt with the promise of no effect.
    Rejected = 2,
    /// The attempt's time was up.
    TimedOut = 3,
    /// No connection came up.
    ConnectFailed = 4,
    /// The connection broke.
    Reset = 5,
    /// The gateway cancelled the attempt.
    Cancelled = 6,
    /// The attempt was dropped before its first byte.
    NotSent = 7,
    /// The request was answered.
    RequestSucceeded = 8,
    /// The request was rejected with the promise of no effect.
    RequestRejected = 9,
    /// The request ended with unknown effect.
    RequestFailed = 10,
    /// The client disconnected before the answer.
    ClientDisconnected = 11,
}

impl FlowOutcome {
    /// All outcomes, each at the index of its number.
    pub const ALL: [FlowOutcome; 12] = [
        FlowOutcome::Succeeded,
        FlowOutcome::ServerError,
        FlowOutcome::Rejected,
        FlowOutcome::TimedOut,
        FlowOutcome::ConnectFailed,
        FlowOutcome::Reset,
        FlowOutcome::Cancelled,
        FlowOutcome::NotSent,
        FlowOutcome::RequestSucceeded,
        FlowOutcome::RequestRejected,
        FlowOutcome::RequestFailed,
        FlowOutcome::ClientDisconnected,
    ];
}

/// Which sites a request went through.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FlowPath {
    /// Received and answered at the local site.
    Local = 0,
    /// Forwarded to the other site.
    Forwarded = 1,
    /// Received from the other site.
    Inbound = 2,
}

/// One attempt or request that ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// Whether it is an attempt or a request.
    pub kind: RecordKind,
    /// The build that served it; 0 where there is none.
    pub build: BuildId,
    /// The build's rollout stage.
    pub stage: u8,
    /// The request class's number; 255 for all from there on.
    pub class: u8,
    /// How it ended.
    pub outcome: FlowOutcome,
    /// Which sites it went through.
    pub path: FlowPath,
    /// The number of an attempt's endpoint; none for requests.
    pub endpoint: Option<u32>,
    /// Whether it is an attempt after the request's first one.
    pub is_retry: bool,
    /// How long it took.
    pub duration: TimeDelta,
    /// The request class's latency objective.
    pub latency_objective: TimeDelta,
    /// Octets of the request's body.
    pub request_octets: u64,
    /// Octets of the response's body.
    pub response_octets: u64,
}

/// What the counters of a flow have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowKey {
    /// Whether attempts or requests are counted.
    pub kind: RecordKind,
    /// The build; 0 where there is none.
    pub build: BuildId,
    /// The build's rollout stage.
    pub stage: u8,
    /// The request class's number; 255 for all from there on.
    pub class: u8,
    /// How they ended.
    pub outcome: FlowOutcome,
    /// Which sites they went through.
    pub path: FlowPath,
    /// The endpoint's number; none for all endpoints that have no flow of their own.
    pub endpoint: Option<u32>,
}

impl FlowKey {
    /// The key of an observation, with the endpoint that it is to be counted under.
    pub fn of(observation: &Observation, endpoint: Option<u32>) -> FlowKey {
        FlowKey {
            kind: observation.kind,
            build: observation.build,
            stage: observation.stage,
            class: observation.class,
            outcome: observation.outcome,
            path: observation.path,
            endpoint,
        }
    }

    /// The key as one number, different for each key.
    pub fn packed(&self) -> u128 {
        let endpoint = self.endpoint.map_or(0, |id| u128::from(id) + 1);
        let low = (self.kind as u128) << 24
            | u128::from(self.stage) << 16
            | u128::from(self.class) << 8
            | (self.outcome as u128) << 2
            | self.path as u128;
        endpoint << 72 | u128::from(self.build.0) << 32 | low
    }
}

/// The counters of one key over an interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Flow {
    /// What is counted.
    pub key: FlowKey,
    /// The counts.
    pub counters: FlowCounters,
    /// When the interval starts.
    pub start: Timestamp,
    /// When the interval ends.
    pub end: Timestamp,
}
