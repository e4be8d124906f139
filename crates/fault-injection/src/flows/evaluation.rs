//! Compares the collector's counts with the gateways' logs, and gateways that export flows with those that don't.

use std::collections::BTreeMap;

use super::gateway_log::LoggedTotals;
use super::{Report, Scenario};
use crate::collector::{Collector, Counts, RecordKey};
use crate::sites::{self, GatewaySummary};
use crate::statistics::median;

/// Kinds of records, in the order of [`LoggedTotals::dropped`].
const KINDS: [&str; 2] = ["submission", "txn"];

/// Texts of the clients' requests. Flow records must not contain any of them.
const CLIENT_DATA: [&[u8]; 6] = [
    b"hobart-",
    b"launceston-",
    b"key-",
    b"obj=",
    b"/api",
    b"lines",
];

/// The observation domain of the gateway whose share of requests surges.
const SURGE_DOMAIN: u32 = 1;
/// Seconds at the start of the run in which octets aren't compared.
const SURGE_SKIPPED_SECONDS: u64 = 3;
/// Seconds after the start of the surge in which octets aren't compared.
const SURGE_SETTLING_SECONDS: u64 = 2;

pub(super) fn evaluate(
    scenario: &Scenario,
    sites_report: &sites::Report,
    collector: &Collector,
) -> Result<Report, String> {
    let counts = collector.counts().map_err(|e| e.to_string())?;
    let logged = LoggedTotals::parse(&sites_report.flow_export_log)?;
    let mut report = Report {
        gateway_totals: name_totals(&logged.recorded),
        collector_totals: name_totals(&counts.totals),
        logged_dropped: KINDS
            .iter()
            .zip(logged.dropped)
            .map(|(kind, count)| (kind.to_string(), count))
            .collect(),
        in_doubt: logged.in_doubt,
        messages: logged.sent_messages,
        records_sent: logged.encoded_records,
        records_collected: counts.domains.values().map(|d| d.records).sum(),
        sequence_gap: counts.domains.values().map(|d| d.sequence_gap).sum(),
        dropped_datagrams: counts.dropped_datagrams,
        malformed_messages: counts.malformed_messages,
        client_data_found: count_client_data(&counts.raw),
        ..Report::default()
    };
    report.totals_agree = if counts.dropped_datagrams > 0 {
        sequence_numbers_show_loss(scenario, &counts, &report)
    } else {
        totals_agree(scenario, &counts, &logged)
    };
    compare_gateways(&mut report, sites_report);
    if scenario.has_surge {
        report.surge_octets_ratio = Some(surge_octets_ratio(scenario, &counts));
    }
    report.rules_kept = sites_report.answered_twice
        + sites_report.unanswered
        + sites_report.non_idempotent_run_twice
        == 0
        && sites_report.logged_violations
            + sites_report.crashes
            + sites_report.repeats_outside_window
            == 0;
    // A slow collector receives too little to compare.
    let is_collection_ok = scenario.is_collector_slow || report.totals_agree;
    report.ok = report.rules_kept
        && is_collection_ok
        && report.client_data_found == 0
        && !logged.recorded.is_empty();
    Ok(report)
}

fn name_totals(totals: &BTreeMap<RecordKey, u64>) -> BTreeMap<String, u64> {
    totals
        .iter()
        .map(|(key, count)| (format!("{} {} {}", key.kind, key.build, key.class), *count))
        .collect()
}

fn sum_of_kind(totals: &BTreeMap<RecordKey, u64>, kind: &str) -> u64 {
    totals
        .iter()
        .filter(|(key, _)| key.kind == kind)
        .map(|(_, count)| count)
        .sum::<u64>()
}

