//! The elimination test: decides from the payoffs of both arms whether to vote against the baseline or the canary (departures A
//! to F in docs/design.md). Owns the payoffs of each metric and arm, and the payoffs from before the rollout.

use std::collections::{BTreeMap, BTreeSet};

use harrierdock_types::{Arm, ClassId, EndpointId, Timestamp};

use crate::context::{Context, APPROXIMATION_RATIO};
use crate::outlier_ejection::FAILING_SUCCESS_RATIO;
use crate::payoff::{Payoff, DELTA};
use crate::rollout_state::StageChange;

/// Number of outcomes from before the rollout above which they are scaled by [`PAST_DECAY_RATIO`].
const MAX_PAST_OUTCOMES: f64 = 400.0;
/// Weight that past outcomes keep once there are more than [`MAX_PAST_OUTCOMES`].
const PAST_DECAY_RATIO: f64 = 0.5;
/// At most one source in this many is set aside as an outlier.
const SOURCES_PER_OUTLIER: usize = 4;
/// Slow start windows after a disturbance during which overall metrics are not attributed to a build.
const DISTURBANCE_SLOW_START_WINDOWS: f64 = 2.0;
/// Tolerance of overall metrics, as a ratio to [`APPROXIMATION_RATIO`]. It is larger because overall service is compared to the
/// past, and no second arm is exposed to the same conditions.
const OVERALL_TOLERANCE_FACTOR: f64 = 1.5;

/// What a payoff measures. Results are recorded in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Metric {
    /// An answer within the latency objective. The only metric that can eliminate the baseline.
    InTime,
    /// Both arms together: an answer within the latency objective, compared to the time before the rollout.
    OverallInTime,
    /// Both arms together: an answer about as fast as usual, compared to the time before the rollout.
    OverallSpeed,
    /// An answer about as fast as usual.
    Speed,
    /// An answer that is not an error.
    Success,
    /// An answer that no client complains about.
    Correctness,
    /// An answer to a request of this class that is not an error.
    ClassSuccess(ClassId),
}

impl Metric {
    /// Whether the metric covers both arms together, with request classes as sources.
    fn is_overall(self) -> bool {
        matches!(self, Metric::OverallInTime | Metric::OverallSpeed)
    }

    /// Whether a build keeps the payoffs of this metric in its next stage. Payoffs of other metrics are cleared.
    fn spans_stages(self) -> bool {
        !self.is_overall() && self != Metric::InTime
    }

    /// How much lower the mean of an arm (0 to 1) may be without a vote. Good builds differ only in speed.
    pub fn tolerance(self) -> f64 {
        match self {
            Metric::OverallInTime | Metric::OverallSpeed => {
                OVERALL_TOLERANCE_FACTOR * APPROXIMATION_RATIO
            }
            Metric::Speed => APPROXIMATION_RATIO,
            Metric::InTime | Metric::Success | Metric::Correctness | Metric::ClassSuccess(_) => 0.0,
        }
    }
}

/// The endpoint or class that outcomes are grouped by. Outliers are set aside as whole sources.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PayoffSource {
    /// The endpoint of the attempts, for metrics that compare the arms.
    Endpoint(EndpointId),
    /// The class of the requests, for overall metrics.
    Class(ClassId),
}

/// The key under which the payoffs of one metric and arm are recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ArmMetric {
    metric: Metric,
    arm: Arm,
}

/// One outcome for the overall metrics, whatever its build.
#[derive(Clone, Copy, Debug)]
pub struct ServiceOutcome {
    /// The class of the request.
    pub class: ClassId,
    /// Whether it was answered within the latency objective.
    pub is_in_time: bool,
    /// Whether it was answered about as fast as usual.
    pub is_fast: bool,
}

impl ServiceOutcome {
    fn by_metric(&self) -> [(Metric, f64); 2] {
        [
            (Metric::OverallInTime, f64::from(self.is_in_time)),
            (Metric::OverallSpeed, f64::from(self.is_fast)),
        ]
    }
}

/// The result of the elimination test: an arm and the confidence with which the test votes against it.
#[derive(Clone, Copy, Debug)]
pub struct EliminationResult {
    /// The arm voted against.
    pub arm: Arm,
    /// Confidence of the vote, as an exponent of η; 0 means no vote.
    pub weight: usize,
}

