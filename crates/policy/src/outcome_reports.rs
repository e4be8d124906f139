//! Applies the outcomes of attempts by this gateway and its gossip group to the state of the policy.

use harrierdock_types::{
    AttemptOutcome, BuildId, ClassId, EndpointId, GossipMessage, OutcomeReport, PeerId,
    ReportedEvent, TimeDelta,
};

use crate::context::{APPROXIMATION_RATIO, LEARNING_RATE};
use crate::elimination_test::{Metric, PayoffSource, ServiceOutcome};
use crate::gossip_group::apply_latency_reports;
use crate::payoff::Payoff;
use crate::Policy;

/// An answer counts as fast within this many times the usual answer time.
pub(crate) const FAST_LATENCY_RATIO: f64 = 1.5;

/// The end of an attempt at an endpoint of either arm, with or without an answer.
struct ArmOutcome {
    endpoint: EndpointId,
    build: BuildId,
    class: ClassId,
    outcome: AttemptOutcome,
    is_in_time: bool,
    is_fast: bool,
    /// Whether the endpoint had warmed up when the attempt started.
    is_warm: bool,
}

impl Policy {
    /// Applies an outcome, and reports it to the group's aggregator. A single gateway sees too few outcomes to evaluate a build, so
    /// the aggregator evaluates the outcomes of its whole group (departure H in docs/design.md).
    pub(crate) fn report_outcome(&mut self, report: OutcomeReport) {
        self.record_outcome(&report);
        if self.context.is_aggregator() {
            self.count_outcome(&report);
        } else {
            self.gossip.queue_outcome(report);
        }
    }

    /// Updates the health and latency estimate of an outcome's endpoint, and, while no build is under evaluation, the usual answer
    /// times.
    fn record_outcome(&mut self, report: &OutcomeReport) {
        let is_usual = !self.fleet().is_canary(report.build)
            && !self.rollout.is_under_evaluation(&self.context);
        let class = self.context.parameters.classes.get(report.class.0);
        let mean = self.latency.class_mean(report.class);
        let endpoint = self.endpoints.get_mut_by_gossip_id(report.gossip_id);
        let (Some(class), Some(mean), Some(endpoint)) = (class, mean, endpoint) else {
            return;
        };
        let ReportedEvent::Attempt(outcome) = report.event else {
            return;
        };
        let duration = class.latency_objective * report.latency_ratio;
        let succeeded = outcome == AttemptOutcome::Succeeded;
        if succeeded || outcome == AttemptOutcome::ServerError {
            self.traffic.record_response();
        }
        if succeeded || outcome == AttemptOutcome::TimedOut {
            endpoint.latency_estimate +=
                3.0 * LEARNING_RATE * (duration.ratio_to(mean) - endpoint.latency_estimate);
        }
        endpoint
            .health
            .record_outcome(self.context.now, outcome, self.context.first_ejection());
        if succeeded && is_usual {
            self.latency
                .record(report.class, endpoint.record.model, duration);
        }
    }

    pub(crate) fn receive_gossip(&mut self, from: PeerId, message: GossipMessage) {
        match message {
            GossipMessage::EliminationVote {
                build,
                stage,
                weight,
                arm,
            } => {
                let current = self.rollout.stage();
                let is_current = (build, stage) == (current.build, current.index);
                if is_current && self.rollout.update().is_some() {
                    self.elimination_votes
                        .record(&self.context, arm, from, weight);
                    self.decide_vote();
                }
            }
            GossipMessage::LatencyReports {
                shed_ratio,
                reports,
            } => {
                if from == self.context.aggregator() {
                    self.shedder.adopt_shed_ratio(shed_ratio);
                    apply_latency_reports(&self.context, &mut self.endpoints, &reports);
                }
            }
            GossipMessage::OutcomeReports {
                received,
                original_requests,
                in_flight,
                reports,
            } => {
                self.traffic
                    .record_member_requests(received, original_requests);
                self.gossip.record_report(&self.context, from, in_flight);
                for report in reports {
                    self.receive_outcome(report);
                }
            }
        }
    }

    /// Applies a group member's outcome if the endpoint with the reported gossip id runs the reported build. Gossip ids are
    /// reused, so the id may by now belong to another endpoint.
    fn receive_outcome(&mut self, report: OutcomeReport) {
        let listed_build = self
            .endpoints
            .get_by_gossip_id(report.gossip_id)
            .map(|endpoint| endpoint.record.build)
            .filter(|build| build.low_bits() == report.build);
        let build = match listed_build {
            Some(build) => build,
            None if report.event == ReportedEvent::NotAttempted => BuildId(0),
            None => return,
        };
        let report = OutcomeReport { build, ..report };
        self.record_outcome(&report);
        self.count_outcome(&report);
    }

    /// Counts an outcome in the elimination test.
    fn count_outcome(&mut self, report: &OutcomeReport) {
        let class = report.class;
        if class.0 >= self.context.parameters.classes.len() {
            return;
        }
        match report.event {
            ReportedEvent::Attempt(outcome) => self.count_attempt(report, outcome),
            // Shed requests count as late; otherwise shedding load would hide a lack of capacity.
            ReportedEvent::NotAttempted => self.count_overall(ServiceOutcome {
                class,
                is_in_time: false,
                is_fast: false,
            }),
            ReportedEvent::Complaint => self.count_complaint(report),
        }
    }

