//! The reports within a gossip group: members send outcomes and traffic to the group's aggregator, which returns latencies and a
//! shed ratio (departures H and I in docs/design.md). Owns the members' last reports and this gateway's unsent outcomes.

use std::collections::BTreeMap;

use harrierdock_types::gossip::{MAX_LATENCY_REPORTS, MAX_OUTCOME_REPORTS};
use harrierdock_types::{
    Action, GossipMessage, LatencyReport, OutcomeReport, PeerId, TimeDelta, Timestamp,
};

use crate::context::{Context, APPROXIMATION_RATIO, MAX_GOSSIP_GROUPS};
use crate::endpoint_table::{Endpoint, EndpointTable};
use crate::load_shedder::GroupLoad;
use crate::traffic::{TrafficCounts, TrafficMonitor};

/// How often reports are sent, as a ratio to the shortest latency objective.
const REPORT_INTERVAL_RATIO: f64 = 0.25;
/// How often latencies are reported without load to shed or a new ejection.
const LATENCY_REPORT_INTERVAL: TimeDelta = TimeDelta(2_000_000);
/// The latency ratio that stands for an ejected endpoint.
const EJECTED_LATENCY_RATIO: f64 = 1000.0;
/// A member's attempts count once it has reported without interruption for this many latency objectives. Until then the
/// reported traffic lacks answers to the member's attempts in flight.
const MEMBER_SETTLING_RATIO: f64 = 1.5;

/// What the aggregator keeps of one member's reports.
#[derive(Clone, Copy, Debug)]
struct Member {
    /// Since when the member has reported without interruption.
    reporting_since: Timestamp,
    last_report: Timestamp,
    in_flight: usize,
}

/// This gateway's state in its gossip group, as a member or as the aggregator.
#[derive(Debug, Default)]
pub(crate) struct GossipGroup {
    members: BTreeMap<PeerId, Member>,
    unsent_outcomes: Vec<OutcomeReport>,
    outcomes_sent_at: Timestamp,
    latencies_sent_at: Timestamp,
    /// Number of ejected endpoints in the last latency report.
    reported_ejections: usize,
}

impl GossipGroup {
    /// Records a member's report with its number of attempts in flight.
    pub(crate) fn record_report(&mut self, context: &Context, from: PeerId, in_flight: usize) {
        let now = context.now;
        let max_interval = context.shortest_latency_objective();
        let reporting_since = match self.members.get(&from) {
            Some(member) if now - member.last_report < max_interval => member.reporting_since,
            _ => now,
        };
        let member = Member {
            reporting_since,
            last_report: now,
            in_flight,
        };
        self.members.insert(from, member);
    }

    /// The load of the whole group. `None` at members, and in groups of one gateway, whose concurrency limits don't need it.
    pub(crate) fn load(
        &self,
        context: &Context,
        traffic: &TrafficMonitor,
        own_in_flight: impl Fn() -> usize,
    ) -> Option<GroupLoad> {
        if !context.is_aggregator() || context.parameters.gateway_count <= MAX_GOSSIP_GROUPS {
            return None;
        }
        let now = context.now;
        let latency_objective = context.shortest_latency_objective();
        let members_in_flight: usize = self
            .members
            .values()
            .filter(|member| {
                now - member.reporting_since > latency_objective * MEMBER_SETTLING_RATIO
            })
            .filter(|member| now - member.last_report < latency_objective)
            .map(|member| member.in_flight)
            .sum();
        Some(GroupLoad {
            in_flight: (members_in_flight + own_in_flight()) as f64,
            recent: traffic.recent(now, latency_objective),
            is_settled: traffic.covers(now, latency_objective),
        })
    }

    /// Queues an outcome for the next report to the aggregator.
    pub(crate) fn queue_outcome(&mut self, report: OutcomeReport) {
        self.unsent_outcomes.push(report);
    }

    /// Whether a report of outcomes and traffic is due now. If so, records the report as sent now.
    pub(crate) fn start_report_if_due(&mut self, context: &Context) -> bool {
        let interval = context.shortest_latency_objective() * REPORT_INTERVAL_RATIO;
        let is_due = context.now - self.outcomes_sent_at >= interval
            || self.unsent_outcomes.len() >= MAX_OUTCOME_REPORTS;
        if is_due {
            self.outcomes_sent_at = context.now;
        }
        is_due
    }