/// The payoffs that the comparison of the two arms by one metric uses.
#[derive(Clone, Debug)]
pub struct EliminationEvidence {
    /// The metric that the arms are compared by.
    pub metric: Metric,
    /// The canary's payoff without the sources that were set aside.
    pub canary: Payoff,
    /// The payoff that the canary is compared to: the baseline's payoff, or the overall payoff before the rollout.
    pub baseline: Payoff,
    /// The canary's sources that were set aside.
    pub canary_set_aside: Vec<PayoffSource>,
    /// The baseline's sources that were set aside.
    pub baseline_set_aside: Vec<PayoffSource>,
}

impl EliminationEvidence {
    /// Confidence that `arm` is worse than the other arm, as an exponent of η; 0 means no vote.
    pub fn weight(&self, arm: Arm) -> usize {
        let tolerance = self.metric.tolerance();
        match arm {
            Arm::Canary => self.canary.elimination_weight(&self.baseline, tolerance),
            Arm::Baseline => self.baseline.elimination_weight(&self.canary, tolerance),
        }
    }
}

/// An arm's payoff, and the sources that the payoff leaves out as outliers.
#[derive(Default)]
struct ArmPayoff {
    total: Payoff,
    set_aside: Vec<PayoffSource>,
}

/// The elimination test, which each gossip group's aggregator runs on its group's outcomes.
#[derive(Debug, Default)]
pub struct EliminationTest {
    payoffs: BTreeMap<ArmMetric, BTreeMap<PayoffSource, Payoff>>,
    /// Payoffs of the overall metrics before the rollout.
    past: BTreeMap<Metric, Payoff>,
    /// Mean number of requests that are not client retries in a traffic window before the rollout.
    usual_original_requests: f64,
    /// When worse service last had a possible cause other than the build.
    last_disturbance: Timestamp,
    /// Whether payoffs were recorded since the last call of [`Self::take_new_payoffs`].
    has_new_payoffs: bool,
}

impl EliminationTest {
    /// Mean number of requests that are not client retries in a traffic window before the rollout.
    pub fn usual_original_requests(&self) -> f64 {
        self.usual_original_requests
    }

    /// Whether payoffs were recorded since the last call.
    pub fn take_new_payoffs(&mut self) -> bool {
        std::mem::take(&mut self.has_new_payoffs)
    }

    /// Adds the payoff of an arm's outcomes at one source. A negative sum takes an earlier payoff back.
    pub fn record(&mut self, metric: Metric, arm: Arm, source: PayoffSource, outcomes: Payoff) {
        let payoff = self
            .payoffs
            .entry(ArmMetric { metric, arm })
            .or_default()
            .entry(source)
            .or_default();
        payoff.count += outcomes.count;
        payoff.sum += outcomes.sum;
        self.has_new_payoffs = true;
    }

    /// Counts an outcome for the overall metrics before a rollout, or while its build runs on too few endpoints to lower them.
    pub fn record_past(&mut self, outcome: ServiceOutcome, recent_original_requests: f64) {
        for (metric, sum) in outcome.by_metric() {
            let past = self.past.entry(metric).or_default();
            let past_weight = if past.count > MAX_PAST_OUTCOMES {
                PAST_DECAY_RATIO
            } else {
                1.0
            };
            *past = Payoff { count: 1.0, sum }.plus_scaled(past, past_weight);
            let observations = past.count.min(MAX_PAST_OUTCOMES / 4.0);
            self.usual_original_requests +=
                (recent_original_requests - self.usual_original_requests) / observations;
        }
    }

    /// Counts an outcome for the overall metrics during a rollout, unless there was a disturbance a short while ago. Outcomes are
    /// grouped by class, so that a class that is slow at every endpoint is set aside like an outlier.
    pub fn record_overall(&mut self, context: &Context, outcome: ServiceOutcome) {
        let quiet_time =
            context.parameters.safety.slow_start_window * DISTURBANCE_SLOW_START_WINDOWS;
        if context.now - self.last_disturbance < quiet_time {
            return;
        }
        for (metric, sum) in outcome.by_metric() {
            let source = PayoffSource::Class(outcome.class);
            self.record(metric, Arm::Canary, source, Payoff { count: 1.0, sum });
        }
    }

    /// Drops the outcomes of the overall metrics because of a disturbance. Later outcomes are not counted until all endpoints have
    /// warmed up again.
    pub fn discard_overall(&mut self, now: Timestamp) {
        self.last_disturbance = now;
        self.payoffs.retain(|key, _| !key.metric.is_overall());
    }

