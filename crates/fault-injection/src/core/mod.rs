//! Two sites without sockets: the decisions of several gateways on a simulated network, in simulated time. Messages are lost,
//! repeated and reordered, the path is cut one way or both, gateways are killed and start anew, sites lose their endpoints and
//! are drained; then the rules are checked on all that happened.
//!
//! [`Findings`] is what is reported. `simulation` owns the state, `event_handling` and `actions` move it on, `network`,
//! `endpoints` and `faults` stand for what surrounds the gateways, and `rules` checks what came of it.

mod actions;
mod endpoints;
mod event;
mod event_handling;
mod faults;
mod findings;
mod network;
mod request_classes;
mod rules;
mod simulation;

pub use findings::Findings;
use simulation::NetworkSimulation;

/// Plays seeds, one after another, and adds up what was found.
pub fn run_seeds(
    first_seed: u64,
    seeds: u64,
    gateways_per_site: usize,
    mut progress: impl FnMut(u64),
) -> Findings {
    let mut total = Findings::default();
    for seed in first_seed..first_seed + seeds {
        let findings = NetworkSimulation::new(seed, gateways_per_site).run();
        if findings.violations() > 0 {
            total.first_violating_seed.get_or_insert(seed);
        }
        total.add(&findings);
        progress(seed);
    }
    total.ok = total.all_properties_hold();
    total
}
