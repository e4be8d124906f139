//! Fault injection of two sites without sockets: the multi-site decisions of several gateways run on a simulated network, in
//! simulated time. Messages are lost, repeated and reordered; paths are cut in one or both directions. Gateways are killed and
//! restarted; sites lose their endpoints and are drained. At the end of a run, its history is checked against the rules.
//!
//! [`Findings`] is the report. `simulation` owns the state. `event_handling` processes simulated events, and `actions` executes
//! the actions of the gateways. `network`, `endpoints` and `faults` simulate the environment, and `rules` checks the outcome.

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

/// Runs one simulation per seed and sums the findings. Calls `progress` with each completed seed.
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
