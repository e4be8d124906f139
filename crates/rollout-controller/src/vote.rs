//! Votes on a rollout stage, and the message that carries a vote.

use harrierdock_types::BuildId;

/// One stage of one build's rollout. Ordered by build, then by stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RolloutStage {
    /// The build being rolled out.
    pub build: BuildId,
    /// Number of the stage, from 0.
    pub stage: usize,
}

/// The decision that a vote is for. Ordered so that a roll-back of a stage can follow its promotion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Decision {
    /// Move the rollout to its next stage.
    Promote,
    /// Roll back to the baseline.
    RollBack,
}

/// A gateway's vote on a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Vote {
    /// The stage that the vote is about.
    pub stage: RolloutStage,
    /// The decision that the gateway votes for.
    pub decision: Decision,
}

/// A gateway's vote, sent to all gateways that may hold the rollout controller's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoteMessage {
    /// Number of the sender's run. Messages of a later run replace messages of an earlier run.
    pub incarnation: u64,
    /// Sequence number of the message within the sender's run.
    pub sequence: u32,
    /// The vote; `None` after the sender's policy has withdrawn it.
    pub vote: Option<Vote>,
}
