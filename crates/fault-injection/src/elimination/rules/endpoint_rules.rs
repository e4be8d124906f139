//! Candidate rules that treat the endpoints of an arm as independent draws, instead of their outcomes. None gives a vote more
//! weight than the policy does.

use harrierdock_policy::payoff::{Payoff, DELTA};

use super::statistics::{binomial_tail, combinations, student_tail, vote_error, vote_weight};
use super::{Comparison, EliminationRule};

/// Endpoints with fewer outcomes are left out of the sign test.
const MIN_ENDPOINT_OUTCOMES: f64 = 5.0;
/// The symmetric trim leaves out one of this many endpoints.
const ENDPOINTS_PER_TRIMMED: usize = 4;

impl Comparison<'_> {
    /// The weight for a probability of error, with the policy's allowance for repeated tests.
    fn vote_weight(&self, error_probability: f64) -> usize {
        let outcomes = Payoff::total(self.canary)
            .count
            .min(Payoff::total(self.baseline).count);
        vote_weight(error_probability * (outcomes.max(1.0).ln() + 1.0))
    }
}

/// Treats endpoints as clusters: Student's t test with the ratio estimator's standard error over the endpoints of each arm.
#[derive(Clone, Copy, Debug)]
pub struct ClusterRadius;

impl EliminationRule for ClusterRadius {
    fn name(&self) -> &'static str {
        "cluster"
    }

    fn weight(&self, comparison: &Comparison<'_>) -> usize {
        let (canary, baseline) = (comparison.canary, comparison.baseline);
        let smaller_arm = canary.len().min(baseline.len());
        if smaller_arm < 2 {
            return 0;
        }
        let difference = Payoff::total(baseline).mean()
            - Payoff::total(canary).mean()
            - comparison.evidence.metric.tolerance();
        let deviation = (cluster_variance(canary) + cluster_variance(baseline)).sqrt();
        let error = student_tail(difference / deviation, smaller_arm - 1);
        comparison
            .vote_weight(error)
            .min(comparison.policy_weight())
    }
}

/// The variance of an arm's mean if the outcomes of one endpoint are correlated.
fn cluster_variance(endpoints: &[Payoff]) -> f64 {
    let total = Payoff::total(endpoints);
    let count = endpoints.len() as f64;
    let residuals: f64 = endpoints
        .iter()
        .map(|payoff| (payoff.sum - total.mean() * payoff.count).powi(2))
        .sum();
    residuals * count / (count - 1.0) / total.count.powi(2)
}

/// Runs the policy's test without the worst quarter of each arm's endpoints.
#[derive(Clone, Copy, Debug)]
pub struct SymmetricTrim;

impl EliminationRule for SymmetricTrim {
    fn name(&self) -> &'static str {
        "trim"
    }

    fn weight(&self, comparison: &Comparison<'_>) -> usize {
        let canary_trimmed = comparison.canary.len() / ENDPOINTS_PER_TRIMMED;
        let share = canary_trimmed as f64 / comparison.canary.len().max(1) as f64;
        let baseline_trimmed = (share * comparison.baseline.len() as f64) as usize;
        let canary = without_worst(comparison.canary, canary_trimmed);
        let baseline = without_worst(comparison.baseline, baseline_trimmed);
        canary
            .elimination_weight(&baseline, comparison.evidence.metric.tolerance())
            .min(comparison.policy_weight())
    }
}

/// Runs the policy's test without the canary's worst endpoints. The number left out is how many are likely bad, given the share
/// of baseline endpoints that the policy sets aside.
#[derive(Clone, Copy, Debug)]
pub struct MatchedOutliers;

impl EliminationRule for MatchedOutliers {
    fn name(&self) -> &'static str {
        "matched"
    }

    fn weight(&self, comparison: &Comparison<'_>) -> usize {
        let evidence = comparison.evidence;
        let set_aside = evidence.baseline_set_aside.len() as f64;
        // The rule of succession: the share can be above 0 even if no endpoint is set aside.
        let bad_ratio = (set_aside + 1.0) / (comparison.baseline.len() as f64 + 2.0);
        let canary_endpoints = comparison.canary.len();
        let likely_bad = (0..=canary_endpoints)
            .take_while(|count| binomial_tail(canary_endpoints, bad_ratio, *count) > DELTA)
            .last()
            .unwrap_or(0);
        without_worst(comparison.canary, likely_bad)
            .elimination_weight(&evidence.baseline, evidence.metric.tolerance())
            .min(comparison.policy_weight())
    }
}

/// Bounds a vote's probability of error by a sum of two probabilities: that more of the canary's endpoints are bad than are left
/// out, and that the test errs on the remaining endpoints. The number left out minimizes the sum. An endpoint is bad whatever its
/// build, so the number of bad canary endpoints is estimated from the baseline endpoints that the policy sets aside: a
/// beta-binomial distribution with a uniform prior.
#[derive(Clone, Copy, Debug)]
pub struct OutlierBound;

impl EliminationRule for OutlierBound {
    fn name(&self) -> &'static str {
        "outlier-bound"
    }

    fn weight(&self, comparison: &Comparison<'_>) -> usize {
        let evidence = comparison.evidence;
        let endpoints = comparison.canary.len();
        let more_bad_probabilities = tail_after_each(&beta_binomial(
            endpoints,
            evidence.baseline_set_aside.len(),
            comparison.baseline.len(),
        ));
        let tolerance = evidence.metric.tolerance();
        let sorted = worst_first(comparison.canary);
        let mut remaining = Payoff::total(comparison.canary);
        let weight_without_worst = |(left_out, worst): (usize, &Payoff)| {
            let weight = remaining.elimination_weight(&evidence.baseline, tolerance);
            remaining = remaining.plus_scaled(worst, -1.0);
            (weight > 0).then(|| vote_weight(more_bad_probabilities[left_out] + vote_error(weight)))
        };
        sorted
            .into_iter()
            .enumerate()
            .map_while(weight_without_worst)
            .max()
            .unwrap_or(0)
            .min(comparison.policy_weight())
    }
}

