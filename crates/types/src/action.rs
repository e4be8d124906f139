//! Outputs of the policy.

use crate::{BuildId, EndpointId, GossipMessage, PeerId, RequestId, RolloutDecision, TimeDelta};

/// An output of the policy. The gateway executes actions in the order in which the policy returns them.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to an endpoint. The attempts of a request are numbered from 0 in the order of these actions.
    StartAttempt {
        /// The request to send.
        id: RequestId,
        /// The endpoint that receives the attempt.
        endpoint: EndpointId,
        /// Timeout of the attempt; zero means until the request's deadline.
        timeout: TimeDelta,
    },
    /// Cancel an attempt: no further bytes are sent for it.
    CancelAttempt {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: usize,
    },
    /// Respond that the request had no effect and can be sent again.
    Reject {
        /// The request to respond to.
        id: RequestId,
        /// Delay after which the client may send the request again; `None` states no delay.
        retry_after: Option<TimeDelta>,
    },
    /// Respond that the request failed and may have had its effect.
    Fail {
        /// The request to respond to.
        id: RequestId,
    },
    /// Send a vote to the rollout platform.
    Vote {
        /// The build being rolled out.
        build: BuildId,
        /// The rollout stage that the vote is about, from 0.
        stage: usize,
        /// The decision that the gateway votes for.
        decision: RolloutDecision,
    },
    /// Send a gossip message to one peer or to all peers.
    SendGossip {
        /// The receiver; `None` means all peers.
        to: Option<PeerId>,
        /// The message, still to be encoded.
        message: GossipMessage,
    },
    /// Start to request endpoint lists from discovery. The policy returns this only in poll mode.
    WatchEndpoints,
    /// Set the policy's only timer, which replaces the timer set before.
    SetTimer {
        /// Delay from now until `Event::TimerFired`.
        after: TimeDelta,
    },
}
