//! What the policy is told.

use crate::{
    AffinityKey, AttemptOutcome, BuildId, ClassId, EndpointId, EndpointRecord, GossipMessage,
    PeerId, RequestId, RolloutUpdate, TimeDelta, UpdateKind,
};

/// An input of the policy. The time at which it happened is given beside it.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Discovery has sent a list.
    EndpointsUpdated {
        /// What it is a list of.
        kind: UpdateKind,
        /// The endpoints on it.
        endpoints: Vec<EndpointRecord>,
    },
    /// A client has sent a request.
    RequestReceived {
        /// Its number.
        id: RequestId,
        /// Its class.
        class: ClassId,
        /// Its affinity key, if it has one.
        key: Option<AffinityKey>,
        /// Whether it is a client's retry; only meaningful where clients mark their retries.
        is_client_retry: bool,
        /// Time until its deadline.
        time_left: TimeDelta,
    },
    /// A client no longer waits for its answer.
    ClientDisconnected {
        /// Its request.
        id: RequestId,
    },
    /// An answer has begun to reach the client, so no other attempt can answer it.
    ResponseStarted {
        /// The request.
        id: RequestId,
    },
    /// An attempt has ended.
    AttemptFinished {
        /// The request.
        id: RequestId,
        /// The attempt, counted from 0 within its request.
        attempt: usize,
        /// Where it was sent.
        endpoint: EndpointId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Time from its start to its end.
        duration: TimeDelta,
        /// Whether the request has its answer, or needs none.
        request_finished: bool,
    },
    /// The platform has stated how the rollout stands, or answered a vote.
    RolloutUpdated(RolloutUpdate),
    /// A client has complained of an answer.
    ComplaintReceived {
        /// The endpoint that gave the answer.
        endpoint: EndpointId,
        /// The class of the request.
        class: ClassId,
    },
    /// Another gateway has sent a message.
    GossipReceived {
        /// The sender.
        from: PeerId,
        /// The message.
        message: GossipMessage,
    },
    /// A build has answered this key elsewhere, so no older build may answer it here.
    StickyVersionLearned {
        /// The key.
        key: AffinityKey,
        /// The build.
        build: BuildId,
    },
    /// The timer that `Action::SetTimer` asked for has fired.
    TimerFired,
    /// An input that no decision reads (a probe's result, a platform's tally). It only moves the clock on.
    Unused,
}
