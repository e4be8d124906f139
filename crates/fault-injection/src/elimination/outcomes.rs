//! Counts the outcomes of attempts as an aggregator does, by metric, arm and endpoint.

use harrierdock_policy::elimination_test::{EliminationTest, Metric, PayoffSource};
use harrierdock_policy::payoff::Payoff;
use harrierdock_types::{Arm, AttemptOutcome, ClassId, EndpointId};

use super::attempts::{Attempt, AttemptResult};
use super::scenario::CLASSES;

/// The metrics that cover all request classes. [`Metric::ClassSuccess`] adds one metric for each class.
const COMMON_METRICS: [Metric; 3] = [Metric::InTime, Metric::Speed, Metric::Success];
const METRICS: usize = COMMON_METRICS.len() + CLASSES;
/// An endpoint is warming up for this long after it has changed its build.
const SLOW_START_SECONDS: f64 = 1.0;

/// An attempt with its result.
#[derive(Clone, Copy, Debug)]
pub struct FinishedAttempt {
    /// Index of the endpoint.
    pub endpoint: usize,
    /// The attempt that was sent.
    pub attempt: Attempt,
    /// The drawn result.
    pub result: AttemptResult,
}

/// The payoffs that an aggregator has counted, by metric, arm and endpoint.
#[derive(Clone, Debug)]
pub struct GroupOutcomes {
    payoffs: [[Vec<Payoff>; 2]; METRICS],
}

impl GroupOutcomes {
    /// No outcomes yet.
    pub fn new(endpoints: usize) -> GroupOutcomes {
        let none = vec![Payoff::default(); endpoints];
        let by_arm = [none.clone(), none];
        GroupOutcomes {
            payoffs: std::array::from_fn(|_| by_arm.clone()),
        }
    }

    /// The payoffs of an arm's endpoints. Endpoints without outcomes are left out.
    pub fn payoffs(&self, metric: Metric, arm: Arm) -> Vec<Payoff> {
        let payoffs = &self.payoffs[metric_index(metric)][arm_index(arm)];
        payoffs
            .iter()
            .copied()
            .filter(|payoff| payoff.count > 0.0)
            .collect()
    }

    /// Clears the payoffs that the policy does not carry into the next stage.
    pub fn change_stage(&mut self) {
        self.clear(Metric::InTime);
    }

    /// Counts an attempt in the metrics that the policy uses for it. Response times count only while both arms run (`is_paired`).
    pub fn count(&mut self, finished: &FinishedAttempt, is_paired: bool) {
        let FinishedAttempt {
            endpoint,
            attempt,
            result,
        } = *finished;
        let arm = attempt.arm;
        let succeeded = result.outcome == AttemptOutcome::Succeeded;
        let answered = succeeded || result.outcome == AttemptOutcome::ServerError;
        let warm_from = attempt.endpoint.changes_at_seconds + SLOW_START_SECONDS;
        let is_warm = arm == Arm::Baseline || attempt.at_seconds >= warm_from;
        if is_paired && is_warm {
            self.record(Metric::InTime, arm, endpoint, result.in_time);
        }
        if is_paired && succeeded {
            self.record(Metric::Speed, arm, endpoint, result.fast);
        }
        if answered {
            self.record(Metric::Success, arm, endpoint, succeeded);
            let by_class = Metric::ClassSuccess(attempt.class);
            self.record(by_class, arm, endpoint, succeeded);
        }
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

    /// The policy's elimination test, with these outcomes recorded.
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
