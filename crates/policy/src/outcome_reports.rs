//! What outcomes of this gateway's attempts, and of those of its gossip group, change in the parts of a policy.

use harrierdock_types::{
    AttemptOutcome, BuildId, ClassId, EndpointId, GossipMessage, OutcomeReport, PeerId,
    ReportedEvent, TimeDelta,
};

use crate::context::{APPROXIMATION_RATIO, LEARNING_RATE};
use crate::elimination_test::{Metric, PayoffSource, ServiceOutcome};
use crate::gossip_group::apply_latency_reports;
use crate::payoff::Payoff;
use crate::Policy;

/// Usual answer times within which an answer counts as fast.
const FAST_LATENCY_RATIO: f64 = 1.5;

/// An answer, or the end of an attempt without one, of an endpoint of the two arms.
struct ArmOutcome {
    endpoint: EndpointId,
    build: BuildId,
    class: ClassId,
    outcome: AttemptOutcome,
    in_time: bool,
    fast: bool,
    /// Whether the endpoint had warmed up when it was asked.
    is_warm: bool,
}

impl Policy {
    /// Takes an outcome into account, and passes it on to the group's aggregator (departure H in docs/design.md): a gateway alone
    /// sees too few to judge a build.
    pub(crate) fn report_outcome(&mut self, report: OutcomeReport) {
        self.record_outcome(&report);
        if self.context.is_aggregator() {
            self.test_outcome(&report);
        } else {
            self.gossip.queue_outcome(report);
        }
    }

    /// Learns from an outcome how its endpoint is, and, while no rollout is in question, which answer times are usual.
    fn record_outcome(&mut self, report: &OutcomeReport) {
        let is_usual =
            !self.fleet().is_canary(report.build) && !self.rollout.in_question(&self.context);
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
            self.traffic.record_answer();
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
                    self.shedder.follow(shed_ratio);
                    apply_latency_reports(&self.context, &mut self.endpoints, &reports);
                }
            }
            GossipMessage::OutcomeReports {
                received,
                first_tries,
                in_flight,
                reports,
            } => {
                self.traffic.record_reported(received, first_tries);
                self.gossip.record_report(&self.context, from, in_flight);
                for report in reports {
                    self.receive_outcome(report);
                }
            }
        }
    }

    /// Takes a group member's outcome into account, if the endpoint that it is about runs the build that it names: a gossip id may
    /// be used again.
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
        self.test_outcome(&report);
    }

    /// Counts an outcome in the elimination test.
    fn test_outcome(&mut self, report: &OutcomeReport) {
        let class = report.class;
        if class.0 >= self.context.parameters.classes.len() {
            return;
        }
        match report.event {
            ReportedEvent::Attempt(outcome) => self.test_attempt(report, outcome),
            // Requests that were shed count as not in time, or shedding would hide that there is too little capacity.
            ReportedEvent::NotAttempted => self.test_service(ServiceOutcome {
                class,
                in_time: false,
                fast: false,
            }),
            ReportedEvent::Complaint => self.test_complaint(report),
        }
    }

    /// Counts an attempt by each metric that it says something of. A warming endpoint is slow whatever its build (departure C), but
    /// what it fails it would fail warm.
    fn test_attempt(&mut self, report: &OutcomeReport, outcome: AttemptOutcome) {
        if !self.rollout.compares(report.build) {
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
        // What counts is how warm the endpoint was when it was asked.
        let asked_at = self.context.now - duration;
        let warmth = endpoint.capacity_ratio_at(&self.context, asked_at);
        let usual = mean * self.latency.model_ratio(endpoint.record.model);
        let succeeded = outcome == AttemptOutcome::Succeeded;
        let tested = ArmOutcome {
            endpoint: id,
            build: report.build,
            class: report.class,
            outcome,
            in_time: succeeded && report.latency_ratio <= 1.0,
            fast: succeeded && duration <= usual * FAST_LATENCY_RATIO / warmth,
            is_warm: warmth >= 1.0,
        };
        if succeeded || outcome == AttemptOutcome::TimedOut {
            self.test_service(ServiceOutcome {
                class: report.class,
                in_time: tested.in_time,
                fast: tested.fast,
            });
        }
        self.test_arm(&tested);
    }

    fn test_arm(&mut self, tested: &ArmOutcome) {
        let outcome = tested.outcome;
        let succeeded = outcome == AttemptOutcome::Succeeded;
        let answered = succeeded || outcome == AttemptOutcome::ServerError;
        // A connection that did not come up says nothing of the build: a new endpoint has none open yet.
        let reached = !matches!(
            outcome,
            AttemptOutcome::NotSent | AttemptOutcome::ConnectFailed
        );
        let is_paired = self.arms_are_paired();
        let complaints_come = self.context.parameters.rollout.complaint_ratio > 0.0;
        let is_timed = is_paired && tested.is_warm && reached;
        let arm = self.rollout.arm_of(tested.build);
        let mut record = |metric, good, counts: bool| {
            if counts {
                let outcomes = Payoff {
                    count: 1.0,
                    sum: f64::from(good),
                };
                let source = PayoffSource::Endpoint(tested.endpoint);
                self.elimination.record(metric, arm, source, outcomes);
            }
        };
        record(Metric::InTime, tested.in_time, is_timed);
        record(Metric::Speed, tested.fast, is_paired && succeeded);
        record(Metric::Correctness, true, succeeded && complaints_come);
        record(Metric::Success, succeeded, answered);
        record(Metric::ClassSuccess(tested.class), succeeded, answered);
    }

    /// Whether answer times of both arms can be compared: both run, and no zone was silent lately. A silent zone's time-outs are
    /// reported late, and not of both arms alike (departure K). A slow build is found later while a zone is silent.
    fn arms_are_paired(&self) -> bool {
        let since_ejection = self.context.now - self.zones.last_ejected_until();
        self.endpoints.canary().ratio < 1.0
            && since_ejection >= self.context.parameters.safety.slow_start_window
    }

    /// Counts an outcome of all service, whatever the build. It says something of a build that runs on enough of the fleet to lower
    /// all service; till then it is the past that service is compared to.
    fn test_service(&mut self, outcome: ServiceOutcome) {
        let is_past = !self.rollout.in_question(&self.context)
            || self.endpoints.canary().ratio < APPROXIMATION_RATIO;
        if is_past {
            let recent_first_tries = self.traffic.recent_first_tries(&self.context);
            self.elimination.record_past(outcome, recent_first_tries);
        } else {
            self.elimination.record_overall(&self.context, outcome);
        }
    }

    /// Takes the payoff of a complained answer back (departure F). One complaint, which may be mistaken, eliminates no build.
    fn test_complaint(&mut self, report: &OutcomeReport) {
        if !self.rollout.compares(report.build) {
            return;
        }
        let Some(endpoint) = self.endpoints.id_of(report.gossip_id) else {
            return;
        };
        let arm = self.rollout.arm_of(report.build);
        let taken_back = Payoff {
            count: 0.0,
            sum: -1.0,
        };
        let source = PayoffSource::Endpoint(endpoint);
        self.elimination
            .record(Metric::Correctness, arm, source, taken_back);
    }
}
