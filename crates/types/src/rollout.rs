//! How a rollout stands, and what a gateway decides about it.

use crate::{BuildId, TimeDelta};

/// Where a build is on its way through a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutPhase {
    /// On trial, on the share of endpoints that its stage grants.
    Canary,
    /// Being replaced by the build before it.
    RollingBack,
    /// Released to all endpoints.
    Released,
    /// Gone from all endpoints after a rollback.
    RolledBack,
}

/// How the platform answered, where an update is its answer to a vote or a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformStatus {
    /// The update holds, and a vote, if this answers one, was counted.
    Valid,
    /// The vote is about a stage that is over.
    Superseded,
    /// The platform has no capacity for the call.
    Overloaded,
    /// The platform failed.
    ServerError,
    /// The platform did not answer in time.
    TimedOut,
}

/// The state of the newest rollout, as the platform states it.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutUpdate {
    /// The build that is rolled out.
    pub build: BuildId,
    /// The rollout stage, counted from 0.
    pub stage: usize,
    /// Where the build is on its way.
    pub phase: RolloutPhase,
    /// The largest share of requests (0 to 1) that may be sent to the build, beyond the exposure allowance.
    pub exposure_limit: f64,
    /// How the platform answered; only a `Valid` update tells anything of the rollout.
    pub status: PlatformStatus,
    /// Whether this answers a vote of this gateway's.
    pub answers_vote: bool,
    /// Time since the rollout came into this state.
    pub age: TimeDelta,
}

/// What a gateway votes for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutDecision {
    /// Take an earlier vote back.
    Withdraw,
    /// Move the rollout to its next stage.
    Promote,
    /// Keep the rollout from moving on by itself.
    Hold,
    /// Replace the build by the one before it.
    RollBack,
}

/// The two builds that a rollout compares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Arm {
    /// The build before the one that is rolled out.
    Baseline = 0,
    /// The build that is rolled out.
    Canary = 1,
}
