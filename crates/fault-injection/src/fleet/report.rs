//! Checks the observations of a fleet against the rules, and reports its costs. The JSON field names are part of the
//! command-line interface.

use std::collections::BTreeMap;

use harrierdock_types::TimeDelta;
use serde::Serialize;

use super::process_group::{Gateway, ProcessGroup, LEASES, MAX_ELECTORS};
use super::Scenario;
use crate::simulation::{
    Answer, ClientRequest, RequestClass, Simulation, LATENCY_OBJECTIVE, REQUEST_TIMEOUT,
};

/// A request counts as accepted only if its gateway wasn't stalled between the request and this long after its timeout.
const STALL_MARGIN_SECONDS: f64 = 0.5;
const MILLISECONDS_PER_SECOND: f64 = 1000.0;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Observations of a run, and whether the rules hold.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// No rule was violated, and requests and stage moves took place.
    pub ok: bool,
    pub seed: u64,
    /// The faults that were injected, as `KIND@T+D`.
    pub faults: Vec<String>,
    pub gateways: usize,
    /// Requests written whole to a gateway that was neither killed nor stalled before their timeout.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Accepted requests with exactly one answer.
    pub answered_once: u64,
    /// Accepted requests without an answer.
    #[serde(rename = "lost")]
    pub unanswered: u64,
    /// Requests with a second answer.
    pub answered_twice: u64,
    /// Requests that are not idempotent and ran more than once.
    #[serde(rename = "effects_twice")]
    pub non_idempotent_run_twice: u64,
    /// Commands under an epoch that another gateway or incarnation used before.
    pub two_holders: u64,
    /// Commands under an epoch older than the latest one.
    pub epochs_back: u64,
    /// Rollout stages that were moved.
    #[serde(rename = "waves_advanced")]
    pub stages_advanced: u64,
    /// Commands that a holder repeated although it had received the answer.
    #[serde(rename = "waves_double")]
    pub repeated_commands: u64,
    /// Votes sent to the rollout platform, although the lease holder applies votes.
    pub votes_at_platform: u64,
    /// The longest time without a holder by the gateways' logs, in milliseconds, by lease.
    #[serde(rename = "gap_ms")]
    pub longest_gap_ms: BTreeMap<String, f64>,
    /// The share of the time since the first acquisition in which the lease was held, by lease.
    #[serde(rename = "held_share")]
    pub held_ratio: BTreeMap<String, f64>,
    /// The longest time between two consecutive stage moves, in milliseconds.
    #[serde(rename = "wave_pause_ms")]
    pub longest_stage_pause_ms: f64,
    /// Priority weight of requests that succeeded within the latency objective, divided by that of all requests.
    #[serde(rename = "revenue_share")]
    pub served_weight_ratio: f64,
    /// The share of requests that were rejected.
    #[serde(rename = "declined_share")]
    pub rejected_ratio: f64,
    /// Bytes of fleet messages sent per gateway and second.
    #[serde(rename = "bytes_a_gateway_s")]
    pub bytes_per_gateway_second: f64,
    /// Bytes of lease messages per second, divided by leases and electors.
    #[serde(rename = "lease_bytes_an_elector_s")]
    pub lease_bytes_per_elector_second: f64,
    /// Mean processor time of a gateway, divided by the duration of the run.
    #[serde(rename = "cpu_share")]
    pub processor_time_ratio: f64,
    pub datagrams: u64,
    #[serde(rename = "datagrams_not_passed")]
    pub datagrams_dropped: u64,
    #[serde(rename = "datagrams_garbled")]
    pub datagrams_corrupted: u64,
    /// Log lines of the gateways on violated invariants or panics.
    #[serde(rename = "broken_lines")]
    pub logged_violations: u64,
    /// Gateways that exited by themselves, or with a failure.
    pub crashes: u64,
}

