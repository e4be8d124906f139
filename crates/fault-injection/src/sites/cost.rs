//! What a crossing costs beside a request served at home.

use serde::Serialize;

use super::report::Report;
use super::run::once;
use super::scenario::Day;
use crate::simulation::{ScenarioStep, SLOW_START_DURATION};

/// What a crossing costs beside a request served at home, in one run.
#[derive(Debug, Default, Serialize)]
pub struct Cost {
    /// Median time of crossed requests over that of those served at home, and the link's own round trip.
    pub added_ms: f64,
    pub round_trip_ms: f64,
    pub added_over_round_trip_ms: f64,
    /// Processor time of all gateways a request while the first site's requests cross, over that while they stay.
    pub cpu_half_across_over_home: f64,
    /// The same for one request that crosses, over one that stays: half of all requests are the first site's.
    pub cpu_across_over_home: f64,
    /// Processor time a request with an idle link, over that without the file.
    pub cpu_idle_link_over_without: f64,
    pub crossed: u64,
    pub rules_kept: bool,
    pub ok: bool,
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// Drains the first site by hand and lets it come home, again and again; then plays as long without the file.
pub fn cost(
    seed: u64,
    periods: usize,
    rate: f64,
    mut progress: impl FnMut(f64),
) -> Result<Cost, String> {
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
    let day = Day {
        seed,
        seconds,
        gateways: 2,
        servers: 4,
        rate,
        skew: 1.0,
        spans: true,
        more,
        ..Day::default()
    };
    let with = once(&day, true, &mut |part| progress(part / 2.0))?;
    let without = once(&day, false, &mut |part| progress(0.5 + part / 2.0))?;
    // Spans in turn: home, settling, across, coming home.
    let every = |report: &Report, first: usize| {
        report
            .marked
            .iter()
            .skip(first)
            .step_by(4)
            .copied()
            .collect()
    };
    let (at_home, across) = (median(every(&with, 0)), median(every(&with, 2)));
    let added = with.crossing_ms.p50 - with.home_ms.p50;
    let ratio = across / at_home;
    let kept =
        with.unanswered + with.answered_twice + with.once_only_run_twice + with.broken_lines == 0;
    Ok(Cost {
        added_ms: added,
        round_trip_ms: with.round_trip_ms,
        added_over_round_trip_ms: added - with.round_trip_ms,
        cpu_half_across_over_home: ratio,
        cpu_across_over_home: 2.0 * ratio - 1.0,
        cpu_idle_link_over_without: at_home / median(every(&without, 0)),
        crossed: with.crossed,
        rules_kept: kept,
        ok: kept && with.crossed > 0,
    })
}
