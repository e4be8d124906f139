//! What the deployment controller reads and writes. The names of its JSON forms and its path stand in this file.

use harrierdock_lease::Epoch;
use harrierdock_rollout_controller::{Ballot, Way};
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
    pub(super) vote: Ballot,
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
        let wave = self.vote.wave;
        json!({
            "image": wave.build.0,
            "ring": wave.stage,
            "way": way_name(self.vote.way),
            "epoch": self.epoch.0,
            "gateway": self.gateway,
            "start": self.incarnation,
            "again": self.is_retry,
        })
        .to_string()
    }
}

/// A direction as commands and log lines say it.
pub(super) fn way_name(way: Way) -> &'static str {
    match way {
        Way::On => "on",
        Way::Back => "back",
    }
}
