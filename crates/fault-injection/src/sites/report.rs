//! What a run on two sites reports.

use hdrhistogram::Histogram;
use serde::Serialize;

#[derive(Debug, Default, Serialize)]
pub struct LatencyPercentiles {
    #[serde(rename = "p50")]
    pub p50_ms: f64,
    #[serde(rename = "p99")]
    pub p99_ms: f64,
}

#[derive(Debug, Default, Serialize)]
pub struct Report {
    #[serde(rename = "taken")]
    pub accepted: u64,
    pub answered_once: u64,
    pub answered_twice: u64,
    pub unanswered: u64,
    #[serde(rename = "once_only_run_twice")]
    pub non_idempotent_run_twice: u64,
    #[serde(rename = "repeats_outside_memory")]
    pub repeats_outside_window: u64,
    #[serde(rename = "after_drain")]
    pub requests_after_drain: u64,
    #[serde(rename = "cold_pushed_over")]
    pub overloaded_warming_endpoints: u64,
    #[serde(rename = "broken_lines")]
    pub logged_violations: u64,
    pub crashes: u64,
    #[serde(rename = "crossed")]
    pub forwarded: u64,
    #[serde(rename = "crossed_refused")]
    pub forwards_refused: u64,
    #[serde(rename = "crossed_settled")]
    pub forwards_succeeded: u64,
    #[serde(rename = "moves")]
    pub traffic_moves: u64,
    #[serde(rename = "revenue_share")]
    pub served_weight_ratio: f64,
    #[serde(rename = "revenue_share_alone")]
    pub served_weight_ratio_without_link: f64,
    #[serde(rename = "revenue_ceiling")]
    pub max_served_weight_ratio: f64,
    /// Times of answers to requests that ran at the other site, and at their own.
    #[serde(rename = "crossing_ms")]
    pub forwarded_latency: LatencyPercentiles,
    #[serde(rename = "home_ms")]
    pub local_latency: LatencyPercentiles,
    pub memory_mb: f64,
    /// Processor time a request, of the gateways that only took clients' requests, in microseconds.
    #[serde(rename = "cpu_a_txn")]
    pub processor_time_per_request_us: f64,
    /// The same in each span between the script's marks.
    #[serde(skip)]
    pub processor_time_per_request_by_span: Vec<f64>,
    /// In each such span: processor time and requests of each gateway.
    #[serde(skip)]
    pub usage_by_span: Vec<Vec<(f64, usize)>>,
    /// Of each gateway: the part of its requests not settled in time, their p99 in ms, its memory in MB.
    #[serde(skip)]
    pub gateway_summaries: Vec<(f64, f64, f64)>,
    /// What gateways with export said of it at their end.
    #[serde(skip)]
    pub flow_export_log: Vec<String>,
    pub round_trip_ms: f64,
    #[serde(rename = "rig_late_ms")]
    pub largest_loop_delay_ms: f64,
    pub datagrams: u64,
    pub datagrams_dropped: u64,
    pub rules_kept: bool,
    pub ok: bool,
}

pub(super) fn latency_percentiles(values: &Histogram<u64>) -> LatencyPercentiles {
    LatencyPercentiles {
        p50_ms: values.value_at_quantile(0.5) as f64 / 1000.0,
        p99_ms: values.value_at_quantile(0.99) as f64 / 1000.0,
    }
}
