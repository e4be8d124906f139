//! Tests of the health of one endpoint.

use harrierdock_policy::outlier_ejection::{ejection_length, EndpointHealth};
use harrierdock_types::AttemptOutcome;

use crate::{at, ms};

#[test]
fn ejection_lengths_double_up_to_eight_times_the_first() {
    let lengths = [0, 1, 2, 3, 4, 50].map(|ejections| ejection_length(ms(100), ejections));
    assert_eq!(lengths, [100, 200, 400, 800, 800, 800].map(ms));
}

#[test]
fn a_failing_endpoint_is_ejected_temporarily() {
    let mut health = EndpointHealth::default();
    for _ in 0..3 {
        health.record_outcome(at(0), AttemptOutcome::ServerError, ms(100));
    }
    assert!(health.is_ejected(at(99)));
    assert!(!health.is_ejected(at(100)));
}

#[test]
fn a_rejecting_endpoint_backs_off_and_is_not_ejected() {
    let mut health = EndpointHealth::default();
    for _ in 0..20 {
        health.record_attempt_end(at(0), AttemptOutcome::Rejected, 0, ms(100), ms(1000));
        health.record_outcome(at(0), AttemptOutcome::Rejected, ms(1000));
    }
    assert!(health.is_backing_off(at(49)) && !health.is_backing_off(at(50)));
    assert!(!health.is_ejected(at(0)));
}

#[test]
fn an_endpoint_is_unresponsive_after_four_mean_latencies_without_a_response() {
    let mut health = EndpointHealth::default();
    health.record_attempt_start(at(0));
    health.record_attempt_start(at(30));
    assert!(!health.is_unresponsive(at(39), ms(10)));
    assert!(health.is_unresponsive(at(40), ms(10)));
    health.record_attempt_end(at(40), AttemptOutcome::Succeeded, 1, ms(100), ms(1000));
    assert!(!health.is_unresponsive(at(79), ms(10)));
    assert!(health.is_unresponsive(at(80), ms(10)));
}

#[test]
fn an_endpoint_that_refuses_connections_backs_off_and_is_unreachable_for_longer() {
    let mut health = EndpointHealth::default();
    let outcome = AttemptOutcome::ConnectFailed;
    health.record_attempt_end(at(0), outcome, 0, ms(100), ms(200));
    health.record_outcome(at(0), outcome, ms(200));
    assert!(health.is_backing_off(at(199)) && !health.is_backing_off(at(200)));
    assert!(health.is_unreachable(at(299)) && !health.is_unreachable(at(300)));
}