    /// Drops the payoffs that a build does not keep in its next stage; for another build, drops all payoffs.
    pub fn change_stage(&mut self, change: StageChange) {
        match change {
            StageChange::None => {}
            StageChange::NextStage => self.payoffs.retain(|key, _| key.metric.spans_stages()),
            StageChange::NewBuild => self.payoffs.clear(),
        }
    }

    /// Compares the arms by each metric. Only [`Metric::InTime`] can eliminate the baseline.
    pub fn run(&self) -> Vec<EliminationResult> {
        let mut results = Vec::new();
        for evidence in self.evidence() {
            results.push(EliminationResult {
                arm: Arm::Canary,
                weight: evidence.weight(Arm::Canary),
            });
            if evidence.metric == Metric::InTime {
                results.push(EliminationResult {
                    arm: Arm::Baseline,
                    weight: evidence.weight(Arm::Baseline),
                });
            }
        }
        results
    }

    /// The payoffs that the comparison by each metric uses.
    pub fn evidence(&self) -> impl Iterator<Item = EliminationEvidence> + '_ {
        let metrics: BTreeSet<Metric> = self.payoffs.keys().map(|key| key.metric).collect();
        metrics.into_iter().map(|metric| {
            let canary = self.arm_payoff(metric, Arm::Canary);
            let baseline = match self.past.get(&metric) {
                Some(past) => ArmPayoff {
                    total: *past,
                    set_aside: Vec::new(),
                },
                None => self.arm_payoff(metric, Arm::Baseline),
            };
            EliminationEvidence {
                metric,
                canary: canary.total,
                baseline: baseline.total,
                canary_set_aside: canary.set_aside,
                baseline_set_aside: baseline.set_aside,
            }
        })
    }

    /// An arm's payoff without its outliers, which are the sources with exceptional losses. At most a quarter of the sources are
    /// outliers (departure D in docs/design.md).
    ///
    /// Errors, noisy neighbours or pauses at some endpoints are not caused by the build: a bad build affects most endpoints.
    /// Losses that chance explains do not make an endpoint an outlier.
    fn arm_payoff(&self, metric: Metric, arm: Arm) -> ArmPayoff {
        let Some(by_source) = self.payoffs.get(&ArmMetric { metric, arm }) else {
            return ArmPayoff::default();
        };
        let broken = self.broken_endpoints(metric, arm);
        let all_broken = by_source.keys().all(|source| broken.contains(source));
        let (mut set_aside, mut payoffs) = (Vec::new(), Vec::new());
        for (source, payoff) in by_source {
            if !all_broken && broken.contains(source) {
                set_aside.push(*source);
            } else {
                payoffs.push((*source, payoff));
            }
        }
        payoffs.sort_by(|(_, a), (_, b)| b.loss().total_cmp(&a.loss()));
        let max_outliers = match payoffs.len() {
            0 | 1 => 0,
            _ if metric == Metric::Correctness => 0, // complaints are too rare to tell outliers
            sources => (sources / SOURCES_PER_OUTLIER).max(1),
        };
        let total_from =
            |index: usize| Payoff::total(payoffs[index..].iter().map(|(_, payoff)| *payoff));
        let stands_out = |index: &usize| {
            let (_, payoff) = payoffs[*index];
            let rest = total_from(index + 1);
            metric.is_overall() || payoff.divergence_below(&rest) > -DELTA.ln()
        };
        let outliers = (0..max_outliers).take_while(stands_out).count();
        let total = total_from(outliers);
        set_aside.extend(payoffs[..outliers].iter().map(|(source, _)| *source));
        ArmPayoff { total, set_aside }
    }

    /// The endpoints of an arm that fail most requests, if the baseline also has endpoints that fail most requests. In that case,
    /// the failures are attributed to the machines instead of the build.
    fn broken_endpoints(&self, metric: Metric, arm: Arm) -> BTreeSet<PayoffSource> {
        let baseline_has_some = self.failing_endpoints(Arm::Baseline).next().is_some();
        if metric.is_overall() || !baseline_has_some {
            return BTreeSet::new();
        }
        self.failing_endpoints(arm).collect()
    }

    fn failing_endpoints(&self, arm: Arm) -> impl Iterator<Item = PayoffSource> + '_ {
        let metric = Metric::Success;
        self.payoffs
            .get(&ArmMetric { metric, arm })
            .into_iter()
            .flatten()
            .filter(|(_, payoff)| payoff.sum < payoff.count * (1.0 - FAILING_SUCCESS_RATIO))
            .map(|(source, _)| *source)
    }
}