/// The probabilities that 0, 1, ... of `endpoints` are bad if `bad` of `known` other endpoints are bad.
fn beta_binomial(endpoints: usize, bad: usize, known: usize) -> Vec<f64> {
    let good = known.saturating_sub(bad);
    let none_is_bad: f64 = (0..endpoints)
        .map(|index| (good + 1 + index) as f64 / (known + 2 + index) as f64)
        .product();
    let mut probabilities = vec![none_is_bad];
    for count in 0..endpoints {
        let odds = (endpoints - count) as f64 * (bad + 1 + count) as f64
            / ((count + 1) as f64 * (good + endpoints - count) as f64);
        probabilities.push(probabilities[count] * odds);
    }
    probabilities
}

/// For each index, the sum of the probabilities at higher indexes.
fn tail_after_each(probabilities: &[f64]) -> Vec<f64> {
    let mut tail = 0.0;
    let mut tails: Vec<f64> = probabilities
        .iter()
        .rev()
        .map(|probability| {
            let tail_after = tail;
            tail += probability;
            tail_after
        })
        .collect();
    tails.reverse();
    tails
}

/// The total payoff of an arm without the `left_out` endpoints with the largest losses.
fn without_worst(endpoints: &[Payoff], left_out: usize) -> Payoff {
    Payoff::total(worst_first(endpoints).into_iter().skip(left_out))
}

/// Sorts endpoints by loss, largest first.
fn worst_first(endpoints: &[Payoff]) -> Vec<&Payoff> {
    let mut sorted: Vec<&Payoff> = endpoints.iter().collect();
    sorted.sort_by(|a, b| b.loss().total_cmp(&a.loss()));
    sorted
}

/// The sign test: counts the canary's endpoints with a mean below the median of the baseline's endpoints.
#[derive(Clone, Copy, Debug)]
pub struct SignTest;

impl EliminationRule for SignTest {
    fn name(&self) -> &'static str {
        "sign"
    }

    fn weight(&self, comparison: &Comparison<'_>) -> usize {
        let mut baseline = means_with_enough_outcomes(comparison.baseline);
        let canary = means_with_enough_outcomes(comparison.canary);
        baseline.sort_by(f64::total_cmp);
        let Some(median) = baseline.get(baseline.len() / 2) else {
            return 0;
        };
        let bound = median - comparison.evidence.metric.tolerance();
        let worse = canary.iter().filter(|mean| **mean < bound).count();
        comparison
            .vote_weight(binomial_tail(canary.len(), 0.5, worse))
            .min(comparison.policy_weight())
    }
}

/// The means of the endpoints with at least [`MIN_ENDPOINT_OUTCOMES`].
fn means_with_enough_outcomes(endpoints: &[Payoff]) -> Vec<f64> {
    endpoints
        .iter()
        .filter(|payoff| payoff.count >= MIN_ENDPOINT_OUTCOMES)
        .map(Payoff::mean)
        .collect()
}

/// The rank-sum test of the endpoints' means, as a t test of their ranks (Conover and Iman).
#[derive(Clone, Copy, Debug)]
pub struct RankSumTest;

impl EliminationRule for RankSumTest {
    fn name(&self) -> &'static str {
        "rank"
    }

    fn weight(&self, comparison: &Comparison<'_>) -> usize {
        let tolerance = comparison.evidence.metric.tolerance();
        let canary: Vec<f64> = comparison.canary.iter().map(Payoff::mean).collect();
        let baseline: Vec<f64> = comparison
            .baseline
            .iter()
            .map(|payoff| payoff.mean() - tolerance)
            .collect();
        comparison
            .vote_weight(rank_sum_error(&canary, &baseline))
            .min(comparison.policy_weight())
    }
}

/// The probability that ranks of `low` are at least this far below those of `high` if both have the same distribution.
fn rank_sum_error(low: &[f64], high: &[f64]) -> f64 {
    let total = low.len() + high.len();
    if low.is_empty() || high.is_empty() || total < 3 {
        return 1.0;
    }
    let all: Vec<f64> = low.iter().chain(high).copied().collect();
    let ranks = midranks(&all);
    let (low_ranks, high_ranks) = ranks.split_at(low.len());
    let difference = mean(high_ranks) - mean(low_ranks);
    let overall = mean(&ranks);
    let squares: f64 = ranks.iter().map(|rank| (rank - overall).powi(2)).sum();
    let variance = squares / (total - 1) as f64;
    let per_rank = 1.0 / low.len() as f64 + 1.0 / high.len() as f64;
    if difference <= 0.0 || variance == 0.0 {
        return 1.0;
    }
    let z_squared = difference * difference / (variance * per_rank);
    let remainder = (total as f64 - 1.0 - z_squared).max(f64::EPSILON);
    let t = (z_squared * (total - 2) as f64 / remainder).sqrt();
    // Each assignment of ranks to the two arms is equally likely, so no probability is below that of one assignment.
    student_tail(t, total - 2).max(1.0 / combinations(total, low.len()))
}

/// The rank of each value, the lowest first. Equal values get the mean of their ranks.
fn midranks(values: &[f64]) -> Vec<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    values
        .iter()
        .map(|value| {
            let below = sorted.partition_point(|other| other < value);
            let not_above = sorted.partition_point(|other| other <= value);
            (below + not_above + 1) as f64 / 2.0
        })
        .collect()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}
