//! What a run on two sites reports.

use hdrhistogram::Histogram;
use serde::Serialize;

#[derive(Debug, Default, Serialize)]
pub struct Times {
    pub p50: f64,
    pub p99: f64,
}

#[derive(Debug, Default, Serialize)]
pub struct Report {
    pub taken: u64,
    pub answered_once: u64,
    pub answered_twice: u64,
    pub unanswered: u64,
    pub once_only_run_twice: u64,
    pub repeats_outside_memory: u64,
    pub after_drain: u64,
    pub cold_pushed_over: u64,
    pub broken_lines: u64,
    pub crashes: u64,
    pub crossed: u64,
    pub crossed_refused: u64,
    pub crossed_settled: u64,
    pub moves: u64,
    pub revenue_share: f64,
    pub revenue_share_alone: f64,
    pub revenue_ceiling: f64,
    /// Times of answers to requests that ran at the other site, and at their own.
    pub crossing_ms: Times,
    pub home_ms: Times,
    pub memory_mb: f64,
    /// Processor time a request, of the gateways that only took clients' requests, in microseconds.
    pub cpu_a_txn: f64,
    /// The same in each span between the script's marks.
    #[serde(skip)]
    pub marked: Vec<f64>,
    /// In each such span: processor time and requests of each gateway.
    #[serde(skip)]
    pub by_gateway: Vec<Vec<(f64, usize)>>,
    /// Of each gateway: the part of its requests not settled in time, their p99 in ms, its memory in MB.
    #[serde(skip)]
    pub of_gateways: Vec<(f64, f64, f64)>,
    /// What gateways with export said of it at their end.
    #[serde(skip)]
    pub last_lines: Vec<String>,
    pub round_trip_ms: f64,
    pub rig_late_ms: f64,
    pub datagrams: u64,
    pub datagrams_dropped: u64,
    pub rules_kept: bool,
    pub ok: bool,
}

pub(super) fn times(values: &Histogram<u64>) -> Times {
    Times {
        p50: values.value_at_quantile(0.5) as f64 / 1000.0,
        p99: values.value_at_quantile(0.99) as f64 / 1000.0,
    }
}
