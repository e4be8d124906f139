//! What is checked, over all seeds played.

use serde::Serialize;

/// What is checked, over all seeds played.
#[derive(Debug, Default, Serialize)]
pub struct Findings {
    pub seeds: u64,
    #[serde(rename = "taken")]
    pub accepted: u64,
    pub answered_once: u64,
    pub answered_twice: u64,
    pub unanswered: u64,
    pub late: u64,
    #[serde(rename = "once_only_run_twice")]
    pub non_idempotent_run_twice: u64,
    #[serde(rename = "repeats_outside_memory")]
    pub repeats_outside_window: u64,
    #[serde(rename = "settled_without_run")]
    pub succeeded_without_run: u64,
    #[serde(rename = "declined_but_ran")]
    pub rejected_but_ran: u64,
    #[serde(rename = "taken_while_drained")]
    pub accepted_while_drained: u64,
    #[serde(rename = "crossed")]
    pub forwarded: u64,
    #[serde(rename = "crossed_settled")]
    pub forwards_succeeded: u64,
    #[serde(rename = "most_moves_a_minute")]
    pub max_traffic_moves_per_minute: u64,
    #[serde(rename = "left_owed")]
    pub left_open: u64,
    #[serde(rename = "first_bad_seed")]
    pub first_violating_seed: Option<u64>,
    pub ok: bool,
}

impl Findings {
    pub(super) fn violations(&self) -> u64 {
        let of_answers =
            self.answered_twice + self.unanswered + self.late + self.succeeded_without_run;
        let of_runs =
            self.non_idempotent_run_twice + self.repeats_outside_window + self.rejected_but_ran;
        of_answers + of_runs + self.accepted_while_drained + self.left_open
    }
}
