//! What a crossing costs beside a request served at home.

use serde::Serialize;

use super::report::Report;
use super::run::run_scenario;
use super::scenario::Scenario;
use crate::simulation::{ScenarioStep, SLOW_START_DURATION};

/// What a crossing costs beside a request served at home, in one run.
#[derive(Debug, Default, Serialize)]
pub struct ForwardingCost {
    /// Median time of crossed requests over that of those served at home, and the link's own round trip.
    pub added_ms: f64,
    pub round_trip_ms: f64,
    #[serde(rename = "added_over_round_trip_ms")]
    pub added_beyond_round_trip_ms: f64,
    /// Processor time of all gateways a request while the first site's requests cross, over that while they stay.
    #[serde(rename = "cpu_half_across_over_home")]
    pub processor_time_ratio_half_forwarded: f64,
    /// The same for one request that crosses, over one that stays: half of all requests are the first site's.
    #[serde(rename = "cpu_across_over_home")]
    pub processor_time_ratio_forwarded: f64,
    /// Processor time a request with an idle link, over that without the file.
    #[serde(rename = "cpu_idle_link_over_without")]
    pub processor_time_ratio_idle_link: f64,
    #[serde(rename = "crossed")]
    pub forwarded: u64,
    pub rules_kept: bool,
    pub ok: bool,
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// Drains the first site by hand and lets it come home, again and again; then plays as long without the file.
pub fn measure_forwarding_cost(
    seed: u64,
    periods: usize,
    rate: f64,
    mut progress: impl FnMut(f64),
) -> Result<ForwardingCost, String> {
    let home = SLOW_START_DURATION.as_seconds() + 1.0;
    let (spell, period) = (5.0, 2.0 * 5.0 + home + 1.0);
    let mut more = Vec::new();
    for n in 0..periods {
        let from = 1.0 + n as f64 * period;
        // Home, then across: marks at both ends of each.
        more.extend([
            (from, ScenarioStep::RecordUsage),
            (from + spell, ScenarioStep::RecordUsage),
        ]);
        more.push((
            from + spell,
            ScenarioStep::SendCommand {
                site: 0,
                command: "drain",
            },
        ));
        more.extend([
            (from + spell + 1.0, ScenarioStep::RecordUsage),
            (from + 2.0 * spell + 1.0, ScenarioStep::RecordUsage),
        ]);
        more.push((
            from + 2.0 * spell + 1.0,
            ScenarioStep::SendCommand {
                site: 0,
                command: "resume",
            },
        ));
    }
    let seconds = 1.0 + periods as f64 * period;
    let scenario = Scenario {
        seed,
        duration_seconds: seconds,
        gateways_per_site: 2,
        endpoints_per_site: 4,
        requests_per_second: rate,
        first_site_load_ratio: 1.0,
        shares_idempotency_group: true,
        extra_steps: more,
        ..Scenario::default()
    };
    let with = run_scenario(&scenario, true, &mut |part| progress(part / 2.0))?;
    let without = run_scenario(&scenario, false, &mut |part| progress(0.5 + part / 2.0))?;
    // Spans in turn: home, settling, across, coming home.
    let every = |report: &Report, first: usize| {
        report
            .processor_time_per_request_by_span
            .iter()
            .skip(first)
            .step_by(4)
            .copied()
            .collect()
    };
    let (at_home, across) = (median(every(&with, 0)), median(every(&with, 2)));
    let added = with.forwarded_latency.p50_ms - with.local_latency.p50_ms;
    let ratio = across / at_home;
    let kept = with.unanswered
        + with.answered_twice
        + with.non_idempotent_run_twice
        + with.logged_violations
        == 0;
    Ok(ForwardingCost {
        added_ms: added,
        round_trip_ms: with.round_trip_ms,
        added_beyond_round_trip_ms: added - with.round_trip_ms,
        processor_time_ratio_half_forwarded: ratio,
        processor_time_ratio_forwarded: 2.0 * ratio - 1.0,
        processor_time_ratio_idle_link: at_home / median(every(&without, 0)),
        forwarded: with.forwarded,
        rules_kept: kept,
        ok: kept && with.forwarded > 0,
    })
}
