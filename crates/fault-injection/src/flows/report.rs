//! The report of one run, printed as JSON.

use std::collections::BTreeMap;

use serde::Serialize;

/// Counts of the gateways and the collector, costs of flow export, and whether the properties hold. Fields that end in
/// `with_export` or `without_export` are means over the gateways that export flows, or over those that don't.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Attempts and requests that the gateways logged, by `KIND BUILD CLASS`.
    #[serde(rename = "gateway_tally")]
    pub gateway_totals: BTreeMap<String, u64>,
    /// Attempts and requests that the collector counted, by the same keys.
    #[serde(rename = "collector_tally")]
    pub collector_totals: BTreeMap<String, u64>,
    /// Attempts and requests that the gateways logged as dropped, by kind.
    #[serde(rename = "reported_dropped")]
    pub logged_dropped: BTreeMap<String, u64>,
    /// Attempts and requests written right before a connection broke.
    pub in_doubt: u64,
    /// Whether for each kind the gateway total equals collected plus dropped, within the bound of `in_doubt`. If the collector
    /// dropped datagrams, whether the sequence numbers show as much missing as was dropped.
    #[serde(rename = "agree")]
    pub totals_agree: bool,
    /// Messages that the gateways sent.
    pub messages: u64,
    /// Records that the gateways encoded.
    pub records_sent: u64,
    /// Records that the collector received.
    pub records_collected: u64,
    /// Records (IPFIX) or messages (NetFlow v9) that the sequence numbers show to be missing.
    pub sequence_gap: u64,
    /// Datagrams that the collector dropped.
    #[serde(rename = "lost_on_the_way")]
    pub dropped_datagrams: u64,
    /// Occurrences of text from clients' requests in the received octets. Flow records must not contain any.
    pub client_data_found: u64,
    /// Messages that the collector couldn't decode.
    #[serde(rename = "faults")]
    pub malformed_messages: u64,
    #[serde(rename = "memory_mb_with")]
    pub memory_mb_with_export: f64,
    #[serde(rename = "memory_mb_without")]
    pub memory_mb_without_export: f64,
    /// The share of late requests.
    #[serde(rename = "late_share_with")]
    pub late_ratio_with_export: f64,
    #[serde(rename = "late_share_without")]
    pub late_ratio_without_export: f64,
    #[serde(rename = "p99_ms_with")]
    pub latency_p99_ms_with_export: f64,
    #[serde(rename = "p99_ms_without")]
    pub latency_p99_ms_without_export: f64,
    /// Processor time per request with export, divided by that without; the median over the usage samples.
    #[serde(rename = "cpu_ratio")]
    pub processor_time_ratio: f64,
    /// Octets per second that the surging gateway sent after the start of the surge, divided by those before it; `None` without
    /// a surge.
    pub surge_octets_ratio: Option<f64>,
    /// Whether the rules of the run on two sites hold.
    pub rules_kept: bool,
    /// Whether all properties hold.
    pub ok: bool,
}
