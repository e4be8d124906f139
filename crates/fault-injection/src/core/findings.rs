//! What is found, over all seeds. The names of the fields in JSON are part of the command line's interface.

use serde::Serialize;

/// Traffic of one gateway may move at most so often within a minute.
const MAX_TRAFFIC_MOVES_PER_MINUTE: u64 = 10;

/// What is found, over all seeds.
#[derive(Debug, Default, Serialize)]
pub struct Findings {
    /// Seeds played.
    pub seeds: u64,
    /// Requests received by a gateway that lived on.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Those of them with one answer.
    pub answered_once: u64,
    /// Requests with a second answer.
    pub answered_twice: u64,
    /// Accepted requests without an answer.
    pub unanswered: u64,
    /// Accepted requests answered after their deadline.
    pub late: u64,
    /// Requests that are not idempotent and ran more than once.
    #[serde(rename = "once_only_run_twice")]
    pub non_idempotent_run_twice: u64,
    /// Requests with an idempotency key that ran where, or when, it was not remembered.
    #[serde(rename = "repeats_outside_memory")]
    pub repeats_outside_window: u64,
    /// Requests that succeeded and never ran.
    #[serde(rename = "settled_without_run")]
    pub succeeded_without_run: u64,
    /// Requests that were rejected with the promise of no effect, and ran.
    #[serde(rename = "declined_but_ran")]
    pub rejected_but_ran: u64,
    /// Inbound requests that a drained gateway accepted.
    #[serde(rename = "taken_while_drained")]
    pub accepted_while_drained: u64,
    /// Requests forwarded to the other site.
    #[serde(rename = "crossed")]
    pub forwarded: u64,
    /// Those of them that succeeded there.
    #[serde(rename = "crossed_settled")]
    pub forwards_succeeded: u64,
    /// How often a gateway's traffic moved to the other site within a minute, at the most.
    #[serde(rename = "most_moves_a_minute")]
    pub max_traffic_moves_per_minute: u64,
    /// Forwarded and inbound requests still open at the end.
    #[serde(rename = "left_owed")]
    pub left_open: u64,
    /// The first seed that violated a rule.
    #[serde(rename = "first_bad_seed")]
    pub first_violating_seed: Option<u64>,
    /// All properties hold.
    pub ok: bool,
}

impl Findings {
    /// How often a rule was violated.
    pub(super) fn violations(&self) -> u64 {
        let of_answers =
            self.answered_twice + self.unanswered + self.late + self.succeeded_without_run;
        let of_runs =
            self.non_idempotent_run_twice + self.repeats_outside_window + self.rejected_but_ran;
        of_answers + of_runs + self.accepted_while_drained + self.left_open
    }

    /// No rule was violated, traffic moved no more often than it may, and requests were forwarded.
    pub(super) fn all_properties_hold(&self) -> bool {
        self.violations() == 0
            && self.max_traffic_moves_per_minute <= MAX_TRAFFIC_MOVES_PER_MINUTE
            && self.forwards_succeeded > 0
    }

    /// Adds what was found with one more seed.
    pub(super) fn add(&mut self, seed: &Findings) {
        self.seeds += 1;
        self.accepted += seed.accepted;
        self.answered_once += seed.answered_once;
        self.answered_twice += seed.answered_twice;
        self.unanswered += seed.unanswered;
        self.late += seed.late;
        self.non_idempotent_run_twice += seed.non_idempotent_run_twice;
        self.repeats_outside_window += seed.repeats_outside_window;
        self.succeeded_without_run += seed.succeeded_without_run;
        self.rejected_but_ran += seed.rejected_but_ran;
        self.accepted_while_drained += seed.accepted_while_drained;
        self.forwarded += seed.forwarded;
        self.forwards_succeeded += seed.forwards_succeeded;
        self.max_traffic_moves_per_minute = self
            .max_traffic_moves_per_minute
            .max(seed.max_traffic_moves_per_minute);
        self.left_open += seed.left_open;
    }
}