/// When a gateway held a lease, in seconds of Unix time.
#[derive(Clone, Copy)]
struct HeldSpan {
    from: f64,
    until: f64,
}

/// The spans in which a gateway held a lease, by its log lines. A span that is open at the end of the run ends there.
fn held_spans(gateway: &Gateway, lease: &str, run_end: f64) -> Vec<HeldSpan> {
    let (acquired, lost) = (
        format!(" fleet: acquired lease {lease},"),
        format!(" fleet: lost lease {lease},"),
    );
    let mut spans: Vec<HeldSpan> = Vec::new();
    let mut acquired_at = None;
    for line in &gateway.lease_log_of_exited {
        let Some(at) = line.split(' ').next().and_then(|t| t.parse::<f64>().ok()) else {
            continue;
        };
        if line.contains(&acquired) {
            acquired_at = Some(at);
        } else if let Some(from) = acquired_at.take_if(|_| line.contains(&lost)) {
            spans.push(HeldSpan { from, until: at });
        }
    }
    spans.extend(acquired_at.map(|from| HeldSpan {
        from,
        until: run_end,
    }));
    // A killed or stalled gateway logs no loss of its lease, but it no longer acts on it.
    for span in &mut spans {
        let stops = gateway
            .stopped_at_unix
            .iter()
            .filter(|stop| **stop >= span.from && **stop < span.until);
        span.until = stops.copied().fold(span.until, f64::min);
    }
    spans
}

/// How well a lease was held since its first holder acquired it.
struct LeaseCoverage {
    longest_gap_seconds: f64,
    held_ratio: f64,
}

fn measure_coverage(group: &ProcessGroup, lease: &str, run_end: f64) -> LeaseCoverage {
    let mut spans: Vec<HeldSpan> = group
        .gateways
        .iter()
        .flat_map(|gateway| held_spans(gateway, lease, run_end))
        .collect();
    spans.sort_by(|a, b| a.from.total_cmp(&b.from));
    let Some(&HeldSpan {
        from: first_held, ..
    }) = spans.first()
    else {
        return LeaseCoverage {
            longest_gap_seconds: f64::INFINITY,
            held_ratio: 0.0,
        };
    };
    let (mut held_until, mut longest_gap, mut unheld) = (first_held, 0.0_f64, 0.0);
    let end = HeldSpan {
        from: run_end,
        until: run_end,
    };
    for span in spans.into_iter().chain([end]) {
        let gap = (span.from.min(run_end) - held_until).max(0.0);
        (longest_gap, unheld) = (longest_gap.max(gap), unheld + gap);
        held_until = held_until.max(span.until);
    }
    LeaseCoverage {
        longest_gap_seconds: longest_gap,
        held_ratio: 1.0 - unheld / (run_end - first_held).max(0.001),
    }
}

