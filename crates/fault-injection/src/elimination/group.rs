//! One gossip group: what its gateways send, what its aggregator counts and ejects.

use harrierdock_policy::context::Context;
use harrierdock_policy::elimination_test::{EliminationTest, Metric, PayoffSource};
use harrierdock_policy::outlier_ejection::EndpointHealth;
use harrierdock_policy::payoff::Payoff;
use harrierdock_types::{Arm, AttemptOutcome, ClassId, EndpointId, TimeDelta, Timestamp};
use nanorand::{Rng, WyRand};

use super::attempts::{Attempt, AttemptResult};
use super::scenario::{draw_class, EndpointFault, Scenario, CLASSES};

/// The metrics that compare arms, but for each class's.
const COMMON_METRICS: [Metric; 3] = [Metric::InTime, Metric::Speed, Metric::Success];
const METRICS: usize = COMMON_METRICS.len() + CLASSES;
/// An endpoint is warm this long after it has changed its build.
const SLOW_START_SECONDS: f64 = 1.0;
/// A slow endpoint is chosen with this probability where another would be: odds are by weight.
const SLOW_ENDPOINT_ODDS: f64 = 0.4;
/// How often another endpoint is looked for in place of an ejected one.
const MAX_SELECTIONS: usize = 8;

/// What an aggregator has counted, by metric, arm and endpoint.
#[derive(Clone, Debug)]
pub struct GroupOutcomes {
    payoffs: [[Vec<Payoff>; 2]; METRICS],
}

impl GroupOutcomes {
    fn new(endpoints: usize) -> GroupOutcomes {
        let none = vec![Payoff::default(); endpoints];
        let by_arm = [none.clone(), none];
        GroupOutcomes {
            payoffs: std::array::from_fn(|_| by_arm.clone()),
        }
    }

    /// What the endpoints of an arm were paid, without those that have no outcomes.
    pub fn payoffs(&self, metric: Metric, arm: Arm) -> Vec<Payoff> {
        let payoffs = &self.payoffs[metric_index(metric)][arm_index(arm)];
        payoffs
            .iter()
            .copied()
            .filter(|payoff| payoff.count > 0.0)
            .collect()
    }

    fn record(&mut self, metric: Metric, arm: Arm, endpoint: usize, good: bool) {
        let payoff = &mut self.payoffs[metric_index(metric)][arm_index(arm)][endpoint];
        payoff.count += 1.0;
        payoff.sum += f64::from(good);
    }

    fn clear(&mut self, metric: Metric) {
        for payoffs in &mut self.payoffs[metric_index(metric)] {
            payoffs.fill(Payoff::default());
        }
    }

    /// The policy's test with these outcomes.
    pub fn elimination_test(&self) -> EliminationTest {
        let mut test = EliminationTest::default();
        for (index, by_arm) in self.payoffs.iter().enumerate() {
            for arm in [Arm::Baseline, Arm::Canary] {
                for (endpoint, payoff) in by_arm[arm_index(arm)].iter().enumerate() {
                    if payoff.count > 0.0 {
                        let source = PayoffSource::Endpoint(EndpointId(endpoint));
                        test.record(metric_at(index), arm, source, *payoff);
                    }
                }
            }
        }
        test
    }
}

fn metric_at(index: usize) -> Metric {
    match COMMON_METRICS.get(index) {
        Some(metric) => *metric,
        None => Metric::ClassSuccess(ClassId(index - COMMON_METRICS.len())),
    }
}

/// # Panics
///
/// If the metric is one that the model does not count.
fn metric_index(metric: Metric) -> usize {
    match metric {
        Metric::ClassSuccess(class) => COMMON_METRICS.len() + class.0,
        common => COMMON_METRICS
            .iter()
            .position(|metric| *metric == common)
            .expect("the model counts no other metric"),
    }
}

fn arm_index(arm: Arm) -> usize {
    match arm {
        Arm::Baseline => 0,
        Arm::Canary => 1,
    }
}

