//! Inputs of the policy.

use crate::{
    AffinityKey, AttemptOutcome, BuildId, ClassId, EndpointId, EndpointRecord, GossipMessage,
    PeerId, RequestId, RolloutUpdate, TimeDelta, UpdateKind,
};

/// An input of the policy. The time of the event is passed along with it.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Discovery has sent an endpoint list, or the call to discovery failed.
    EndpointsUpdated {
        /// Which endpoints the list covers.
        kind: UpdateKind,
        /// The listed endpoints; empty after a failed call.
        endpoints: Vec<EndpointRecord>,
    },
    /// A client has sent a request.
    RequestReceived {
        /// Assigned by this gateway.
        id: RequestId,
        /// The class that the client stated.
        class: ClassId,
        /// The request's affinity key, if it has one.
        key: Option<AffinityKey>,
        /// Whether the request is a client retry. Only meaningful if clients mark their retries.
        is_client_retry: bool,
        /// Time until the request's deadline.
        time_left: TimeDelta,
    },
    /// A client no longer waits for the response.
    ClientDisconnected {
        /// The abandoned request.
        id: RequestId,
    },
    /// The first part of a response was sent to the client, so no other attempt can answer the request.
    ResponseStarted {
        /// The request being answered.
        id: RequestId,
    },
    /// An attempt has ended.
    AttemptFinished {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: usize,
        /// The endpoint that the attempt was for.
        endpoint: EndpointId,
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// Time from the start of the attempt to its end.
        duration: TimeDelta,
        /// Whether the client has its response, or no longer needs one.
        is_request_finished: bool,
    },
    /// The rollout platform has reported the state of the rollout or answered a vote.
    RolloutUpdated(RolloutUpdate),
    /// A client has reported a wrong response.
    ComplaintReceived {
        /// The endpoint that sent the response.
        endpoint: EndpointId,
        /// The class of the request.
        class: ClassId,
    },
    /// Another gateway has sent a message.
    GossipReceived {
        /// The sender.
        from: PeerId,
        /// The decoded message.
        message: GossipMessage,
    },
    /// A build of the other site has answered a request with this key, so no older build may answer the key here.
    StickyVersionLearned {
        /// The affinity key of the answered request.
        key: AffinityKey,
        /// The oldest build that may answer the key from now on.
        build: BuildId,
    },
    /// The timer set by `Action::SetTimer` has fired.
    TimerFired,
    /// An input that no decision uses (a probe's result, the platform's counts). Handling it only advances the clock.
    Unused,
}