/// Checks a run against the rules; `run_seconds` counts from the clients' start to the end of the run.
pub fn build_report(
    scenario: &Scenario,
    group: &ProcessGroup,
    simulation: &Simulation,
    faults: Vec<String>,
    run_seconds: f64,
) -> Report {
    let mut report = Report {
        seed: scenario.seed,
        faults,
        gateways: scenario.gateways,
        ..Report::default()
    };
    let was_stalled = |request: &ClientRequest, gateway: usize| {
        let until =
            request.sent_at + REQUEST_TIMEOUT + TimeDelta::from_seconds(STALL_MARGIN_SECONDS);
        group.gateways[gateway]
            .stalls
            .iter()
            .any(|stall| stall.start < until && stall.end.is_none_or(|end| end > request.sent_at))
    };
    let (mut requested_weight, mut served_weight) = (0.0, 0.0);
    let (mut rejected, mut requests) = (0_u64, 0_u64);
    for request in &simulation.requests {
        requests += 1;
        requested_weight += request.class.priority_weight();
        let in_time = request.answer.is_some_and(|(answer, at)| {
            answer == Answer::Succeeded && at - request.sent_at <= LATENCY_OBJECTIVE
        });
        served_weight += f64::from(in_time) * request.class.priority_weight();
        rejected += u64::from(
            request
                .answer
                .is_some_and(|(answer, _)| answer == Answer::Rejected),
        );
        report.answered_twice += u64::from(request.is_answered_twice);
        report.non_idempotent_run_twice +=
            u64::from(request.class == RequestClass::NonIdempotent && request.runs.len() > 1);
        let accepted_by = request.gateway.filter(|(gateway, incarnation)| {
            !group.killed.contains(&(*gateway, *incarnation)) && !was_stalled(request, *gateway)
        });
        if accepted_by.is_some() {
            report.accepted += 1;
            report.answered_once +=
                u64::from(request.answer.is_some() && !request.is_answered_twice);
            report.unanswered += u64::from(request.answer.is_none());
        }
    }
    (report.served_weight_ratio, report.rejected_ratio) = (
        served_weight / f64::max(requested_weight, 1.0),
        rejected as f64 / requests.max(1) as f64,
    );
    let observations = group.rollout_stand_in.observations();
    (report.two_holders, report.epochs_back) = (observations.two_holders, observations.epochs_back);
    (report.stages_advanced, report.repeated_commands) =
        (observations.stages_advanced, observations.repeated_commands);
    report.votes_at_platform = observations.platform_votes;
    report.longest_stage_pause_ms =
        observations.longest_pause.as_secs_f64() * MILLISECONDS_PER_SECOND;
    // The shutdown of the gateways isn't part of the run.
    let run_end = group.ended_at_unix;
    for lease in LEASES {
        let coverage = measure_coverage(group, lease, run_end);
        report.longest_gap_ms.insert(
            lease.into(),
            (coverage.longest_gap_seconds * MILLISECONDS_PER_SECOND).round(),
        );
        // Rounded to three decimal places.
        report.held_ratio.insert(
            lease.into(),
            (coverage.held_ratio * 1000.0).round() / 1000.0,
        );
    }
    let counters = group.relay.counters();
    let fleet_bytes: u64 = counters.fleet_bytes.iter().sum();
    // Gateways run one lease duration longer than clients.
    let gateway_seconds = run_seconds + f64::from(scenario.lease_ms) / MILLISECONDS_PER_SECOND;
    report.bytes_per_gateway_second =
        fleet_bytes as f64 / gateway_seconds / scenario.gateways as f64;
    let lease_bytes_per_second = (fleet_bytes - counters.vote_bytes) as f64 / gateway_seconds;
    report.lease_bytes_per_elector_second =
        lease_bytes_per_second / (LEASES.len() * scenario.gateways.min(MAX_ELECTORS)) as f64;
    let processor_time_us: f64 = group
        .gateways
        .iter()
        .map(|gateway| gateway.processor_time_us)
        .sum();
    report.processor_time_ratio =
        processor_time_us / MICROSECONDS_PER_SECOND / run_seconds / scenario.gateways as f64;
    (report.datagrams, report.datagrams_dropped) = (counters.datagrams, counters.dropped);
    report.datagrams_corrupted = counters.corrupted;
    (report.logged_violations, report.crashes) = (group.logged_violations, group.crashes);
    report.ok = violations(&report, scenario) == 0
        && report.accepted > 0
        && (scenario.without_leases || report.stages_advanced > 0);
    report
}

/// How often a rule was violated. Without leases, gateways are right to send their votes to the rollout platform.
fn violations(report: &Report, scenario: &Scenario) -> u64 {
    let platform_votes = if scenario.without_leases {
        0
    } else {
        report.votes_at_platform
    };
    report.unanswered
        + report.answered_twice
        + report.non_idempotent_run_twice
        + report.two_holders
        + report.epochs_back
        + report.repeated_commands
        + platform_votes
        + report.logged_violations
        + report.crashes
}