/// A gossip group.
#[derive(Debug)]
pub struct Group {
    /// What its aggregator has counted.
    pub outcomes: GroupOutcomes,
    health: Vec<EndpointHealth>,
    first_ejection: TimeDelta,
}

impl Group {
    /// A group that has sent nothing yet.
    pub fn new(endpoints: usize) -> Group {
        Group {
            outcomes: GroupOutcomes::new(endpoints),
            health: (0..endpoints).map(|_| EndpointHealth::default()).collect(),
            first_ejection: Context::default().first_ejection(),
        }
    }

    /// Drops what does not stay with a build into its next stage.
    pub fn change_stage(&mut self) {
        self.outcomes.clear(Metric::InTime);
    }

    /// Sends one request and counts how it ends.
    pub fn send(
        &mut self,
        scenario: &Scenario,
        at_seconds: f64,
        is_paired: bool,
        rng: &mut WyRand,
    ) {
        let endpoint = self.select_endpoint(scenario, at_seconds, rng);
        let plan = scenario.endpoints[endpoint];
        let attempt = Attempt {
            endpoint: plan,
            arm: arm_at(plan.changes_at_seconds, at_seconds),
            class: draw_class(rng),
            at_seconds,
        };
        let result = attempt.draw_result(scenario.build_fault, rng);
        self.health[endpoint].record_outcome(
            timestamp(at_seconds),
            result.outcome,
            self.first_ejection,
        );
        self.count(endpoint, &attempt, &result, is_paired);
    }

    /// Any endpoint that is not ejected, slow ones less often. Endpoints of the build under judgement are not ejected
    /// (departure G in docs/design.md).
    fn select_endpoint(&self, scenario: &Scenario, at_seconds: f64, rng: &mut WyRand) -> usize {
        let now = timestamp(at_seconds);
        let mut selected = 0;
        for _ in 0..MAX_SELECTIONS {
            selected = rng.generate_range(0..scenario.endpoints.len());
            let plan = &scenario.endpoints[selected];
            let is_judged = arm_at(plan.changes_at_seconds, at_seconds) == Arm::Canary;
            let is_ejected = !is_judged && self.health[selected].is_ejected(now);
            let is_slow = matches!(plan.fault, Some(EndpointFault::Slow { .. }));
            if !is_ejected && (!is_slow || rng.generate::<f64>() < SLOW_ENDPOINT_ODDS) {
                break;
            }
        }
        selected
    }

    /// Counts a result by the metrics that the policy counts it by.
    fn count(
        &mut self,
        endpoint: usize,
        attempt: &Attempt,
        result: &AttemptResult,
        is_paired: bool,
    ) {
        let arm = attempt.arm;
        let succeeded = result.outcome == AttemptOutcome::Succeeded;
        let answered = succeeded || result.outcome == AttemptOutcome::ServerError;
        let warm_from = attempt.endpoint.changes_at_seconds + SLOW_START_SECONDS;
        let is_warm = arm == Arm::Baseline || attempt.at_seconds >= warm_from;
        let outcomes = &mut self.outcomes;
        if is_paired && is_warm {
            outcomes.record(Metric::InTime, arm, endpoint, result.in_time);
        }
        if is_paired && succeeded {
            outcomes.record(Metric::Speed, arm, endpoint, result.fast);
        }
        if answered {
            outcomes.record(Metric::Success, arm, endpoint, succeeded);
            let by_class = Metric::ClassSuccess(attempt.class);
            outcomes.record(by_class, arm, endpoint, succeeded);
        }
    }
}

fn arm_at(changes_at_seconds: f64, at_seconds: f64) -> Arm {
    if at_seconds >= changes_at_seconds {
        Arm::Canary
    } else {
        Arm::Baseline
    }
}

fn timestamp(seconds: f64) -> Timestamp {
    Timestamp::default() + TimeDelta::from_seconds(seconds)
}
