//! Checks the history of a simulation against the rules.

use std::collections::BTreeSet;

use harrierdock_multi_site::{MultiSite, RequestClass};
use harrierdock_site_messages::ForwardingOutcome;
use harrierdock_types::{RetrySafety, Timestamp};

use super::findings::Findings;
use super::request_classes::{request_classes, DEDUPLICATION_WINDOW};
use super::simulation::{NetworkSimulation, SimulatedRequest, SECOND, TICK};

const MINUTE_SECONDS: f64 = 60.0;

impl NetworkSimulation {
    /// Checks the rules for all requests and gateways, and returns the findings.
    pub(super) fn check_rules(mut self) -> Findings {
        let classes = request_classes();
        let findings = &mut self.findings;
        for request in &self.requests {
            if self.gateways[request.gateway].incarnation == request.incarnation {
                check_accepted(findings, request);
            }
            let class = &classes[request.class.0];
            check_runs(findings, request, class);
            check_answers(findings, request, class);
        }
        findings.max_traffic_moves_per_minute = self
            .traffic_moves
            .values()
            .map(|moves| max_within_a_minute(moves))
            .max()
            .unwrap_or(0);
        for multi_site in self.gateways.iter().flat_map(|g| &g.multi_site) {
            let open = MultiSite::open_requests(multi_site);
            findings.left_open += (open.outbound + open.inbound) as u64;
        }
        self.findings
    }
}

/// A gateway that was not restarted must answer each request exactly once, before its deadline.
fn check_accepted(findings: &mut Findings, request: &SimulatedRequest) {
    let latest = request.deadline + TICK;
    let is_late = request.answers.iter().any(|answer| answer.at > latest);
    findings.accepted += 1;
    findings.answered_once += u64::from(request.answers.len() == 1);
    findings.unanswered += u64::from(request.answers.is_empty());
    findings.late += u64::from(is_late);
}

/// Checks how often a request ran, against the limit of its class.
fn check_runs(findings: &mut Findings, request: &SimulatedRequest, class: &RequestClass) {
    match class.retry_safety {
        RetrySafety::Idempotent => {}
        RetrySafety::IdempotencyKey { .. } => {
            let is_outside = runs_outside_window(request, class);
            findings.repeats_outside_window += u64::from(is_outside);
        }
        RetrySafety::NonIdempotent => {
            findings.non_idempotent_run_twice += u64::from(request.runs.len() > 1);
        }
    }
}

/// Whether a request ran again at a site or a time at which its idempotency key was not remembered.
fn runs_outside_window(request: &SimulatedRequest, class: &RequestClass) -> bool {
    let Some(first) = request.runs.first() else {
        return false;
    };
    let sites: BTreeSet<usize> = request.runs.iter().map(|run| run.site).collect();
    let is_outside_group = sites.len() > 1 && !class.deduplicates_across_sites;
    let mut runs = request.runs.iter();
    is_outside_group || runs.any(|run| run.at - first.at > DEDUPLICATION_WINDOW)
}

/// A request may have only one answer, and the answer must match what ran.
fn check_answers(findings: &mut Findings, request: &SimulatedRequest, class: &RequestClass) {
    findings.answered_twice += u64::from(request.answers.len() > 1);
    let Some(answer) = request.answers.first() else {
        return;
    };
    let has_run = !request.runs.is_empty();
    let has_succeeded = answer.outcome == ForwardingOutcome::Succeeded;
    findings.succeeded_without_run += u64::from(has_succeeded && !has_run);
    // The client may send a rejected request again, so it must not have run unless a repeat is harmless.
    let is_repeat_harmless = match class.retry_safety {
        RetrySafety::Idempotent => true,
        RetrySafety::IdempotencyKey { .. } => class.deduplicates_across_sites,
        RetrySafety::NonIdempotent => false,
    };
    let is_rejected = answer.outcome == ForwardingOutcome::NotAccepted;
    findings.rejected_but_ran += u64::from(is_rejected && !is_repeat_harmless && has_run);
}

/// The largest number of these timestamps within any one minute.
fn max_within_a_minute(timestamps: &[Timestamp]) -> u64 {
    let minute = SECOND * MINUTE_SECONDS;
    let count_from = |first: &Timestamp| {
        let within = timestamps
            .iter()
            .filter(|timestamp| **timestamp >= *first && **timestamp - *first < minute);
        within.count() as u64
    };
    timestamps.iter().map(count_from).max().unwrap_or(0)
}
