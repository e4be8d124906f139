//! The elimination rules that the model compares, on fixed outcomes.

use harrierdock_fault_injection::elimination::rules::{
    compared_rules, ByEndpoint, ClusterRadius, Comparison, EliminationRule, MatchedOutliers,
    OutlierBound, PolicyRule, RankSumTest, ReportTarget, SharedVotes, SignTest, SymmetricTrim,
};
use harrierdock_fault_injection::elimination::scenario::Fleet;
use harrierdock_policy::elimination_test::{EliminationTest, Metric, PayoffSource};
use harrierdock_policy::payoff::Payoff;
use harrierdock_types::{Arm, EndpointId};

/// The weight of a vote whose probability of error is δ.
const DELTA_WEIGHT: usize = 28;

fn payoffs(count: f64, losses: &[f64]) -> Vec<Payoff> {
    let payoff = |loss: &f64| Payoff {
        count,
        sum: count - loss,
    };
    losses.iter().map(payoff).collect()
}

fn record_payoffs(test: &mut EliminationTest, arm: Arm, first_endpoint: usize, payoffs: &[Payoff]) {
    for (index, payoff) in payoffs.iter().enumerate() {
        let source = PayoffSource::Endpoint(EndpointId(first_endpoint + index));
        test.record(Metric::Success, arm, source, *payoff);
    }
}

/// The weight of the rule's vote against the canary.
fn weight(rule: &dyn EliminationRule, canary: &[Payoff], baseline: &[Payoff]) -> usize {
    let mut test = EliminationTest::default();
    record_payoffs(&mut test, Arm::Canary, 0, canary);
    record_payoffs(&mut test, Arm::Baseline, canary.len(), baseline);
    let evidence = test.evidence().next().unwrap();
    rule.weight(&Comparison {
        evidence: &evidence,
        canary,
        baseline,
    })
}

/// Canary and baseline payoffs as in docs/incidents/2026-12-03-open-votes.md. Each canary endpoint has a few outcomes; three
/// endpoints lost one or two. Each baseline endpoint has many outcomes, so the bad ones are clear outliers.
fn incident_payoffs() -> (Vec<Payoff>, Vec<Payoff>) {
    let mut canary = payoffs(4.0, &[0.0; 27]);
    canary.extend(payoffs(4.0, &[1.0, 2.0, 1.0]));
    let mut baseline = payoffs(12.0, &[0.0; 105]);
    baseline.extend(payoffs(12.0, &[6.0; 15]));
    (canary, baseline)
}

/// Canary and baseline payoffs of a bad build: each canary endpoint loses a third of its outcomes.
fn bad_build_payoffs() -> (Vec<Payoff>, Vec<Payoff>) {
    let canary = payoffs(12.0, &[4.0; 30]);
    let baseline = payoffs(12.0, &[0.0; 120]);
    (canary, baseline)
}

#[test]
fn the_policy_votes_against_the_canary_for_losses_of_a_few_endpoints() {
    let (canary, baseline) = incident_payoffs();
    assert!(weight(&PolicyRule, &canary, &baseline) > 0);
}

#[test]
fn rules_that_leave_out_likely_outliers_cast_no_vote_for_losses_of_a_few_endpoints() {
    let (canary, baseline) = incident_payoffs();
    let rules: [&dyn EliminationRule; 4] =
        [&SymmetricTrim, &MatchedOutliers, &OutlierBound, &SignTest];
    for rule in rules {
        assert_eq!(weight(rule, &canary, &baseline), 0, "{}", rule.name());
    }
}

#[test]
fn each_rule_votes_against_a_build_that_fails_everywhere() {
    let (canary, baseline) = bad_build_payoffs();
    for rule in compared_rules() {
        let weight = weight(rule.as_ref(), &canary, &baseline);
        assert!(weight >= DELTA_WEIGHT, "{}: {weight}", rule.name());
    }
}

#[test]
fn no_rule_gives_a_vote_more_weight_than_the_policy() {
    for (canary, baseline) in [incident_payoffs(), bad_build_payoffs()] {
        let policy = weight(&PolicyRule, &canary, &baseline);
        for rule in compared_rules() {
            let weight = weight(rule.as_ref(), &canary, &baseline);
            assert!(weight <= policy, "{}: {weight} of {policy}", rule.name());
        }
    }
}

#[test]
fn one_canary_endpoint_gives_no_cluster_variance_and_a_rank_sum_no_better_than_chance() {
    let canary = payoffs(40.0, &[30.0]);
    let baseline = payoffs(40.0, &[0.0; 14]);
    assert!(weight(&PolicyRule, &canary, &baseline) > DELTA_WEIGHT);
    assert_eq!(weight(&ClusterRadius, &canary, &baseline), 0);
    // One of 15 endpoints is the worst by chance with a probability of 0.067, before the allowance for repeated tests.
    assert!(weight(&RankSumTest, &canary, &baseline) < DELTA_WEIGHT);
    // After 14 of 14 good endpoints the next one is bad with a probability of 1/16.
    let bound = weight(&OutlierBound, &canary, &baseline);
    assert_eq!(bound, (16.0_f64.ln() / (1.0_f64 / 0.9).ln()) as usize);
}

#[test]
fn each_vote_of_groups_that_share_endpoints_needs_the_weight_for_delta() {
    let fleet = Fleet { gateways: 300 };
    let shared = SharedVotes {
        name: "shared",
        rule: PolicyRule,
    };
    let half_weight = [DELTA_WEIGHT / 2; 8];
    assert!(PolicyRule.eliminates(fleet, &half_weight[..4]));
    assert!(!shared.eliminates(fleet, &half_weight[..4]));
    assert!(!shared.eliminates(fleet, &[DELTA_WEIGHT; 3]));
    assert!(shared.eliminates(fleet, &[DELTA_WEIGHT; 4]));
}

#[test]
fn a_rule_by_endpoint_votes_and_counts_votes_like_the_wrapped_rule() {
    let (canary, baseline) = incident_payoffs();
    let by_endpoint = ByEndpoint {
        name: "parts",
        rule: PolicyRule,
    };
    assert_eq!(
        by_endpoint.report_target(),
        ReportTarget::EndpointAggregator
    );
    assert_eq!(
        weight(&by_endpoint, &canary, &baseline),
        weight(&PolicyRule, &canary, &baseline)
    );
    let fleet = Fleet { gateways: 300 };
    for weights in [[14; 8], [1; 8], [0; 8]] {
        assert_eq!(
            by_endpoint.eliminates(fleet, &weights),
            PolicyRule.eliminates(fleet, &weights)
        );
    }
}
