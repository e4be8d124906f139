//! What a run on two sites reports. The names of its fields in JSON are part of the command line's interface; this file alone
//! maps them.

use hdrhistogram::Histogram;
use serde::Serialize;

const MICROSECONDS_PER_MILLISECOND: f64 = 1000.0;

/// The distribution of latencies, in milliseconds.
#[derive(Debug, Default, Serialize)]
pub struct LatencyPercentiles {
    /// The median.
    #[serde(rename = "p50")]
    pub p50_ms: f64,
    /// The 99th percentile.
    #[serde(rename = "p99")]
    pub p99_ms: f64,
}

impl LatencyPercentiles {
    /// Of a histogram in microseconds.
    pub(super) fn of(latencies_us: &Histogram<u64>) -> LatencyPercentiles {
        let quantile_ms = |quantile| {
            latencies_us.value_at_quantile(quantile) as f64 / MICROSECONDS_PER_MILLISECOND
        };
        LatencyPercentiles {
            p50_ms: quantile_ms(0.5),
            p99_ms: quantile_ms(0.99),
        }
    }
}

/// What a gateway used between two samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GatewayUsage {
    /// Processor time in microseconds.
    pub processor_time_us: f64,
    /// Requests that it received.
    pub requests: usize,
}

/// How a gateway did over the whole run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GatewaySummary {
    /// The share of its answered requests that did not succeed within the latency objective.
    pub late_ratio: f64,
    /// The 99th percentile of its answers' latencies, in milliseconds.
    pub latency_p99_ms: f64,
    /// Resident memory at the end, in MiB.
    pub memory_mb: f64,
}

/// What was observed, and whether the rules hold.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Requests written whole to a gateway that lived on.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Those of them with one answer.
    pub answered_once: u64,
    /// Requests with a second answer.
    pub answered_twice: u64,
    /// Accepted requests without an answer.
    pub unanswered: u64,
    /// Requests that are not idempotent and ran more than once.
    #[serde(rename = "once_only_run_twice")]
    pub non_idempotent_run_twice: u64,
    /// Repeats that no idempotency group remembered.
    #[serde(rename = "repeats_outside_memory")]
    pub repeats_outside_window: u64,
    /// Requests that came to a drained endpoint or site.
    #[serde(rename = "after_drain")]
    pub requests_after_drain: u64,
    /// Warming endpoints that failed from overload.
    #[serde(rename = "cold_pushed_over")]
    pub overloaded_warming_endpoints: u64,
    /// Lines that the gateways logged on violated invariants or panics.
    #[serde(rename = "broken_lines")]
    pub logged_violations: u64,
    /// Gateways that ended by themselves.
    pub crashes: u64,
    /// Requests forwarded to the other site.
    #[serde(rename = "crossed")]
    pub forwarded: u64,
    /// Those of them that it did not serve.
    #[serde(rename = "crossed_refused")]
    pub forwards_refused: u64,
    /// Those of them that succeeded there.
    #[serde(rename = "crossed_settled")]
    pub forwards_succeeded: u64,
    /// How often traffic has begun to go elsewhere.
    #[serde(rename = "moves")]
    pub traffic_moves: u64,
    /// Priority weight of requests that succeeded in time over that of all, in the ten seconds after the fault.
    #[serde(rename = "revenue_share")]
    pub served_weight_ratio: f64,
    /// The same without the link between the sites.
    #[serde(rename = "revenue_share_alone")]
    pub served_weight_ratio_without_link: f64,
    /// The most that the endpoints' capacity allows.
    #[serde(rename = "revenue_ceiling")]
    pub max_served_weight_ratio: f64,
    /// Latencies of requests that ran at the other site.
    #[serde(rename = "crossing_ms")]
    pub forwarded_latency: LatencyPercentiles,
    /// Latencies of requests that ran at their own site.
    #[serde(rename = "home_ms")]
    pub local_latency: LatencyPercentiles,
    /// The largest resident memory of a gateway at the end, in MiB.
    pub memory_mb: f64,
    /// Processor time of all gateways for each accepted request, in microseconds.
    #[serde(rename = "cpu_a_txn")]
    pub processor_time_per_request_us: f64,
    /// The same for each span between two of the scenario's usage samples.
    #[serde(skip)]
    pub processor_time_per_request_by_span: Vec<f64>,
    /// What each gateway used in each such span.
    #[serde(skip)]
    pub usage_by_span: Vec<Vec<GatewayUsage>>,
    /// How each gateway did.
    #[serde(skip)]
    pub gateway_summaries: Vec<GatewaySummary>,
    /// What the gateways logged of flow export while they shut down.
    #[serde(skip)]
    pub flow_export_log: Vec<String>,
    /// The shortest round trip from the first gateway to its first peer of the other site, in milliseconds.
    pub round_trip_ms: f64,
    /// How late the event loop was at the most, in milliseconds.
    #[serde(rename = "rig_late_ms")]
    pub largest_loop_delay_ms: f64,
    /// Datagrams between the sites.
    pub datagrams: u64,
    /// Those of them that were dropped.
    pub datagrams_dropped: u64,
    /// No rule was violated.
    pub rules_kept: bool,
    /// The rules were kept, and requests came.
    pub ok: bool,
}

impl Report {
    /// How often a rule was violated.
    pub(super) fn violations(&self) -> u64 {
        self.answered_twice
            + self.unanswered
            + self.non_idempotent_run_twice
            + self.repeats_outside_window
            + self.requests_after_drain
            + self.overloaded_warming_endpoints
            + self.logged_violations
            + self.crashes
    }
}
