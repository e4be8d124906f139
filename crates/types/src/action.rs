//! What the policy asks for.

use crate::{BuildId, EndpointId, GossipMessage, PeerId, RequestId, RolloutDecision, TimeDelta};

/// An output of the policy. Actions are carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to an endpoint. Its attempts are counted from 0 in the order of these actions.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// Where it goes.
        endpoint: EndpointId,
        /// How long the attempt may take; zero means until the request's deadline.
        timeout: TimeDelta,
    },
    /// Give an attempt up: nothing more is written for it.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt, counted from 0 within its request.
        attempt: usize,
    },
    /// Answer that the request was not carried out and may be sent again.
    Reject {
        /// The request.
        id: RequestId,
        /// When the client may send it again.
        retry_after: Option<TimeDelta>,
    },
    /// Answer that the request failed and may have had its effect.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cast a vote at the platform.
    Vote {
        /// The build that is rolled out.
        build: BuildId,
        /// The stage that the vote is about.
        stage: usize,
        /// What is voted for.
        decision: RolloutDecision,
    },
    /// Send a message to one gateway, or to all where `to` is `None`.
    SendGossip {
        /// The receiver.
        to: Option<PeerId>,
        /// The message.
        message: GossipMessage,
    },
    /// Ask discovery for lists from now on. Only asked for where lists are polled.
    WatchEndpoints,
    /// Fire the timer once this time has passed. It replaces the timer set before.
    SetTimer {
        /// From now.
        after: TimeDelta,
    },
}
