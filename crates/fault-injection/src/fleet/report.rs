//! What a fleet did, against the rules, and how it went.

use std::collections::BTreeMap;

use harrierdock_types::TimeDelta;
use serde::Serialize;

use super::process_group::{Gateway, ProcessGroup, LEASES, MAX_ELECTORS};
use super::Scenario;
use crate::simulation::{Answer, ClientRequest, Simulation, LATENCY_OBJECTIVE, REQUEST_TIMEOUT};

#[derive(Debug, Default, Serialize)]
pub struct Report {
    pub ok: bool,
    pub seed: u64,
    pub faults: Vec<String>,
    pub gateways: usize,
    pub taken: u64,
    pub answered_once: u64,
    pub lost: u64,
    pub answered_twice: u64,
    pub effects_twice: u64,
    /// By what the installation saw.
    pub two_holders: u64,
    pub epochs_back: u64,
    pub waves_advanced: u64,
    pub waves_double: u64,
    pub votes_at_platform: u64,
    /// The longest time in which nobody held the duty, by the gateways' log.
    pub gap_ms: BTreeMap<String, f64>,
    pub held_share: BTreeMap<String, f64>,
    /// The longest pause between two waves, by what the installation saw.
    pub wave_pause_ms: f64,
    pub revenue_share: f64,
    pub declined_share: f64,
    pub bytes_a_gateway_s: f64,
    /// Of those, what leases cost, by duty and elector.
    pub lease_bytes_an_elector_s: f64,
    pub cpu_share: f64,
    pub datagrams: u64,
    pub datagrams_not_passed: u64,
    pub datagrams_garbled: u64,
    pub broken_lines: u64,
    pub crashes: u64,
}

/// The times, in Unix seconds, in which a gateway held a duty, by its own lines.
fn holdings(gateway: &Gateway, duty: &str, end: f64) -> Vec<(f64, f64)> {
    let (holds, ended) = (
        format!(" fleet: acquired lease {duty},"),
        format!(" fleet: lost lease {duty},"),
    );
    let mut found: Vec<(f64, f64)> = Vec::new();
    let mut since = None;
    for line in &gateway.lease_log_of_ended {
        let Some(at) = line.split(' ').next().and_then(|t| t.parse::<f64>().ok()) else {
            continue;
        };
        if line.contains(&holds) {
            since = Some(at);
        } else if let Some(from) = since.take_if(|_| line.contains(&ended)) {
            found.push((from, at));
        }
    }
    found.extend(since.map(|from| (from, end)));
    // Whoever is killed or stalled holds nothing that anybody could see.
    for holding in &mut found {
        let stop = gateway
            .stopped_at_unix
            .iter()
            .filter(|s| **s >= holding.0 && **s < holding.1);
        holding.1 = stop.copied().fold(holding.1, f64::min);
    }
    found
}

/// The longest gap, and the part of the time since the first holding in which somebody held the duty.
fn gaps(group: &ProcessGroup, duty: &str, end: f64) -> (f64, f64) {
    let mut all: Vec<(f64, f64)> = group
        .gateways
        .iter()
        .flat_map(|g| holdings(g, duty, end))
        .collect();
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    let Some(&(first, _)) = all.first() else {
        return (f64::INFINITY, 0.0);
    };
    let (mut until, mut most, mut none) = (first, 0.0_f64, 0.0);
    for (from, to) in all.into_iter().chain([(end, end)]) {
        let gap = (from.min(end) - until).max(0.0);
        (most, none) = (most.max(gap), none + gap);
        until = until.max(to);
    }
    (most, 1.0 - none / (end - first).max(0.001))
}

pub fn build_report(
    scenario: &Scenario,
    group: &ProcessGroup,
    simulation: &Simulation,
    faults: Vec<String>,
    ran: f64,
) -> Report {
    let mut report = Report {
        seed: scenario.seed,
        faults,
        gateways: scenario.gateways,
        ..Report::default()
    };
    // Whoever was stalled within a request's time could not answer it.
    let stalled = |txn: &ClientRequest, g: usize| {
        let until = txn.sent_at + REQUEST_TIMEOUT + TimeDelta::from_seconds(0.5);
        group.gateways[g]
            .stalls
            .iter()
            .any(|stall| stall.start < until && stall.end.is_none_or(|end| end > txn.sent_at))
    };
    let (mut asked, mut earned, mut declined, mut all) = (0.0, 0.0, 0_u64, 0_u64);
    for txn in &simulation.requests {
        all += 1;
        asked += txn.class.priority_weight();
        let in_time = txn
            .answer
            .is_some_and(|(a, at)| a == Answer::Succeeded && at - txn.sent_at <= LATENCY_OBJECTIVE);
        earned += f64::from(in_time) * txn.class.priority_weight();
        declined += u64::from(txn.answer.is_some_and(|(a, _)| a == Answer::Rejected));
        report.answered_twice += u64::from(txn.is_answered_twice);
        report.effects_twice +=
            u64::from(txn.class == crate::simulation::RequestClass::Lodge && txn.runs.len() > 1);
        let taken = txn
            .gateway
            .filter(|(g, life)| !group.killed.contains(&(*g, *life)) && !stalled(txn, *g));
        if taken.is_some() {
            report.taken += 1;
            report.answered_once += u64::from(txn.answer.is_some() && !txn.is_answered_twice);
            report.lost += u64::from(txn.answer.is_none());
        }
    }
    (report.revenue_share, report.declined_share) = (
        earned / f64::max(asked, 1.0),
        declined as f64 / all.max(1) as f64,
    );
    let seen = group.rollout_stand_in.observations();
    (report.two_holders, report.epochs_back) = (seen.two_holders, seen.epochs_back);
    (report.waves_advanced, report.waves_double) = (seen.stages_advanced, seen.repeated_calls);
    report.votes_at_platform = seen.platform_votes;
    report.wave_pause_ms = seen.longest_pause.as_secs_f64() * 1000.0;
    // The run's end, before all were told to end.
    let end = group.ended_at_unix;
    for duty in LEASES {
        let (most, held) = gaps(group, duty, end);
        report.gap_ms.insert(duty.into(), (most * 1000.0).round());
        report
            .held_share
            .insert(duty.into(), (held * 1000.0).round() / 1000.0);
    }
    let counted = group.relay.counters();
    let bytes: u64 = counted.fleet_bytes.iter().sum();
    let seconds = ran + f64::from(scenario.lease_ms) / 1000.0;
    report.bytes_a_gateway_s = bytes as f64 / seconds / scenario.gateways as f64;
    let leases = (bytes - counted.ballot_bytes) as f64 / seconds;
    report.lease_bytes_an_elector_s =
        leases / (LEASES.len() * scenario.gateways.min(MAX_ELECTORS)) as f64;
    let cpu: f64 = group.gateways.iter().map(|g| g.processor_time_us).sum();
    report.cpu_share = cpu / 1e6 / ran / scenario.gateways as f64;
    (report.datagrams, report.datagrams_not_passed) = (counted.datagrams, counted.not_passed);
    report.datagrams_garbled = counted.garbled;
    (report.broken_lines, report.crashes) = (group.logged_violations, group.crashes);
    let r = &report;
    let broken = r.lost + r.answered_twice + r.effects_twice + r.two_holders + r.epochs_back;
    let votes = if scenario.without_leases {
        0
    } else {
        r.votes_at_platform
    };
    let broken = broken + r.waves_double + votes + r.broken_lines + r.crashes;
    report.ok =
        broken == 0 && report.taken > 0 && (scenario.without_leases || report.waves_advanced > 0);
    report
}
