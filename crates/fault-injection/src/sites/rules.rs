//! Checks what clients and endpoints observed against the rules, and measures the served requests.

use harrierdock_types::{TimeDelta, Timestamp};
use hdrhistogram::Histogram;

use super::report::{LatencyPercentiles, Report};
use super::scenario::Scenario;
use crate::simulation::{
    Answer, ClientRequest, RequestClass, Simulation, CORES_PER_ENDPOINT, LATENCY_OBJECTIVE,
    MEAN_WORK,
};

/// Time from the last fault to the start of the measurement of served requests.
const MEASURED_AFTER_SECONDS: f64 = 2.0;
const MEASURED_SECONDS: f64 = 10.0;
/// A killed site that is restored within this time counts towards the capacity.
const LONG_OUTAGE_SECONDS: f64 = 12.0;
const SITES: f64 = 2.0;
const SIGNIFICANT_DIGITS: u8 = 3;
/// Request shares by priority weight, the highest weight first.
const CLASS_SHARES: [ClassShare; 2] = [
    ClassShare {
        request_ratio: 0.4,
        priority_weight: 5.0,
    },
    ClassShare {
        request_ratio: 0.6,
        priority_weight: 1.0,
    },
];

/// The share of all requests that have this priority weight.
struct ClassShare {
    request_ratio: f64,
    priority_weight: f64,
}

/// The largest share of the requested priority weight that this capacity can serve.
fn max_served_weight_ratio(capacity_per_second: f64, requests_per_second: [f64; 2]) -> f64 {
    let all_requests: f64 = requests_per_second.iter().sum();
    let mut remaining = capacity_per_second;
    let (mut served, mut requested) = (0.0, 0.0);
    for class in &CLASS_SHARES {
        let requests = all_requests * class.request_ratio;
        served += requests.min(remaining) * class.priority_weight;
        remaining -= requests.min(remaining);
        requested += requests * class.priority_weight;
    }
    served / requested
}

/// Priority weight of all requests, and of the requests that succeeded within the latency objective.
#[derive(Default)]
struct ServedWeight {
    requested: f64,
    served: f64,
}

impl ServedWeight {
    fn add(&mut self, request: &ClientRequest) {
        let weight = request.class.priority_weight();
        let in_time = request.answer.is_some_and(|(answer, at)| {
            answer == Answer::Succeeded && at - request.sent_at <= LATENCY_OBJECTIVE
        });
        self.requested += weight;
        self.served += f64::from(in_time) * weight;
    }

    fn ratio(&self) -> f64 {
        if self.requested > 0.0 {
            self.served / self.requested
        } else {
            0.0
        }
    }
}

/// Latencies of requests that ran once and succeeded, in microseconds.
struct Latencies {
    local: Histogram<u64>,
    forwarded: Histogram<u64>,
}

impl Latencies {
    fn new() -> Latencies {
        let histogram =
            || Histogram::new(SIGNIFICANT_DIGITS).expect("three digits are within the bounds");
        Latencies {
            local: histogram(),
            forwarded: histogram(),
        }
    }

    fn add(&mut self, request: &ClientRequest) {
        let Some((Answer::Succeeded, at)) = request.answer else {
            return;
        };
        let [(site, _)] = request.runs[..] else {
            return;
        };
        let latencies = if site == request.site {
            &mut self.local
        } else {
            &mut self.forwarded
        };
        let latency_us = (at - request.sent_at).0.max(1) as u64;
        let recorded = latencies.record(latency_us);
        recorded.expect("the histogram grows with its values");
    }
}

/// Checks the observations of a run whose clients started at `start`.
pub(super) fn check_rules(
    scenario: &Scenario,
    simulation: &Simulation,
    start: Timestamp,
) -> Report {
    let mut report = Report::default();
    let mut latencies = Latencies::new();
    let mut served_weight = ServedWeight::default();
    let measured_from = start + measured_after(scenario);
    let measured_until = measured_from + TimeDelta::from_seconds(MEASURED_SECONDS);
    for request in &simulation.requests {
        if (measured_from..measured_until).contains(&request.sent_at) {
            served_weight.add(request);
        }
        count_request(&mut report, simulation, request);
        latencies.add(request);
    }
    report.served_weight_ratio = served_weight.ratio();
    report.max_served_weight_ratio = max_served_weight_ratio(
        capacity_per_second(scenario),
        simulation.requests_per_second,
    );
    report.forwarded_latency = LatencyPercentiles::from_histogram(&latencies.forwarded);
    report.local_latency = LatencyPercentiles::from_histogram(&latencies.local);
    add_observations(&mut report, simulation);
    report
}

/// Time from the start of the clients to the start of the measurement, which follows the last kill or drain.
fn measured_after(scenario: &Scenario) -> TimeDelta {
    let faults = [scenario.kill, scenario.drain];
    let last_fault = faults
        .iter()
        .flatten()
        .map(|fault| fault.second)
        .fold(0.0, f64::max);
    TimeDelta::from_seconds(last_fault + MEASURED_AFTER_SECONDS)
}

fn count_request(report: &mut Report, simulation: &Simulation, request: &ClientRequest) {
    // A request counts as accepted if it was written whole to an incarnation that ran until the end.
    let is_accepted = request.gateway.is_some_and(|(gateway, incarnation)| {
        let gateway = &simulation.gateways[gateway];
        gateway.is_alive && gateway.incarnation == incarnation
    });
    if is_accepted {
        report.accepted += 1;
        report.answered_once += u64::from(request.answer.is_some() && !request.is_answered_twice);
        report.unanswered += u64::from(request.answer.is_none());
    }
    report.answered_twice += u64::from(request.is_answered_twice);
    if request.class == RequestClass::NonIdempotent {
        report.non_idempotent_run_twice += u64::from(request.runs.len() > 1);
    }
}

/// Requests of mean work that the endpoints of the remaining sites can serve per second.
fn capacity_per_second(scenario: &Scenario) -> f64 {
    let is_long = |seconds| seconds >= LONG_OUTAGE_SECONDS;
    let loses_site = scenario.kill.is_some() && scenario.restore_after_seconds.is_none_or(is_long);
    let sites = if loses_site { SITES - 1.0 } else { SITES };
    sites * scenario.endpoints_per_site as f64 * CORES_PER_ENDPOINT as f64 / MEAN_WORK.as_seconds()
}

fn add_observations(report: &mut Report, simulation: &Simulation) {
    let observations = &simulation.observations;
    report.repeats_outside_window = observations.repeats_outside_window;
    report.requests_after_drain = observations.requests_after_drain;
    report.overloaded_warming_endpoints = observations.overloaded_warming_endpoints;
    report.largest_loop_delay_ms = observations.largest_loop_delay.as_seconds() * 1000.0;
    report.datagrams = observations.datagrams;
    report.datagrams_dropped = observations.datagrams_dropped;
}
