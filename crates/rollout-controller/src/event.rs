//! Events and actions of the rollout controller.

use harrierdock_types::{PeerId, TimeDelta};

use crate::{RolloutStage, Vote, VoteMessage};

/// The phase of a stage, as reported by the rollout platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StagePhase {
    /// The build can be promoted or rolled back.
    Canary,
    /// The build runs on all endpoints and can only be rolled back.
    Released,
    /// The build is being rolled back, or was rolled back.
    RolledBack,
}

/// The result of a call to the deployment controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The deployment controller has executed the call, now or earlier.
    Done,
    /// The deployment controller rejected the call because it has seen a later epoch.
    StaleEpoch,
    /// The call was not sent, for example because this gateway had lost the lease.
    NotSent,
    /// The call failed or had no response in time; it may have been executed.
    Unknown,
}

/// An input of the rollout controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// This gateway's policy has voted; `None` means that it has withdrawn its vote.
    VoteChanged(Option<Vote>),
    /// Another gateway has sent its vote.
    VoteReceived {
        /// The sender.
        from: PeerId,
        /// The decoded message.
        message: VoteMessage,
    },
    /// The rollout platform has reported a stage.
    StageUpdated {
        /// The reported stage.
        stage: RolloutStage,
        /// The phase of the stage.
        phase: StagePhase,
    },
    /// This gateway has acquired the rollout controller's lease.
    LeaseAcquired {
        /// The fencing token of all calls made under the lease.
        epoch: u64,
    },
    /// This gateway no longer holds the lease.
    LeaseLost,
    /// A call to the deployment controller has ended.
    CallFinished {
        /// The vote that the call was made for.
        vote: Vote,
        /// The result of the call.
        outcome: CallOutcome,
    },
    /// A timer set by `Action::SetTimer` has fired.
    TimerFired,
}

/// An output of the rollout controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send this gateway's vote to all gateways that may hold the lease.
    SendVote(VoteMessage),
    /// Call the deployment controller, with the lease's epoch at the time when the call is written.
    Call {
        /// The vote to execute.
        vote: Vote,
        /// Whether an earlier call of this gateway for the same vote may have been executed.
        is_retry: bool,
    },
    /// Log a notice for operators.
    Notify(Notice),
    /// Send `Event::TimerFired` after this time. Timers set before still fire.
    SetTimer {
        /// Delay from now.
        after: TimeDelta,
    },
}

/// An event to log for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Notice {
    /// The deployment controller has executed the agreed vote.
    Done {
        /// The executed vote.
        vote: Vote,
        /// Number of gateways with this vote.
        votes: usize,
    },
    /// The deployment controller has seen a later epoch. This gateway makes no more calls with its epoch.
    EpochRejected {
        /// The vote of the rejected call.
        vote: Vote,
        /// The rejected epoch.
        epoch: u64,
    },
    /// The stage had no decision within `decision_timeout`.
    Overdue {
        /// The stage without a decision.
        stage: RolloutStage,
        /// Number of votes to promote.
        promote_votes: usize,
        /// Number of votes to roll back.
        roll_back_votes: usize,
        /// Number of votes that a promotion needs.
        needed_votes: usize,
        /// Whether this gateway holds the lease.
        holds_lease: bool,
    },
}
