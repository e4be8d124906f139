//! What crossed the sockets, against the rules.

use harrierdock_types::{TimeDelta, Timestamp};
use hdrhistogram::Histogram;

use super::report::{latency_percentiles, Report};
use super::scenario::Scenario;
use crate::simulation::{
    Answer, RequestClass, Simulation, CORES_PER_ENDPOINT, LATENCY_OBJECTIVE, MEAN_WORK,
};

/// The part of asked priority weight that this capacity can serve at best, dearer request classes first.
fn highest_served_weight_ratio(capacity: f64, rates: [f64; 2]) -> f64 {
    let demand: f64 = rates.iter().sum();
    let (mut left, mut served, mut asked) = (capacity, 0.0, 0.0);
    for (part, priority_weight) in [(0.4, 5.0), (0.6, 1.0)] {
        let wanted = demand * part;
        served += wanted.min(left) * priority_weight;
        left -= wanted.min(left);
        asked += wanted * priority_weight;
    }
    served / asked
}

/// What crossed the sockets, against the rules.
pub(super) fn check_rules(scenario: &Scenario, simulation: &Simulation, from: Timestamp) -> Report {
    let mut report = Report::default();
    let new = || {
        Histogram::<u64>::new(3)
            .unwrap_or_else(|_| Histogram::new_with_max(60_000_000, 1).expect("bounds"))
    };
    let (mut crossing, mut home) = (new(), new());
    let trouble = scenario
        .kill
        .map(|k| k.second)
        .into_iter()
        .chain(scenario.drain.map(|d| d.second));
    let start = from + TimeDelta::from_seconds(trouble.fold(0.0, f64::max) + 2.0);
    let within = |at: Timestamp| at >= start && at < start + TimeDelta::from_seconds(10.0);
    let (mut asked, mut earned) = (0.0, 0.0);
    for txn in &simulation.requests {
        if within(txn.sent_at) {
            asked += txn.class.priority_weight();
            let in_time = txn.answer.is_some_and(|(a, at)| {
                a == Answer::Succeeded && at - txn.sent_at <= LATENCY_OBJECTIVE
            });
            earned += f64::from(in_time) * txn.class.priority_weight();
        }
        // Taken is what was written whole to a gateway that lived on.
        let lived = txn.gateway.is_some_and(|(g, life)| {
            simulation.gateways[g].is_alive && simulation.gateways[g].incarnation == life
        });
        if lived {
            report.accepted += 1;
            report.answered_once += u64::from(txn.answer.is_some() && !txn.is_answered_twice);
            report.unanswered += u64::from(txn.answer.is_none());
        }
        report.answered_twice += u64::from(txn.is_answered_twice);
        if txn.class == RequestClass::Lodge {
            report.non_idempotent_run_twice += u64::from(txn.runs.len() > 1);
        }
        if let (Some((Answer::Succeeded, at)), [(site, _)]) = (txn.answer, &txn.runs[..]) {
            let took = (at - txn.sent_at).0.max(1) as u64;
            let _ = if *site == txn.site {
                home.record(took)
            } else {
                crossing.record(took)
            };
        }
    }
    report.served_weight_ratio = if asked > 0.0 { earned / asked } else { 0.0 };
    let dead = scenario
        .kill
        .map(|k| k.site)
        .filter(|_| scenario.restore_after_seconds.is_none_or(|b| b >= 12.0));
    let sites = 2.0 - f64::from(u8::from(dead.is_some()));
    let capacity = sites * scenario.endpoints_per_site as f64 * CORES_PER_ENDPOINT as f64
        / MEAN_WORK.as_seconds();
    report.max_served_weight_ratio =
        highest_served_weight_ratio(capacity, simulation.requests_per_second);
    (report.forwarded_latency, report.local_latency) =
        (latency_percentiles(&crossing), latency_percentiles(&home));
    let found = &simulation.observations;
    report.repeats_outside_window = found.repeats_outside_window;
    report.requests_after_drain = found.requests_after_drain;
    report.overloaded_warming_endpoints = found.overloaded_warming_endpoints;
    report.largest_loop_delay_ms = found.largest_loop_delay.as_seconds() * 1000.0;
    (report.datagrams, report.datagrams_dropped) = (found.datagrams, found.datagrams_dropped);
    report
}
