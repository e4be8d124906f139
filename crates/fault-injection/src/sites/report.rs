//! The report of a run on two sites. The names of its fields in JSON are part of the command line's interface.

use hdrhistogram::Histogram;
use serde::Serialize;

const MICROSECONDS_PER_MILLISECOND: f64 = 1000.0;

/// Percentiles of latencies.
#[derive(Debug, Default, Serialize)]
pub struct LatencyPercentiles {
    #[serde(rename = "p50")]
    pub p50_ms: f64,
    #[serde(rename = "p99")]
    pub p99_ms: f64,
}

impl LatencyPercentiles {
    pub(super) fn from_histogram(latencies_us: &Histogram<u64>) -> LatencyPercentiles {
        let quantile_ms = |quantile| {
            latencies_us.value_at_quantile(quantile) as f64 / MICROSECONDS_PER_MILLISECOND
        };
        LatencyPercentiles {
            p50_ms: quantile_ms(0.5),
            p99_ms: quantile_ms(0.99),
        }
    }
}

/// What a gateway used between two usage samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GatewayUsage {
    pub processor_time_us: f64,
    /// Requests that clients sent to it.
    pub requests: usize,
}

/// Latency and memory of a gateway over the whole run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GatewaySummary {
    /// The share of its answered requests that did not succeed within the latency objective.
    pub late_ratio: f64,
    /// 99th percentile of the latencies of its answered requests.
    pub latency_p99_ms: f64,
    /// Resident memory at the end, in MiB.
    pub memory_mb: f64,
}

/// Observations of a run on two sites, and whether the rules hold.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Requests written whole to an incarnation that ran until the end.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Accepted requests with exactly one answer.
    pub answered_once: u64,
    /// Requests with a second answer.
    pub answered_twice: u64,
    /// Accepted requests without an answer.
    pub unanswered: u64,
    /// Requests that are not idempotent and ran more than once.
    #[serde(rename = "once_only_run_twice")]
    pub non_idempotent_run_twice: u64,
    /// Repeated requests that came after their idempotency group had forgotten the first.
    #[serde(rename = "repeats_outside_memory")]
    pub repeats_outside_window: u64,
    /// Requests that reached a drained endpoint or site.
    #[serde(rename = "after_drain")]
    pub requests_after_drain: u64,
    /// Warming endpoints that failed from overload.
    #[serde(rename = "cold_pushed_over")]
    pub overloaded_warming_endpoints: u64,
    /// Log lines of the gateways on violated invariants or panics.
    #[serde(rename = "broken_lines")]
    pub logged_violations: u64,
    /// Gateways that exited by themselves.
    pub crashes: u64,
    /// Requests forwarded to the other site.
    #[serde(rename = "crossed")]
    pub forwarded: u64,
    /// Forwarded requests that the other site refused.
    #[serde(rename = "crossed_refused")]
    pub forwards_refused: u64,
    /// Forwarded requests that succeeded at the other site.
    #[serde(rename = "crossed_settled")]
    pub forwards_succeeded: u64,
    /// How often a gateway's traffic started to move between the sites.
    #[serde(rename = "moves")]
    pub traffic_moves: u64,
    /// Priority weight of requests that succeeded within the latency objective, divided by that of all requests. Measured over
    /// ten seconds after the last fault.
    #[serde(rename = "revenue_share")]
    pub served_weight_ratio: f64,
    /// The `served_weight_ratio` of the run without the link between the sites.
    #[serde(rename = "revenue_share_alone")]
    pub served_weight_ratio_without_link: f64,
    /// The highest `served_weight_ratio` that the capacity of the endpoints allows.
    #[serde(rename = "revenue_ceiling")]
    pub max_served_weight_ratio: f64,
    /// Latencies of requests that succeeded at the other site.
    #[serde(rename = "crossing_ms")]
    pub forwarded_latency: LatencyPercentiles,
    /// Latencies of requests that succeeded at their own site.
    #[serde(rename = "home_ms")]
    pub local_latency: LatencyPercentiles,
    /// The largest resident memory of a gateway at the end, in MiB.
    pub memory_mb: f64,
    /// Processor time of all gateways per accepted request, in microseconds.
    #[serde(rename = "cpu_a_txn")]
    pub processor_time_per_request_us: f64,
    /// Processor time of all gateways per request, in microseconds, for each span between two usage samples.
    #[serde(skip)]
    pub processor_time_per_request_by_span: Vec<f64>,
    /// What each gateway used, for each span between two usage samples.
    #[serde(skip)]
    pub usage_by_span: Vec<Vec<GatewayUsage>>,
    /// One summary per gateway, by gateway index.
    #[serde(skip)]
    pub gateway_summaries: Vec<GatewaySummary>,
    /// Log lines on flow export from the shutdown of the gateways.
    #[serde(skip)]
    pub flow_export_log: Vec<String>,
    /// Shortest measured round trip from the first gateway to its first peer at the other site, in milliseconds.
    pub round_trip_ms: f64,
    /// The longest delay of the simulation's event loop, in milliseconds.
    #[serde(rename = "rig_late_ms")]
    pub largest_loop_delay_ms: f64,
    /// Datagrams between the sites.
    pub datagrams: u64,
    /// Datagrams between the sites that were dropped.
    pub datagrams_dropped: u64,
    /// No rule was violated.
    pub rules_kept: bool,
    /// No rule was violated, and requests were accepted.
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
