//! The state of a rollout and the decisions that gateways vote for.

use crate::{BuildId, TimeDelta};

/// The phase of a build's rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutPhase {
    /// Under test, on the share of endpoints that the rollout stage sets.
    Canary,
    /// Being replaced by the previous build.
    RollingBack,
    /// Released to all endpoints.
    Released,
    /// Removed from all endpoints by a rollback.
    RolledBack,
}

/// The rollout platform's response to a vote or a query, as carried in an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformStatus {
    /// The update is valid. If the update answers a vote, the platform counted that vote.
    Valid,
    /// The vote is about a stage that has ended.
    Superseded,
    /// The platform has no capacity for the call.
    Overloaded,
    /// The platform responded with an error.
    ServerError,
    /// The platform did not respond in time.
    TimedOut,
}

/// The state of the newest rollout, as reported by the rollout platform.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutUpdate {
    /// The build being rolled out.
    pub build: BuildId,
    /// The rollout stage, from 0.
    pub stage: usize,
    /// The phase of the rollout.
    pub phase: RolloutPhase,
    /// The largest share of requests (0 to 1) that may go to the build, on top of the exposure allowance.
    pub exposure_limit: f64,
    /// Status of the platform's response. Only a `Valid` update carries the state of the rollout.
    pub status: PlatformStatus,
    /// Whether this update is the platform's response to a vote of this gateway, and not to a query or pushed.
    pub is_vote_response: bool,
    /// Time since the rollout entered this state.
    pub age: TimeDelta,
}

/// A decision that a gateway votes for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutDecision {
    /// Withdraw the gateway's earlier vote.
    Withdraw,
    /// Move the rollout to its next stage.
    Promote,
    /// Prevent the rollout from moving to its next stage automatically.
    Hold,
    /// Replace the build with the previous one.
    RollBack,
}

/// The two builds that a rollout compares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Arm {
    /// The build that ran before the rollout.
    Baseline = 0,
    /// The build being rolled out.
    Canary = 1,
}
