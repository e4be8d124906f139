//! What is checked, over all seeds played.

use serde::Serialize;

/// What is checked, over all seeds played.
#[derive(Debug, Default, Serialize)]
pub struct Findings {
    pub seeds: u64,
    pub taken: u64,
    pub answered_once: u64,
    pub answered_twice: u64,
    pub unanswered: u64,
    pub late: u64,
    pub once_only_run_twice: u64,
    pub repeats_outside_memory: u64,
    pub settled_without_run: u64,
    pub declined_but_ran: u64,
    pub taken_while_drained: u64,
    pub crossed: u64,
    pub crossed_settled: u64,
    pub most_moves_a_minute: u64,
    pub left_owed: u64,
    pub first_bad_seed: Option<u64>,
    pub ok: bool,
}

impl Findings {
    pub(super) fn broken(&self) -> u64 {
        let of_answers =
            self.answered_twice + self.unanswered + self.late + self.settled_without_run;
        let of_runs =
            self.once_only_run_twice + self.repeats_outside_memory + self.declined_but_ran;
        of_answers + of_runs + self.taken_while_drained + self.left_owed
    }
}
