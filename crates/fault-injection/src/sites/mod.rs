//! Fault injection for two sites of built gateways on sockets. Checks the observations against the rules, and compares them
//! with the same scenario without the link between the sites.
//!
//! [`Scenario`] holds the parameters, and `timeline` turns them into steps. `harness` owns the gateways, and `steps` executes
//! each step on them. `rules` checks the observations; `usage` adds the gateways' counters and resource usage.

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

/// Runs a scenario with the link between the sites, then without it. The report is that of the first run, with the served
/// weight of the second.
///
/// # Errors
///
/// A gateway does not start, or a socket or file can't be opened.
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