    /// Reports this gateway's outcomes and traffic to its aggregator, if there are any.
    pub(crate) fn emit_outcomes(
        &mut self,
        context: &Context,
        counts: TrafficCounts,
        in_flight: usize,
        actions: &mut Vec<Action>,
    ) {
        if counts.received + in_flight + self.unsent_outcomes.len() == 0 {
            return;
        }
        let outcomes = std::mem::take(&mut self.unsent_outcomes);
        let mut messages: Vec<Vec<OutcomeReport>> = outcomes
            .chunks(MAX_OUTCOME_REPORTS)
            .map(<[_]>::to_vec)
            .collect();
        if messages.is_empty() {
            messages.push(Vec::new());
        }
        for (index, reports) in messages.into_iter().enumerate() {
            // Only the first message carries the counts, so that they are added once.
            let is_first = index == 0;
            let message = GossipMessage::OutcomeReports {
                received: if is_first { counts.received } else { 0 },
                original_requests: if is_first {
                    counts.original_requests
                } else {
                    0
                },
                in_flight,
                reports,
            };
            actions.push(Action::SendGossip {
                to: Some(context.aggregator()),
                message,
            });
        }
    }

    /// As the aggregator, reports the slowest and the ejected endpoints and the share of load to shed to the group. A single
    /// member sends too few requests to an endpoint to detect that it slows down or fails.
    pub(crate) fn emit_latencies(
        &mut self,
        context: &Context,
        endpoints: &EndpointTable,
        shed_ratio: f64,
        actions: &mut Vec<Action>,
    ) {
        let now = context.now;
        let since_last = now - self.latencies_sent_at;
        let interval = context.shortest_latency_objective() * REPORT_INTERVAL_RATIO;
        let gossip_enabled = context.parameters.limits.gossip_enabled;
        if since_last < interval || !gossip_enabled || !context.is_aggregator() {
            return;
        }
        let mut reports = latency_reports(endpoints, now);
        let ejections = reports
            .iter()
            .filter(|report| report.latency_ratio >= EJECTED_LATENCY_RATIO)
            .count();
        let is_urgent = shed_ratio != 0.0 || ejections > self.reported_ejections;
        if !is_urgent && since_last < LATENCY_REPORT_INTERVAL {
            return;
        }
        reports.sort_by(|a, b| b.latency_ratio.total_cmp(&a.latency_ratio));
        reports.truncate(MAX_LATENCY_REPORTS);
        let message = GossipMessage::LatencyReports {
            shed_ratio,
            reports,
        };
        let local_peer = context.parameters.local_peer;
        let members = (0..context.parameters.gateway_count)
            .map(PeerId)
            .filter(|peer| *peer != local_peer && context.gossip_group_of(*peer) == local_peer);
        actions.extend(members.map(|peer| Action::SendGossip {
            to: Some(peer),
            message: message.clone(),
        }));
        self.latencies_sent_at = now;
        self.reported_ejections = ejections;
    }
}

/// Reports of the ready endpoints that are slower than usual or ejected.
fn latency_reports(endpoints: &EndpointTable, now: Timestamp) -> Vec<LatencyReport> {
    let latency_ratio = |endpoint: &Endpoint| {
        if endpoint.health.is_ejected(now) {
            EJECTED_LATENCY_RATIO
        } else {
            endpoint.latency_estimate
        }
    };
    endpoints
        .iter()
        .filter(|endpoint| endpoint.is_ready())
        .map(|endpoint| LatencyReport {
            gossip_id: endpoint.record.gossip_id,
            latency_ratio: latency_ratio(endpoint),
        })
        .filter(|report| report.latency_ratio > 1.0 + APPROXIMATION_RATIO)
        .collect()
}

/// Applies the latencies that the aggregator reported. Endpoints missing from the report are taken to be no slower than usual.
pub(crate) fn apply_latency_reports(
    context: &Context,
    endpoints: &mut EndpointTable,
    reports: &[LatencyReport],
) {
    for endpoint in endpoints.iter_mut() {
        endpoint.latency_estimate = endpoint.latency_estimate.min(1.0);
    }
    let ejected_until = context.now + context.first_ejection();
    for report in reports {
        let Some(endpoint) = endpoints.get_mut_by_gossip_id(report.gossip_id) else {
            continue;
        };
        if report.latency_ratio < EJECTED_LATENCY_RATIO {
            endpoint.latency_estimate = report.latency_ratio;
        } else {
            endpoint.health.eject_until(ejected_until);
        }
    }
}
