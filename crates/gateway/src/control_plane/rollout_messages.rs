//! Messages of the rollout platform. The platform fixes their JSON names and paths; only this file uses them and maps them to
//! the Rust names.

use harrierdock_types::{
    BuildId, PlatformStatus, RolloutDecision, RolloutPhase, RolloutUpdate, TimeDelta,
};
use serde::Deserialize;

/// Path of the stream of rollout updates and complaints.
pub(super) const EVENTS_PATH: &str = "/apis/fleet/events";
/// Path to which votes are posted.
pub(super) const VOTES_PATH: &str = "/apis/fleet/votes";

/// State of the most recent rollout, as the platform sends it.
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

/// Rollout phases in the order in which a build passes through them. The derived `Ord` depends on the order of the variants.
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

/// Progress of a rollout. Later states compare greater.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Progress {
    build: u32,
    phase: PhaseMessage,
    stage: usize,
}

impl RolloutMessage {
    /// Whether this state is later than `other`.
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

    /// Converts the state to an update for the policy.
    pub(super) fn update(&self, is_vote_response: bool) -> RolloutUpdate {
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
            is_vote_response,
            age: TimeDelta::from_millis(self.age_ms),
        }
    }
}

/// A line of the event stream: a rollout state or a complaint.
#[derive(Deserialize)]
#[serde(tag = "type", content = "object")]
pub(super) enum EventMessage {
    /// A state of the most recent rollout.
    #[serde(rename = "news")]
    Rollout(RolloutMessage),
    /// A client complained about a response.
    #[serde(rename = "report")]
    Complaint(ComplaintMessage),
}

/// A client's complaint about a response.
#[derive(Deserialize)]
pub(super) struct ComplaintMessage {
    /// Name of the endpoint that sent the response.
    #[serde(rename = "host")]
    pub(super) endpoint: String,
    /// Name of the request class of the response.
    #[serde(rename = "type")]
    pub(super) class: String,
    /// Must be present and valid, but is not used.
    #[serde(rename = "lag_ms")]
    _age_ms: i64,
}

/// Returns the platform's name for a decision.
pub(super) fn decision_name(decision: RolloutDecision) -> &'static str {
    match decision {
        RolloutDecision::Withdraw => "clear",
        RolloutDecision::Promote => "approve",
        RolloutDecision::Hold => "wait",
        RolloutDecision::RollBack => "reject",
    }
}

/// Formats the JSON body of a vote.
pub(super) fn vote_body(build: BuildId, stage: usize, decision: RolloutDecision) -> String {
    let opinion = decision_name(decision);
    format!(r#"{{"image":{build},"ring":{stage},"opinion":"{opinion}"}}"#)
}

/// Maps the HTTP status of a failed vote to a platform status. `None` means that no valid response was received.
pub(super) fn failed_vote_status(status: Option<u16>) -> PlatformStatus {
    match status {
        Some(429) => PlatformStatus::Overloaded,
        Some(409) => PlatformStatus::Superseded,
        Some(400 | 500) => PlatformStatus::ServerError,
        _ => PlatformStatus::TimedOut,
    }
}
