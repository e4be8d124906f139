//! What happened, against the rules.

use std::collections::BTreeSet;

use harrierdock_multi_site::MultiSite;
use harrierdock_site_messages::ForwardingOutcome;
use harrierdock_types::{RetrySafety, Timestamp};

use super::findings::Findings;
use super::request_classes::{request_classes, DEDUPLICATION_WINDOW};
use super::simulation::{NetworkSimulation, SECOND, TICK};

impl NetworkSimulation {
    pub(super) fn check_rules(mut self) -> Findings {
        let request_classes = request_classes();
        let findings = &mut self.findings;
        for request in &self.requests {
            let is_alive = self.gateways[request.gateway].incarnation == request.incarnation;
            let repeat = request_classes[request.class].retry_safety;
            if is_alive {
                findings.accepted += 1;
                findings.answered_once += u64::from(request.answers.len() == 1);
                findings.unanswered += u64::from(request.answers.is_empty());
                findings.late += u64::from(
                    request
                        .answers
                        .iter()
                        .any(|a| a.1 > request.deadline + TICK),
                );
            }
            findings.answered_twice += u64::from(request.answers.len() > 1);
            if repeat == RetrySafety::NonIdempotent {
                findings.non_idempotent_run_twice += u64::from(request.runs.len() > 1);
            }
            if let RetrySafety::IdempotencyKey { .. } = repeat {
                let first = request.runs.first().map(|r| r.1);
                let apart =
                    |r: &(usize, Timestamp)| first.is_some_and(|f| r.1 - f > DEDUPLICATION_WINDOW);
                let sites: BTreeSet<usize> = request.runs.iter().map(|r| r.0).collect();
                let strays =
                    sites.len() > 1 && !request_classes[request.class].deduplicates_across_sites;
                findings.repeats_outside_window +=
                    u64::from(strays || request.runs.iter().any(apart));
            }
            let first = request.answers.first().map(|a| a.0);
            findings.succeeded_without_run +=
                u64::from(first == Some(ForwardingOutcome::Succeeded) && request.runs.is_empty());
            // A client may try again what was declined: that must not have run, once-only or outside a group.
            let harmless = match repeat {
                RetrySafety::Idempotent => true,
                RetrySafety::IdempotencyKey { .. } => {
                    request_classes[request.class].deduplicates_across_sites
                }
                RetrySafety::NonIdempotent => false,
            };
            let rejected = first == Some(ForwardingOutcome::NotAccepted);
            findings.rejected_but_ran +=
                u64::from(rejected && !harmless && !request.runs.is_empty());
        }
        for points in self.traffic_moves.values() {
            let within = |from: &Timestamp| {
                points
                    .iter()
                    .filter(|p| **p >= *from && **p - *from < SECOND * 60.0)
                    .count()
            };
            findings.max_traffic_moves_per_minute = findings
                .max_traffic_moves_per_minute
                .max(points.iter().map(within).max().unwrap_or(0) as u64);
        }
        for gateway in &self.gateways {
            let open = gateway.multi_site.as_ref().map(MultiSite::open_requests);
            let open = open.unwrap_or_default();
            findings.left_open += (open.outbound + open.inbound) as u64;
        }
        self.findings
    }
}
