//! Two sites with built gateways on sockets: faults by the seed and the switches, then what was observed is checked against
//! the rules, and compared with the same scenario without the link between the sites.
//!
//! [`Scenario`] says what is played, `timeline` when; `harness` owns the gateways and `steps` does to them what the scenario
//! asks for; `rules` checks what was observed, `usage` adds what the gateways used and counted.

mod configuration;
mod cost;
mod error;
mod harness;
mod report;
mod rules;
mod run;
mod scenario;
mod steps;
mod timeline;
mod usage;

pub use cost::{measure_forwarding_cost, ForwardingCost};
pub use error::SitesError;
pub use report::{GatewaySummary, GatewayUsage, LatencyPercentiles, Report};
pub use run::run_scenario;
pub use scenario::{FlowExport, Scenario};

/// Plays a scenario with the link, then without it, and compares the two.
///
/// # Errors
///
/// A gateway does not start, or a socket or file is not to be had.
pub fn run_with_and_without_link(
    scenario: &Scenario,
    mut progress: impl FnMut(f64),
) -> Result<Report, SitesError> {
    let mut report = run_scenario(scenario, true, &mut |ratio| progress(ratio / 2.0))?;
    let unlinked = run_scenario(scenario, false, &mut |ratio| progress(0.5 + ratio / 2.0))?;
    report.served_weight_ratio_without_link = unlinked.served_weight_ratio;
    report.rules_kept = report.violations() == 0;
    report.ok = report.rules_kept && report.accepted > 0;
    Ok(report)
}
