//! What goes into the rollout controller, and what comes out of it.

use harrierdock_types::{PeerId, TimeDelta};

use crate::{RolloutStage, Vote, VoteMessage};

/// How far a stage has come, by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StagePhase {
    /// It may be promoted or rolled back.
    Canary,
    /// The build is out everywhere; it may only be rolled back.
    Released,
    /// It is being rolled back, or is gone.
    Over,
}

/// How a call of the deployment controller has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The deployment controller has done it, now or before.
    Done,
    /// The deployment controller has seen a later holder.
    StaleEpoch,
    /// It was never sent: this gateway may not act.
    NotSent,
    /// It failed, or no answer came in time: it may have been done.
    Unknown,
}

/// What has happened.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// This gateway's own policy votes, or withdraws its vote.
    VoteChanged(Option<Vote>),
    /// Another gateway has sent its vote.
    VoteReceived {
        /// The sender.
        from: PeerId,
        /// The message.
        message: VoteMessage,
    },
    /// The platform has reported a stage.
    StageUpdated {
        /// The stage.
        stage: RolloutStage,
        /// How far it has come.
        phase: StagePhase,
    },
    /// This gateway holds the rollout controller's lease.
    LeaseAcquired {
        /// The lease's epoch.
        epoch: u64,
    },
    /// This gateway holds the lease no longer.
    LeaseLost,
    /// A call has ended.
    CallFinished {
        /// The vote that the call carried out.
        vote: Vote,
        /// How it has ended.
        outcome: CallOutcome,
    },
    /// The time asked for by `Action::SetTimer` has come.
    TimerFired,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send this gateway's vote to all who may hold the lease.
    SendVote(VoteMessage),
    /// Call the deployment controller, with the epoch of the moment at which the call is written.
    Call {
        /// The vote to carry out.
        vote: Vote,
        /// An earlier call of this gateway's had no answer.
        is_retry: bool,
    },
    /// Log a notice.
    Notify(Notice),
    /// Send `Event::TimerFired` after this time. Timers set before still fire.
    SetTimer {
        /// The time from now.
        after: TimeDelta,
    },
}

/// What operators are to know.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Notice {
    /// The deployment controller has done what the votes asked for.
    Done {
        /// The vote.
        vote: Vote,
        /// How many gateways voted so.
        votes: usize,
    },
    /// The deployment controller knows a later holder; nothing more is asked under this epoch.
    EpochRejected {
        /// The vote.
        vote: Vote,
        /// The rejected epoch.
        epoch: u64,
    },
    /// There is no decision within the configured time.
    Overdue {
        /// The stage.
        stage: RolloutStage,
        /// Votes to promote.
        promote_votes: usize,
        /// Votes to roll back.
        roll_back_votes: usize,
        /// Votes that a promotion needs.
        needed_votes: usize,
        /// Whether this gateway holds the lease.
        holds_lease: bool,
    },
}
