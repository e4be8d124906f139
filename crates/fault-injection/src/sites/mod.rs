//! The rehearsal of two sites with built gateways: faults by the seed and the switches, then what crossed the
//! sockets is checked against the rules, and set beside the same day with the link off.

mod configuration;
mod cost;
mod harness;
mod keys;
mod report;
mod rules;
mod run;
mod scenario;

pub use cost::{cost, Cost};
pub use report::{Report, Times};
pub use run::once;
pub use scenario::Day;

/// Plays a day with the link, then without it, and sets the two side by side.
pub fn play(day: &Day, mut progress: impl FnMut(f64)) -> Result<Report, String> {
    let mut report = once(day, true, &mut |part| progress(part / 2.0))?;
    let alone = once(day, false, &mut |part| progress(0.5 + part / 2.0))?;
    report.revenue_share_alone = alone.revenue_share;
    let r = &report;
    let broken = r.answered_twice + r.unanswered + r.once_only_run_twice + r.repeats_outside_memory;
    let broken = broken + r.after_drain + r.cold_pushed_over + r.broken_lines + r.crashes;
    report.rules_kept = broken == 0;
    report.ok = report.rules_kept && report.taken > 0;
    Ok(report)
}
