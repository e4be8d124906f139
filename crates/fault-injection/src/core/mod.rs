//! Two sites without sockets: the deciding parts of several gateways on a simulated network, in simulated time.
//! Letters are lost, repeated and put out of order, links are cut one way or both, gateways are killed and
//! start anew, sites vanish and are drained; then the rules are checked on all that happened.

mod actions;
mod endpoints;
mod event;
mod faults;
mod findings;
mod network;
mod request_classes;
mod rules;
mod simulation;

pub use findings::Findings;
use simulation::NetworkSimulation;

/// Plays seeds, one after another, and adds up what was found.
pub fn play(first: u64, seeds: u64, gateways: usize, mut progress: impl FnMut(u64)) -> Findings {
    let mut all = Findings::default();
    for seed in first..first + seeds {
        let findings = NetworkSimulation::new(seed, gateways).play();
        if findings.violations() > 0 && all.first_violating_seed.is_none() {
            all.first_violating_seed = Some(seed);
        }
        all.seeds += 1;
        all.accepted += findings.accepted;
        all.answered_once += findings.answered_once;
        all.answered_twice += findings.answered_twice;
        all.unanswered += findings.unanswered;
        all.late += findings.late;
        all.non_idempotent_run_twice += findings.non_idempotent_run_twice;
        all.repeats_outside_window += findings.repeats_outside_window;
        all.succeeded_without_run += findings.succeeded_without_run;
        all.rejected_but_ran += findings.rejected_but_ran;
        all.accepted_while_drained += findings.accepted_while_drained;
        all.forwarded += findings.forwarded;
        all.forwards_succeeded += findings.forwards_succeeded;
        all.max_traffic_moves_per_minute = all
            .max_traffic_moves_per_minute
            .max(findings.max_traffic_moves_per_minute);
        all.left_open += findings.left_open;
        progress(seed);
    }
    all.ok = all.violations() == 0
        && all.max_traffic_moves_per_minute <= 10
        && all.forwards_succeeded > 0;
    all
}
