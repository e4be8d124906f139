//! The report of one run, printed as JSON.

use std::collections::BTreeMap;

use serde::Serialize;

/// What the gateways and the collector counted, what export cost, and whether the properties hold. The fields that end in
/// `with_export` and `without_export` are means over the gateways that export flows and over those that don't.
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
    /// For each kind, gateway total = collected + dropped, within the bound of `in_doubt`. If the collector dropped
    /// datagrams, it says instead whether the sequence numbers show as much missing as was dropped.
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
    /// Places in the received octets with text of clients' requests, which no record may contain.
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
    /// Processor time for each request with export over that without; the median over the usage samples.
    #[serde(rename = "cpu_ratio")]
    pub processor_time_ratio: f64,
    /// Octets a second that the surging gateway sent to the collector after the surge, over those before it; `None`
    /// without a surge.
    pub surge_octets_ratio: Option<f64>,
    /// The rules of the two sites' run hold.
    pub rules_kept: bool,
    /// All properties hold.
    pub ok: bool,
}
