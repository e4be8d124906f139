//! The report over all seeds. The JSON field names are part of the command-line interface.

use serde::Serialize;

/// Limit of moves of one gateway's traffic to the other site within a minute.
const MAX_TRAFFIC_MOVES_PER_MINUTE: u64 = 10;

/// Counts of events and rule violations over all seeds.
#[derive(Debug, Default, Serialize)]
pub struct Findings {
    /// Number of seeds run.
    pub seeds: u64,
    /// Requests received by a gateway that was not restarted afterwards.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Accepted requests with exactly one answer.
    pub answered_once: u64,
    /// Requests with more than one answer.
    pub answered_twice: u64,
    /// Accepted requests without an answer.
    pub unanswered: u64,
    /// Accepted requests answered after their deadline.
    pub late: u64,
    /// Non-idempotent requests that ran more than once.
    #[serde(rename = "once_only_run_twice")]
    pub non_idempotent_run_twice: u64,
    /// Requests with an idempotency key that ran again outside the deduplication window or idempotency group.
    #[serde(rename = "repeats_outside_memory")]
    pub repeats_outside_window: u64,
    /// Requests that were answered as succeeded but never ran.
    #[serde(rename = "settled_without_run")]
    pub succeeded_without_run: u64,
    /// Requests that were rejected, which promises no effect, but ran.
    #[serde(rename = "declined_but_ran")]
    pub rejected_but_ran: u64,
    /// Inbound requests that a drained gateway accepted.
    #[serde(rename = "taken_while_drained")]
    pub accepted_while_drained: u64,
    /// Requests forwarded to the other site.
    #[serde(rename = "crossed")]
    pub forwarded: u64,
    /// Forwarded requests that succeeded at the other site.
    #[serde(rename = "crossed_settled")]
    pub forwards_succeeded: u64,
    /// Largest number of moves of one gateway's traffic to the other site within a minute.
    #[serde(rename = "most_moves_a_minute")]
    pub max_traffic_moves_per_minute: u64,
    /// Forwarded and inbound requests that are still open at the end.
    #[serde(rename = "left_owed")]
    pub left_open: u64,
    /// The first seed with a rule violation; `None` if there was none.
    #[serde(rename = "first_bad_seed")]
    pub first_violating_seed: Option<u64>,
    /// Whether no rule was violated, traffic moves stayed within their limit, and some forwarded request succeeded.
    pub ok: bool,
}

impl Findings {
    /// Total number of rule violations.
    pub(super) fn violations(&self) -> u64 {
        let answer_violations =
            self.answered_twice + self.unanswered + self.late + self.succeeded_without_run;
        let run_violations =
            self.non_idempotent_run_twice + self.repeats_outside_window + self.rejected_but_ran;
        answer_violations + run_violations + self.accepted_while_drained + self.left_open
    }

    /// Whether no rule was violated, traffic moves stayed within their limit, and some forwarded request succeeded.
    pub(super) fn all_properties_hold(&self) -> bool {
        self.violations() == 0
            && self.max_traffic_moves_per_minute <= MAX_TRAFFIC_MOVES_PER_MINUTE
            && self.forwards_succeeded > 0
    }

    /// Adds the findings of one more seed.
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