    /// Counts an attempt in each metric that its outcome is evidence for. A warming endpoint is slow
    /// whatever its build, so its speed does not count. Its errors count, because it would return them when warm too (departure C
    /// in docs/design.md).
    fn count_attempt(&mut self, report: &OutcomeReport, outcome: AttemptOutcome) {
        if !self.rollout.is_compared(report.build) {
            return;
        }
        let Some(id) = self.endpoints.id_of(report.gossip_id) else {
            return;
        };
        let (Some(endpoint), Some(mean)) = (
            self.endpoints.get(id),
            self.latency.class_mean(report.class),
        ) else {
            return;
        };
        let latency_objective = self.context.class(report.class).latency_objective;
        let duration: TimeDelta = latency_objective * report.latency_ratio;
        // The answer time depends on how warm the endpoint was when the attempt started.
        let started_at = self.context.now - duration;
        let warmth = endpoint.capacity_ratio_at(&self.context, started_at);
        let usual = mean * self.latency.model_ratio(endpoint.record.model);
        let succeeded = outcome == AttemptOutcome::Succeeded;
        let arm_outcome = ArmOutcome {
            endpoint: id,
            build: report.build,
            class: report.class,
            outcome,
            is_in_time: succeeded && report.latency_ratio <= 1.0,
            is_fast: succeeded && duration <= usual * FAST_LATENCY_RATIO / warmth,
            is_warm: warmth >= 1.0,
        };
        if succeeded || outcome == AttemptOutcome::TimedOut {
            self.count_overall(ServiceOutcome {
                class: report.class,
                is_in_time: arm_outcome.is_in_time,
                is_fast: arm_outcome.is_fast,
            });
        }
        self.count_for_arm(&arm_outcome);
    }

    fn count_for_arm(&mut self, arm_outcome: &ArmOutcome) {
        let outcome = arm_outcome.outcome;
        let succeeded = outcome == AttemptOutcome::Succeeded;
        let answered = succeeded || outcome == AttemptOutcome::ServerError;
        // A failed connection is no evidence about the build: new endpoints have no open connection yet.
        let reached = !matches!(
            outcome,
            AttemptOutcome::NotSent | AttemptOutcome::ConnectFailed
        );
        let is_paired = self.arms_are_paired();
        let complaints_enabled = self.context.parameters.rollout.complaint_ratio > 0.0;
        let is_timed = is_paired && arm_outcome.is_warm && reached;
        let arm = self.rollout.arm_of(arm_outcome.build);
        let mut record = |metric, good, is_counted: bool| {
            if is_counted {
                let outcomes = Payoff {
                    count: 1.0,
                    sum: f64::from(good),
                };
                let source = PayoffSource::Endpoint(arm_outcome.endpoint);
                self.elimination.record(metric, arm, source, outcomes);
            }
        };
        record(Metric::InTime, arm_outcome.is_in_time, is_timed);
        record(Metric::Speed, arm_outcome.is_fast, is_paired && succeeded);
        record(Metric::Correctness, true, succeeded && complaints_enabled);
        record(Metric::Success, succeeded, answered);
        record(Metric::ClassSuccess(arm_outcome.class), succeeded, answered);
    }

    /// Whether the answer times of both arms can be compared: both arms run, and no zone was ejected recently. Time-outs in an
    /// unresponsive zone are reported late, and not equally for both arms (departure K in docs/design.md). As a consequence, a slow
    /// build is detected later while a zone is unresponsive.
    fn arms_are_paired(&self) -> bool {
        let since_ejection = self.context.now - self.zones.last_ejected_until();
        self.endpoints.canary().ratio < 1.0
            && since_ejection >= self.context.parameters.safety.slow_start_window
    }

    /// Counts an outcome for the overall metrics, whatever its build. Outcomes count towards the past until a build is under
    /// evaluation and runs on enough of the fleet to lower these metrics.
    fn count_overall(&mut self, outcome: ServiceOutcome) {
        let is_past = !self.rollout.is_under_evaluation(&self.context)
            || self.endpoints.canary().ratio < APPROXIMATION_RATIO;
        if is_past {
            let recent_original_requests = self.traffic.recent_original_requests(&self.context);
            self.elimination
                .record_past(outcome, recent_original_requests);
        } else {
            self.elimination.record_overall(&self.context, outcome);
        }
    }

    /// Takes back the payoff of an answer that a client complained about. A single complaint may be mistaken, and does not
    /// eliminate a build (departure F in docs/design.md).
    fn count_complaint(&mut self, report: &OutcomeReport) {
        if !self.rollout.is_compared(report.build) {
            return;
        }
        let Some(endpoint) = self.endpoints.id_of(report.gossip_id) else {
            return;
        };
        let arm = self.rollout.arm_of(report.build);
        let complaint = Payoff {
            count: 0.0,
            sum: -1.0,
        };
        let source = PayoffSource::Endpoint(endpoint);
        self.elimination
            .record(Metric::Correctness, arm, source, complaint);
    }
}
