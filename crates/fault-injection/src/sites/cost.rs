//! Measures what forwarding costs, compared with serving requests locally.

use serde::Serialize;

use super::error::SitesError;
use super::report::Report;
use super::run::run_scenario;
use super::scenario::Scenario;
use crate::simulation::{ScenarioStep, SLOW_START_DURATION};
use crate::statistics::median;

const GATEWAYS_PER_SITE: usize = 2;
const ENDPOINTS_PER_SITE: usize = 4;
/// Time from the start of the clients to the first period.
const LEAD_IN_SECONDS: f64 = 1.0;
/// In each period, the measured time with local serving, and the measured time with forwarding.
const MEASURED_SECONDS: f64 = 5.0;
/// Time from a command until all traffic has moved.
const SETTLING_SECONDS: f64 = 1.0;
/// Spans between the usage samples of a period: local, settling, forwarded, returning.
const SPANS_PER_PERIOD: usize = 4;
const LOCAL_SPAN: usize = 0;
const FORWARDED_SPAN: usize = 2;

/// What forwarding costs, compared with serving requests locally.
#[derive(Debug, Default, Serialize)]
pub struct ForwardingCost {
    /// Median latency of forwarded requests minus that of local ones, in milliseconds.
    pub added_ms: f64,
    /// Shortest round trip between the sites, in milliseconds.
    pub round_trip_ms: f64,
    /// `added_ms` minus the round trip.
    #[serde(rename = "added_over_round_trip_ms")]
    pub added_beyond_round_trip_ms: f64,
    /// Processor time per request of all gateways while the first site forwards its requests, which are half of all requests,
    /// divided by the processor time per request without forwarding.
    #[serde(rename = "cpu_half_across_over_home")]
    pub processor_time_ratio_half_forwarded: f64,
    /// Processor time of a forwarded request divided by that of a local request, derived from
    /// `processor_time_ratio_half_forwarded`.
    #[serde(rename = "cpu_across_over_home")]
    pub processor_time_ratio_forwarded: f64,
    /// Processor time per request of gateways with an idle link to the other site, divided by that of gateways without a link.
    #[serde(rename = "cpu_idle_link_over_without")]
    pub processor_time_ratio_idle_link: f64,
    /// Forwarded requests.
    #[serde(rename = "crossed")]
    pub forwarded: u64,
    /// No rule was violated.
    pub rules_kept: bool,
    /// No rule was violated, and requests were forwarded.
    pub ok: bool,
}

/// Measures the cost of forwarding. In each period, drains the first site manually and lets its traffic return. Then runs the
/// same scenario without the link, for comparison.
///
/// # Errors
///
/// A gateway does not start, or a socket or file can't be opened.
pub fn measure_forwarding_cost(
    seed: u64,
    periods: usize,
    requests_per_second: f64,
    mut progress: impl FnMut(f64),
) -> Result<ForwardingCost, SitesError> {
    let scenario = Scenario {
        seed,
        duration_seconds: LEAD_IN_SECONDS + periods as f64 * period_seconds(),
        gateways_per_site: GATEWAYS_PER_SITE,
        endpoints_per_site: ENDPOINTS_PER_SITE,
        requests_per_second,
        first_site_load_ratio: 1.0,
        shares_idempotency_group: true,
        extra_steps: (0..periods).flat_map(period_steps).collect(),
        ..Scenario::default()
    };
    let linked = run_scenario(&scenario, true, &mut |ratio| progress(ratio / 2.0))?;
    let unlinked = run_scenario(&scenario, false, &mut |ratio| progress(0.5 + ratio / 2.0))?;
    Ok(compare(&linked, &unlinked))
}

fn period_seconds() -> f64 {
    let return_seconds = SLOW_START_DURATION.as_seconds() + SETTLING_SECONDS;
    2.0 * MEASURED_SECONDS + return_seconds + SETTLING_SECONDS
}

/// The steps of a period: local serving, then forwarding, with a usage sample at the start and end of each.
fn period_steps(period: usize) -> Vec<(f64, ScenarioStep)> {
    let start = LEAD_IN_SECONDS + period as f64 * period_seconds();
    let drain = start + MEASURED_SECONDS;
    let forwarded = drain + SETTLING_SECONDS;
    let resume = start + 2.0 * MEASURED_SECONDS + SETTLING_SECONDS;
    let command = |command| ScenarioStep::SendCommand { site: 0, command };
    vec![
        (start, ScenarioStep::RecordUsage),
        (drain, ScenarioStep::RecordUsage),
        (drain, command("drain")),
        (forwarded, ScenarioStep::RecordUsage),
        (resume, ScenarioStep::RecordUsage),
        (resume, command("resume")),
    ]
}

fn compare(linked: &Report, unlinked: &Report) -> ForwardingCost {
    let local = median_processor_time(linked, LOCAL_SPAN);
    let ratio = median_processor_time(linked, FORWARDED_SPAN) / local;
    let added_ms = linked.forwarded_latency.p50_ms - linked.local_latency.p50_ms;
    let violations = linked.unanswered
        + linked.answered_twice
        + linked.non_idempotent_run_twice
        + linked.logged_violations;
    let rules_kept = violations == 0;
    ForwardingCost {
        added_ms,
        round_trip_ms: linked.round_trip_ms,
        added_beyond_round_trip_ms: added_ms - linked.round_trip_ms,
        processor_time_ratio_half_forwarded: ratio,
        processor_time_ratio_forwarded: 2.0 * ratio - 1.0,
        processor_time_ratio_idle_link: local / median_processor_time(unlinked, LOCAL_SPAN),
        forwarded: linked.forwarded,
        rules_kept,
        ok: rules_kept && linked.forwarded > 0,
    }
}

/// The median over all periods of the processor time per request in the span with this position in its period.
fn median_processor_time(report: &Report, span: usize) -> f64 {
    let spans = report.processor_time_per_request_by_span.iter();
    median(
        spans
            .skip(span)
            .step_by(SPANS_PER_PERIOD)
            .copied()
            .collect(),
    )
}
