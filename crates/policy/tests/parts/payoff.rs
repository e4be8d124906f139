//! Unit tests of payoffs and of the statistics that compare them.

use harrierdock_policy::payoff::Payoff;

fn payoff(count: f64, sum: f64) -> Payoff {
    Payoff { count, sum }
}

#[test]
fn a_payoff_without_outcomes_has_a_mean_of_zero() {
    assert_eq!(Payoff::default().mean(), 0.0);
}

#[test]
fn divergence_is_zero_at_the_observed_mean_and_grows_with_distance_and_count() {
    let half = payoff(40.0, 20.0);
    assert!(half.divergence_from(0.5).abs() < 1e-12);
    assert!(half.divergence_from(0.7) < half.divergence_from(0.9));
    assert!(half.divergence_from(0.9) < payoff(80.0, 40.0).divergence_from(0.9));
}

#[test]
fn divergence_below_is_zero_if_the_rest_is_worse() {
    assert_eq!(
        payoff(40.0, 30.0).divergence_below(&payoff(40.0, 20.0)),
        0.0
    );
    assert!(payoff(40.0, 20.0).divergence_below(&payoff(40.0, 40.0)) > 0.0);
}

#[test]
fn elimination_requires_twenty_outcomes_of_each_arm() {
    let best = payoff(100.0, 100.0);
    assert_eq!(payoff(19.0, 0.0).elimination_weight(&best, 0.0), 0);
    assert!(payoff(20.0, 0.0).elimination_weight(&best, 0.0) > 0);
    assert_eq!(
        payoff(100.0, 0.0).elimination_weight(&payoff(19.0, 19.0), 0.0),
        0
    );
}

#[test]
fn a_difference_within_the_tolerance_does_not_eliminate() {
    let worse = payoff(200.0, 180.0);
    let better = payoff(200.0, 200.0);
    assert!(worse.elimination_weight(&better, 0.0) > 0);
    assert_eq!(worse.elimination_weight(&better, 0.15), 0);
}
