//! The JSON messages of the deployment controller's API. The API fixes their field names and the path; only this file uses
//! them and maps them to the Rust names.

use harrierdock_lease::Epoch;
use harrierdock_rollout_controller::{Decision, Vote};
use serde::Deserialize;
use serde_json::json;

/// The HTTP path to which commands are posted.
pub(super) const COMMANDS_PATH: &str = "/waves";

/// The deployment controller's response to a command.
#[derive(Deserialize)]
pub(super) struct ResponseMessage {
    /// The latest epoch that the deployment controller has seen.
    pub(super) epoch: u64,
    /// Whether the command has already been carried out.
    #[serde(rename = "done")]
    pub(super) is_done: bool,
}

/// A command to the deployment controller.
pub(super) struct CommandMessage<'a> {
    /// The stage to change, and the decision to carry out.
    pub(super) vote: Vote,
    /// The epoch of the lease, which serves as the fencing token.
    pub(super) epoch: Epoch,
    /// The name of the gateway that sends the command.
    pub(super) gateway: &'a str,
    /// The incarnation of this gateway: Unix time in milliseconds.
    pub(super) incarnation: u64,
    /// Whether the command was sent before.
    pub(super) is_retry: bool,
}

impl CommandMessage<'_> {
    /// Formats the body of the HTTP request.
    pub(super) fn to_json(&self) -> String {
        let stage = self.vote.stage;
        json!({
            "image": stage.build.0,
            "ring": stage.stage,
            "way": decision_name(self.vote.decision),
            "epoch": self.epoch.0,
            "gateway": self.gateway,
            "start": self.incarnation,
            "again": self.is_retry,
        })
        .to_string()
    }
}

/// Returns the API's name for a decision.
fn decision_name(decision: Decision) -> &'static str {
    match decision {
        Decision::Promote => "on",
        Decision::RollBack => "back",
    }
}
