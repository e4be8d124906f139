//! The rules that the model of the elimination test compares, on outcomes given by hand.

use harrierdock_fault_injection::elimination::rules::{
    compared_rules, ByEndpoint, ClusterRadius, Comparison, EliminationRule, MatchedOutliers,
    OutlierBound, PolicyRule, RankSumTest, ReportTarget, SharedVotes, SignTest, SymmetricTrim,
};
use harrierdock_fault_injection::elimination::scenario::Fleet;
use harrierdock_policy::elimination_test::{EliminationTest, Metric, PayoffSource};
use harrierdock_policy::payoff::Payoff;
use harrierdock_types::{Arm, EndpointId};

/// The weight that a vote at δ has.
const DELTA_WEIGHT: usize = 28;

fn payoffs(count: f64, losses: &[f64]) -> Vec<Payoff> {
    let payoff = |loss: &f64| Payoff {
        count,
        sum: count - loss,
    };
    losses.iter().map(payoff).collect()
}

fn record(test: &mut EliminationTest, arm: Arm, first: usize, payoffs: &[Payoff]) {
    for (index, payoff) in payoffs.iter().enumerate() {
        let source = PayoffSource::Endpoint(EndpointId(first + index));
        test.record(Metric::Success, arm, source, *payoff);
    }
}

/// The weight that a rule votes with against the canary.
fn weight(rule: &dyn EliminationRule, canary: &[Payoff], baseline: &[Payoff]) -> usize {
    let mut test = EliminationTest::default();
    record(&mut test, Arm::Canary, 0, canary);
    record(&mut test, Arm::Baseline, canary.len(), baseline);
    let evidence = test.evidence().next().unwrap();
    rule.weight(&Comparison {
        evidence: &evidence,
        canary,
        baseline,
    })
}

/// As in docs/incidents/2026-12-03-open-votes.md: a few outcomes of each endpoint of the canary, of which three have lost one or
/// two; many of each endpoint of the baseline, whose bad ones stand out.
fn incident() -> (Vec<Payoff>, Vec<Payoff>) {
    let mut canary = payoffs(4.0, &[0.0; 27]);
    canary.extend(payoffs(4.0, &[1.0, 2.0, 1.0]));
    let mut baseline = payoffs(12.0, &[0.0; 105]);
    baseline.extend(payoffs(12.0, &[6.0; 15]));
    (canary, baseline)
}

/// Each endpoint of the canary loses a third.
fn bad_build() -> (Vec<Payoff>, Vec<Payoff>) {
    let canary = payoffs(12.0, &[4.0; 30]);
    let baseline = payoffs(12.0, &[0.0; 120]);
    (canary, baseline)
}

#[test]
fn the_policy_votes_for_what_a_few_endpoints_of_the_canary_lost() {
    let (canary, baseline) = incident();
    assert!(weight(&PolicyRule, &canary, &baseline) > 0);
}

#[test]
fn rules_that_leave_out_likely_outliers_keep_quiet_about_a_few_endpoints() {
    let (canary, baseline) = incident();
    let rules: [&dyn EliminationRule; 4] =
        [&SymmetricTrim, &MatchedOutliers, &OutlierBound, &SignTest];
    for rule in rules {
        assert_eq!(weight(rule, &canary, &baseline), 0, "{}", rule.name());
    }
}

#[test]
fn each_rule_votes_against_a_build_that_fails_everywhere() {
    let (canary, baseline) = bad_build();
    for rule in compared_rules() {
        let weight = weight(rule.as_ref(), &canary, &baseline);
        assert!(weight >= DELTA_WEIGHT, "{}: {weight}", rule.name());
    }
}

#[test]
fn no_rule_votes_with_more_than_the_policy() {
    for (canary, baseline) in [incident(), bad_build()] {
        let policy = weight(&PolicyRule, &canary, &baseline);
        for rule in compared_rules() {
            let weight = weight(rule.as_ref(), &canary, &baseline);
            assert!(weight <= policy, "{}: {weight} of {policy}", rule.name());
        }
    }
}

#[test]
fn one_endpoint_on_the_canary_is_no_cluster_and_convinces_no_test_of_ranks_beyond_chance() {
    let canary = payoffs(40.0, &[30.0]);
    let baseline = payoffs(40.0, &[0.0; 14]);
    assert!(weight(&PolicyRule, &canary, &baseline) > DELTA_WEIGHT);
    assert_eq!(weight(&ClusterRadius, &canary, &baseline), 0);
    // One of 15 endpoints is the worst by chance with a probability of 0.067, before the allowance for repeated tests.
    assert!(weight(&RankSumTest, &canary, &baseline) < DELTA_WEIGHT);
    // Where 14 of 14 are good the next is bad with a probability of 1/16.
    let bound = weight(&OutlierBound, &canary, &baseline);
    assert_eq!(bound, (16.0_f64.ln() / (1.0_f64 / 0.9).ln()) as usize);
}

#[test]
fn votes_of_groups_that_share_endpoints_have_to_hold_at_delta_each() {
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
fn a_rule_by_endpoint_votes_and_counts_as_the_rule_that_it_wraps() {
    let (canary, baseline) = incident();
    let by_endpoint = ByEndpoint {
        name: "parts",
        rule: PolicyRule,
    };
    assert_eq!(by_endpoint.report_target(), ReportTarget::EndpointsGroup);
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
