//! Reads the gateways' counters, logs and resource usage at the end of a run.

use super::error::SitesError;
use super::harness::{Gateway, TestHarness, UsageSample};
use super::report::{GatewaySummary, GatewayUsage, Report};
use crate::simulation::{Answer, ClientRequest, Simulation, LATENCY_OBJECTIVE};

/// Adds the gateways' counters, logs and resource usage to a report. With flow export, also shuts the gateways down, because
/// they log their flow export totals then.
pub(super) fn add_usage(
    report: &mut Report,
    harness: &mut TestHarness,
    simulation: &Simulation,
) -> Result<(), SitesError> {
    for index in 0..harness.gateways.len() {
        harness.collect_counters(index);
        let is_expected_alive = simulation.gateways[index].is_alive;
        add_gateway(report, &mut harness.gateways[index], is_expected_alive);
    }
    report.processor_time_per_request_us /= report.accepted.max(1) as f64;
    for samples in harness.usage_samples.windows(2) {
        add_span(report, &samples[0], &samples[1], simulation);
    }
    report.gateway_summaries = harness
        .gateways
        .iter()
        .enumerate()
        .map(|(index, gateway)| summarize(index, gateway, simulation))
        .collect();
    if harness.scenario.flow_export.is_some() {
        for process in harness.gateways.iter_mut().flat_map(|g| &mut g.process) {
            report.flow_export_log.extend(process.shut_down()?);
        }
    }
    report.round_trip_ms = harness
        .send_command(0, "status")
        .and_then(|status| status["members"][0]["round_trip_ms"].as_f64())
        .unwrap_or(0.0);
    Ok(())
}

fn add_gateway(report: &mut Report, gateway: &mut Gateway, is_expected_alive: bool) {
    if let Some(process) = &mut gateway.process {
        let usage = process.resource_usage();
        report.memory_mb = report.memory_mb.max(usage.memory_mb);
        report.processor_time_per_request_us += usage.processor_time_us;
        process.read_log();
        report.logged_violations += process.violations.len() as u64;
        report.crashes += u64::from(is_expected_alive && !process.is_running());
        for line in &process.violations {
            eprintln!("{}: {line}", gateway.name);
        }
    }
    report.forwarded += gateway.counters.forwarded;
    report.forwards_refused += gateway.counters.refused;
    report.forwards_succeeded += gateway.counters.succeeded;
    report.traffic_moves += gateway.counters.traffic_moves;
}

/// Adds the usage between two samples.
fn add_span(
    report: &mut Report,
    before: &UsageSample,
    after: &UsageSample,
    simulation: &Simulation,
) {
    let requests = &simulation.requests[before.request_count..after.request_count];
    let usages: Vec<GatewayUsage> = before
        .processor_time_us
        .iter()
        .zip(&after.processor_time_us)
        .enumerate()
        .map(|(index, (before_us, after_us))| GatewayUsage {
            processor_time_us: after_us - before_us,
            requests: requests_of(index, requests).count(),
        })
        .collect();
    let processor_time_us: f64 = usages.iter().map(|usage| usage.processor_time_us).sum();
    let per_request = processor_time_us / requests.len().max(1) as f64;
    report.processor_time_per_request_by_span.push(per_request);
    report.usage_by_span.push(usages);
}

fn summarize(index: usize, gateway: &Gateway, simulation: &Simulation) -> GatewaySummary {
    let mut late = 0_u64;
    let mut latencies_ms = Vec::new();
    for request in requests_of(index, &simulation.requests) {
        let Some((answer, at)) = request.answer else {
            continue;
        };
        let latency = at - request.sent_at;
        late += u64::from(answer != Answer::Succeeded || latency > LATENCY_OBJECTIVE);
        latencies_ms.push(latency.as_seconds() * 1000.0);
    }
    latencies_ms.sort_by(f64::total_cmp);
    let p99 = latencies_ms.get(latencies_ms.len() * 99 / 100);
    let usage = gateway.process.as_ref().map(|p| p.resource_usage());
    GatewaySummary {
        late_ratio: late as f64 / latencies_ms.len().max(1) as f64,
        latency_p99_ms: p99.copied().unwrap_or(0.0),
        memory_mb: usage.map_or(0.0, |usage| usage.memory_mb),
    }
}

fn requests_of(
    gateway: usize,
    requests: &[ClientRequest],
) -> impl Iterator<Item = &ClientRequest> + '_ {
    requests
        .iter()
        .filter(move |request| request.gateway.is_some_and(|(index, _)| index == gateway))
}
