//! The model of the elimination test: its findings about the policy and one candidate, and that it is deterministic.

use std::num::NonZeroUsize;

use harrierdock_fault_injection::elimination::report::{Report, RuleFigures};
use harrierdock_fault_injection::elimination::rules::{
    compared_rules, ByEndpoint, Comparison, EliminationRule, OutlierBound, PolicyRule,
};
use harrierdock_fault_injection::elimination::{run_draws, ModelSettings};
use harrierdock_policy::payoff::DELTA;

/// The stage in which 60% of the endpoints run the canary.
const SECOND_STAGE_RATIO: f64 = 0.6;

struct NeverEliminates;

impl EliminationRule for NeverEliminates {
    fn name(&self) -> &'static str {
        "never"
    }

    fn weight(&self, _: &Comparison<'_>) -> usize {
        0
    }
}

fn settings(seed: u64, draws: usize, gateways: usize, bad_endpoint_ratio: f64) -> ModelSettings {
    ModelSettings {
        seed,
        draws: NonZeroUsize::new(draws).unwrap(),
        fleet_sizes: vec![gateways],
        bad_endpoint_ratios: vec![bad_endpoint_ratio],
    }
}

/// The figures of the first rule in the second stage.
fn second_stage_figures(report: &Report) -> &RuleFigures {
    let row = report
        .rows
        .iter()
        .find(|row| row.stage_ratio == SECOND_STAGE_RATIO)
        .unwrap();
    &row.rules[0]
}

#[test]
fn the_same_seed_gives_the_same_figures_and_another_seed_different_ones() {
    let figures = |seed| {
        let report = run_draws(&settings(seed, 4, 30, 0.125), &compared_rules(), || {});
        serde_json::to_string(&report.rows).unwrap()
    };
    assert_eq!(figures(1), figures(1));
    assert_ne!(figures(1), figures(2));
}

#[test]
fn a_rule_that_never_eliminates_keeps_good_builds_and_bad_ones() {
    let rules: Vec<Box<dyn EliminationRule>> = vec![Box::new(NeverEliminates)];
    let report = run_draws(&settings(1, 3, 30, 0.125), &rules, || {});
    assert_eq!(report.rows.len(), 3);
    for row in &report.rows {
        let figures = &row.rules[0];
        assert_eq!(figures.good_eliminated_ratio, 0.0, "{row:?}");
        assert_eq!(figures.bad_eliminated_ratio, 0.0, "{row:?}");
        assert_eq!(figures.median_seconds, None, "{row:?}");
    }
}

/// Guards the model's finding for docs/incidents/2026-12-03-open-votes.md: with one bad endpoint in eight, the policy rolls good
/// builds back. A fix of the policy inverts this assertion.
#[test]
fn the_policy_eliminates_good_builds_if_one_of_eight_endpoints_is_bad() {
    let rules: Vec<Box<dyn EliminationRule>> = vec![Box::new(PolicyRule)];
    let report = run_draws(&settings(1, 8, 300, 0.125), &rules, || {});
    let figures = second_stage_figures(&report);
    assert!(figures.good_eliminated_ratio > 2.0 * DELTA, "{figures:?}");
    assert!(figures.bad_eliminated_ratio > 0.5, "{figures:?}");
}

#[test]
fn the_policy_keeps_good_builds_if_no_endpoint_is_bad() {
    let rules: Vec<Box<dyn EliminationRule>> = vec![Box::new(PolicyRule)];
    let report = run_draws(&settings(1, 8, 300, 0.0), &rules, || {});
    let figures = second_stage_figures(&report);
    assert_eq!(figures.good_eliminated_ratio, 0.0, "{figures:?}");
    assert!(figures.bad_eliminated_ratio > 0.5, "{figures:?}");
}

#[test]
fn aggregators_by_endpoint_with_the_outlier_bound_keep_good_builds_that_the_policy_eliminates() {
    let rules: Vec<Box<dyn EliminationRule>> = vec![Box::new(ByEndpoint {
        name: "bound/parts",
        rule: OutlierBound,
    })];
    let report = run_draws(&settings(1, 8, 300, 0.125), &rules, || {});
    let figures = second_stage_figures(&report);
    assert_eq!(figures.good_eliminated_ratio, 0.0, "{figures:?}");
    assert!(figures.bad_eliminated_ratio > 0.5, "{figures:?}");
}
