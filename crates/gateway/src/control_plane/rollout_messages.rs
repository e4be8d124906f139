//! What the rollout platform writes and reads. The names of its JSON forms and its paths stand in this file.

use harrierdock_types::{
    BuildId, PlatformStatus, RolloutDecision, RolloutPhase, RolloutUpdate, TimeDelta,
};
use serde::Deserialize;

/// The path of the stream of rollout updates and complaints.
pub(super) const EVENTS_PATH: &str = "/apis/fleet/events";
/// The path that votes are posted to.
pub(super) const VOTES_PATH: &str = "/apis/fleet/votes";

/// The state of the newest rollout.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct RolloutMessage {
    #[serde(rename = "image")]
    build: u32,
    #[serde(rename = "ring")]
    stage: usize,
    #[serde(rename = "progress")]
    phase: PhaseMessage,
    #[serde(rename = "ceiling")]
    exposure_limit: f64,
    #[serde(default, rename = "lag_ms")]
    age_ms: i64,
}

/// In the order in which a build passes through them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
enum PhaseMessage {
    #[serde(rename = "trial")]
    Canary,
    #[serde(rename = "released")]
    Released,
    #[serde(rename = "rolling_back")]
    RollingBack,
    #[serde(rename = "withdrawn")]
    RolledBack,
}

/// How far a rollout has come. Later states are greater.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Progress {
    build: u32,
    phase: PhaseMessage,
    stage: usize,
}

impl RolloutMessage {
    /// Whether this state comes after the other one.
    pub(super) fn is_later_than(&self, other: &RolloutMessage) -> bool {
        self.progress() > other.progress()
    }

    fn progress(&self) -> Progress {
        Progress {
            build: self.build,
            phase: self.phase,
            stage: self.stage,
        }
    }

    /// The state as the policy sees it.
    pub(super) fn update(&self, answers_vote: bool) -> RolloutUpdate {
        RolloutUpdate {
            build: BuildId(self.build),
            stage: self.stage,
            phase: match self.phase {
                PhaseMessage::Canary => RolloutPhase::Canary,
                PhaseMessage::Released => RolloutPhase::Released,
                PhaseMessage::RollingBack => RolloutPhase::RollingBack,
                PhaseMessage::RolledBack => RolloutPhase::RolledBack,
            },
            exposure_limit: self.exposure_limit,
            status: PlatformStatus::Valid,
            answers_vote,
            age: TimeDelta::from_millis(self.age_ms),
        }
    }
}

/// A line of the stream.
#[derive(Deserialize)]
#[serde(tag = "type", content = "object")]
pub(super) enum EventMessage {
    /// The state of the newest rollout.
    #[serde(rename = "news")]
    Rollout(RolloutMessage),
    /// A client has complained about an answer.
    #[serde(rename = "report")]
    Complaint(ComplaintMessage),
}

/// A complaint.
#[derive(Deserialize)]
pub(super) struct ComplaintMessage {
    /// The endpoint that answered.
    #[serde(rename = "host")]
    pub(super) endpoint: String,
    /// The request class.
    #[serde(rename = "type")]
    pub(super) class: String,
    /// Checked, and read by no decision.
    #[serde(rename = "lag_ms")]
    _age_ms: i64,
}

/// A decision as a vote says it.
pub(super) fn decision_name(decision: RolloutDecision) -> &'static str {
    match decision {
        RolloutDecision::Withdraw => "clear",
        RolloutDecision::Promote => "approve",
        RolloutDecision::Hold => "wait",
        RolloutDecision::RollBack => "reject",
    }
}

/// The body of a vote.
pub(super) fn vote_body(build: BuildId, stage: usize, decision: RolloutDecision) -> String {
    let opinion = decision_name(decision);
    format!(r#"{{"image":{build},"ring":{stage},"opinion":"{opinion}"}}"#)
}

/// What a status that brings no state means for a vote.
pub(super) fn status_of_refused_vote(status: Option<u16>) -> PlatformStatus {
    match status {
        Some(429) => PlatformStatus::Overloaded,
        Some(409) => PlatformStatus::Superseded,
        Some(400 | 500) => PlatformStatus::ServerError,
        _ => PlatformStatus::TimedOut,
    }
}
