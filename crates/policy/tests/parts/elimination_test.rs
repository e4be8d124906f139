//! Unit tests of the elimination test between two arms.

use harrierdock_policy::elimination_test::{EliminationTest, Metric, PayoffSource};
use harrierdock_policy::payoff::Payoff;
use harrierdock_policy::rollout_state::StageChange;
use harrierdock_types::{Arm, EndpointId};

/// Records 40 outcomes of each endpoint of an arm; `sums` holds one payoff sum per endpoint.
fn record(test: &mut EliminationTest, metric: Metric, arm: Arm, sums: &[f64]) {
    let first = match arm {
        Arm::Baseline => 0,
        Arm::Canary => 100,
    };
    for (index, sum) in sums.iter().enumerate() {
        let source = PayoffSource::Endpoint(EndpointId(first + index));
        let outcomes = Payoff {
            count: 40.0,
            sum: *sum,
        };
        test.record(metric, arm, source, outcomes);
    }
}

/// The sum of the weights of the votes against an arm.
fn total_weight(test: &EliminationTest, arm: Arm) -> usize {
    let results = test.run();
    let results_of_arm = results.iter().filter(|result| result.arm == arm);
    results_of_arm.map(|result| result.weight).sum()
}

#[test]
fn a_canary_that_fails_everywhere_is_eliminated() {
    let mut test = EliminationTest::default();
    record(&mut test, Metric::Success, Arm::Baseline, &[40.0; 4]);
    record(&mut test, Metric::Success, Arm::Canary, &[25.0; 4]);
    assert!(total_weight(&test, Arm::Canary) > 0);
}

#[test]
fn one_outlier_among_four_endpoints_does_not_eliminate_the_canary() {
    let mut test = EliminationTest::default();
    record(&mut test, Metric::Success, Arm::Baseline, &[40.0; 4]);
    let sums = [40.0, 40.0, 20.0, 40.0];
    record(&mut test, Metric::Success, Arm::Canary, &sums);
    assert_eq!(total_weight(&test, Arm::Canary), 0);
}

#[test]
fn only_answers_in_time_eliminate_the_baseline() {
    for (metric, eliminates) in [(Metric::Success, false), (Metric::InTime, true)] {
        let mut test = EliminationTest::default();
        record(&mut test, metric, Arm::Baseline, &[20.0; 4]);
        record(&mut test, metric, Arm::Canary, &[40.0; 4]);
        assert_eq!(
            total_weight(&test, Arm::Baseline) > 0,
            eliminates,
            "{metric:?}"
        );
    }
}

#[test]
fn a_build_keeps_its_errors_over_stages_but_not_its_late_answers() {
    for (metric, is_kept) in [(Metric::Success, true), (Metric::InTime, false)] {
        let mut test = EliminationTest::default();
        record(&mut test, metric, Arm::Baseline, &[40.0; 4]);
        record(&mut test, metric, Arm::Canary, &[20.0; 4]);
        test.change_stage(StageChange::NextStage);
        assert_eq!(total_weight(&test, Arm::Canary) > 0, is_kept, "{metric:?}");
        test.change_stage(StageChange::NewBuild);
        assert_eq!(total_weight(&test, Arm::Canary), 0, "{metric:?}");
    }
}
