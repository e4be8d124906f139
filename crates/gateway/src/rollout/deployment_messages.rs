//! What the deployment controller reads and writes. The names of its JSON forms and its path stand in this file.

use harrierdock_lease::Epoch;
use harrierdock_rollout_controller::{Decision, Vote};
use serde::Deserialize;
use serde_json::json;

/// The path that commands are posted to.
pub(super) const COMMANDS_PATH: &str = "/waves";

/// What the deployment controller says of a command.
#[derive(Deserialize)]
pub(super) struct ResponseMessage {
    /// The latest epoch that it has seen.
    pub(super) epoch: u64,
    /// Whether what was asked for is done already.
    #[serde(rename = "done")]
    pub(super) is_done: bool,
}

/// A command as it is written.
pub(super) struct CommandMessage<'a> {
    /// What is to be done.
    pub(super) vote: Vote,
    /// The fencing token.
    pub(super) epoch: Epoch,
    /// This gateway's name.
    pub(super) gateway: &'a str,
    /// Its incarnation.
    pub(super) incarnation: u64,
    /// Whether the command was sent before.
    pub(super) is_retry: bool,
}

impl CommandMessage<'_> {
    /// The body.
    pub(super) fn body(&self) -> String {
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

/// A decision as commands and log lines say it.
pub(super) fn decision_name(decision: Decision) -> &'static str {
    match decision {
        Decision::Promote => "on",
        Decision::RollBack => "back",
    }
}
