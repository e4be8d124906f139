//! The rehearsal of two sites with built gateways: faults by the seed and the switches, then what crossed the
//! sockets is checked against the rules, and set beside the same scenario with the link off.

mod configuration;
mod cost;
mod harness;
mod keys;
mod report;
mod rules;
mod run;
mod scenario;

pub use cost::{measure_forwarding_cost, ForwardingCost};
pub use report::{LatencyPercentiles, Report};
pub use run::run_scenario;
pub use scenario::Scenario;

/// Plays a scenario with the link, then without it, and sets the two side by side.
pub fn play(scenario: &Scenario, mut progress: impl FnMut(f64)) -> Result<Report, String> {
    let mut report = run_scenario(scenario, true, &mut |part| progress(part / 2.0))?;
    let alone = run_scenario(scenario, false, &mut |part| progress(0.5 + part / 2.0))?;
    report.served_weight_ratio_without_link = alone.served_weight_ratio;
    let r = &report;
    let broken =
        r.answered_twice + r.unanswered + r.non_idempotent_run_twice + r.repeats_outside_window;
    let broken = broken
        + r.requests_after_drain
        + r.overloaded_warming_endpoints
        + r.logged_violations
        + r.crashes;
    report.rules_kept = broken == 0;
    report.ok = report.rules_kept && report.accepted > 0;
    Ok(report)
}