/// Whether everything that the gateways recorded was either collected or logged as dropped.
fn totals_agree(scenario: &Scenario, counts: &Counts, logged: &LoggedTotals) -> bool {
    let are_sums_complete = KINDS.iter().zip(logged.dropped).all(|(kind, dropped)| {
        let (recorded, accounted) = (
            sum_of_kind(&logged.recorded, kind),
            sum_of_kind(&counts.totals, kind) + dropped,
        );
        // Messages written right before a connection broke may or may not have arrived.
        accounted <= recorded + logged.in_doubt && accounted + logged.in_doubt >= recorded
    });
    let are_totals_equal = logged.dropped != [0; 2]
        || logged.in_doubt > 0
        || scenario.renames_endpoints
        || logged.recorded == counts.totals;
    are_sums_complete && are_totals_equal
}

/// Whether the sequence numbers show about as much missing as the collector dropped. Datagrams lost after the last received
/// one leave no gap.
fn sequence_numbers_show_loss(scenario: &Scenario, counts: &Counts, report: &Report) -> bool {
    let missing_records = report.records_sent.saturating_sub(report.records_collected);
    let missing = if scenario.wire_format == "v9" {
        counts.dropped_datagrams
    } else {
        missing_records
    };
    missing.abs_diff(report.sequence_gap) <= missing / 20 + 60
}

fn count_client_data(octets: &[u8]) -> u64 {
    let count_matches = |pattern: &[u8]| {
        octets
            .windows(pattern.len())
            .filter(|window| *window == pattern)
            .count() as u64
    };
    CLIENT_DATA.into_iter().map(count_matches).sum()
}

/// The first gateway of each site exports flows, the second doesn't.
fn is_exporting(gateway: usize) -> bool {
    gateway < 2
}

/// Fills in memory, latency and processor time with and without export.
fn compare_gateways(report: &mut Report, sites_report: &sites::Report) {
    let mean = |value_of: &dyn Fn(&GatewaySummary) -> f64, with_export: bool| {
        let values: Vec<f64> = sites_report
            .gateway_summaries
            .iter()
            .enumerate()
            .filter(|(gateway, _)| is_exporting(*gateway) == with_export)
            .map(|(_, summary)| value_of(summary))
            .collect();
        values.iter().sum::<f64>() / values.len().max(1) as f64
    };
    report.late_ratio_with_export = mean(&|g| g.late_ratio, true);
    report.late_ratio_without_export = mean(&|g| g.late_ratio, false);
    report.latency_p99_ms_with_export = mean(&|g| g.latency_p99_ms, true);
    report.latency_p99_ms_without_export = mean(&|g| g.latency_p99_ms, false);
    report.memory_mb_with_export = mean(&|g| g.memory_mb, true);
    report.memory_mb_without_export = mean(&|g| g.memory_mb, false);
    let ratios = sites_report.usage_by_span.iter().filter_map(|span| {
        let time_per_request = |with_export: bool| {
            let usages = span
                .iter()
                .enumerate()
                .filter(|(gateway, _)| is_exporting(*gateway) == with_export)
                .map(|(_, usage)| *usage);
            let (time_us, requests) = usages.fold((0.0, 0), |sum, usage| {
                (sum.0 + usage.processor_time_us, sum.1 + usage.requests)
            });
            (requests > 0).then(|| time_us / requests as f64)
        };
        Some(time_per_request(true)? / time_per_request(false).filter(|time| *time > 0.0)?)
    });
    report.processor_time_ratio = median(ratios.collect());
}

/// Octets per second from the surging gateway after the start of the surge, divided by those before it.
fn surge_octets_ratio(scenario: &Scenario, counts: &Counts) -> f64 {
    let surge_second = (scenario.duration_seconds / 2.0) as u64 + SURGE_SETTLING_SECONDS;
    let mean_octets = |is_compared: &dyn Fn(u64) -> bool| {
        let octets: Vec<u64> = counts
            .octets
            .iter()
            .filter(|((domain, second), _)| {
                *domain == SURGE_DOMAIN && *second > SURGE_SKIPPED_SECONDS && is_compared(*second)
            })
            .map(|(_, octets)| *octets)
            .collect();
        octets.iter().sum::<u64>() as f64 / octets.len().max(1) as f64
    };
    mean_octets(&|second| second > surge_second)
        / mean_octets(&|second| second < surge_second).max(1.0)
}
