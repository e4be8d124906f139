//! Observations, the flow keys that they are counted under, and flows.

use harrierdock_types::{BuildId, TimeDelta, Timestamp};

use crate::FlowCounters;

/// What a flow counts: attempts at endpoints, or requests of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordKind {
    /// Attempts, each of which goes to one endpoint.
    Attempt = 0,
    /// Requests, each of which takes any number of attempts.
    Request = 1,
}

impl RecordKind {
    /// All kinds; the index of each is its discriminant.
    pub const ALL: [RecordKind; 2] = [RecordKind::Attempt, RecordKind::Request];
}

/// How an attempt (the first eight variants) or a request (the other variants) ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FlowOutcome {
    /// The endpoint responded without an error.
    Succeeded = 0,
    /// The endpoint responded with an error.
    ServerError = 1,
    /// The endpoint rejected the attempt, and promises that it had no effect.
    Rejected = 2,
    /// The attempt's timeout expired.
    TimedOut = 3,
    /// No connection to the endpoint was established.
    ConnectFailed = 4,
    /// The connection broke before the response was complete.
    Reset = 5,
    /// The gateway cancelled the attempt.
    Cancelled = 6,
    /// The attempt was dropped before its first byte.
    NotSent = 7,
    /// The gateway returned a successful response.
    RequestSucceeded = 8,
    /// The request was rejected with the promise that it had no effect.
    RequestRejected = 9,
    /// The request failed; its effect is unknown.
    RequestFailed = 10,
    /// The client disconnected before the response.
    ClientDisconnected = 11,
}

impl FlowOutcome {
    /// All outcomes; the index of each is its discriminant.
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
    /// Received from a client and served at the local site.
    Local = 0,
    /// Received from a client and forwarded to the other site.
    Forwarded = 1,
    /// Received from the other site and served at the local site.
    Inbound = 2,
}

/// A finished attempt or request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// Whether this is an attempt or a request.
    pub kind: RecordKind,
    /// The build of the attempt's endpoint; 0 if it has none, and for requests.
    pub build: BuildId,
    /// The build's rollout stage; 0 for requests and for all builds but the newest.
    pub stage: u8,
    /// The request class's index; 255 for that class and all later ones.
    pub class: u8,
    /// How the attempt or request ended.
    pub outcome: FlowOutcome,
    /// Which sites the request went through.
    pub path: FlowPath,
    /// The id of an attempt's endpoint; `None` for requests.
    pub endpoint: Option<u32>,
    /// Whether this is an attempt after the request's first one.
    pub is_retry: bool,
    /// The time from start to end.
    pub duration: TimeDelta,
    /// The request class's latency objective.
    pub latency_objective: TimeDelta,
    /// Octets of the request body.
    pub request_octets: u64,
    /// Octets of the response body.
    pub response_octets: u64,
}

/// The properties shared by all attempts or requests that a flow counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowKey {
    /// Whether the flow counts attempts or requests.
    pub kind: RecordKind,
    /// The build of the attempts' endpoints; 0 if they have none, and for requests.
    pub build: BuildId,
    /// The build's rollout stage; 0 for requests, for all builds but the newest, and in flows aggregated over stages.
    pub stage: u8,
    /// The request class's index; 255 for that class and all later ones.
    pub class: u8,
    /// How the attempts or requests ended.
    pub outcome: FlowOutcome,
    /// Which sites the requests went through.
    pub path: FlowPath,
    /// The id of the attempts' endpoint; `None` for requests and for endpoints without a flow of their own.
    pub endpoint: Option<u32>,
}

impl FlowKey {
    /// Returns the key of an observation, with `endpoint` in place of the observed endpoint.
    pub fn from_observation(observation: &Observation, endpoint: Option<u32>) -> FlowKey {
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

    /// Packs the key into a number that is unique to it.
    pub fn to_u128(&self) -> u128 {
        let endpoint = self.endpoint.map_or(0, |id| u128::from(id) + 1);
        let low = (self.kind as u128) << 24
            | u128::from(self.stage) << 16
            | u128::from(self.class) << 8
            | (self.outcome as u128) << 2
            | self.path as u128;
        endpoint << 72 | u128::from(self.build.0) << 32 | low
    }
}

/// The counters of one flow key over an interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Flow {
    /// Which attempts or requests are counted.
    pub key: FlowKey,
    /// The counters over the interval.
    pub counters: FlowCounters,
    /// The start of the interval.
    pub start: Timestamp,
    /// The end of the interval.
    pub end: Timestamp,
}
