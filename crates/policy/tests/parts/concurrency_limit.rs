//! Tests of the concurrency limit of one endpoint.

use harrierdock_policy::concurrency_limit::ConcurrencyLimit;
use harrierdock_types::AttemptOutcome;

use crate::{at, ms};

/// Starts attempts until the limit is reached, and returns the number of attempts in flight.
fn fill(limit: &mut ConcurrencyLimit) -> usize {
    while limit.has_capacity() {
        limit.record_attempt_start();
    }
    limit.in_flight()
}

#[test]
fn a_new_endpoint_accepts_three_attempts() {
    assert_eq!(fill(&mut ConcurrencyLimit::default()), 3);
}

#[test]
fn the_limit_grows_with_low_latency_while_it_is_reached() {
    let mut limit = ConcurrencyLimit::default();
    for _ in 0..30 {
        fill(&mut limit);
        limit.record_attempt_end(AttemptOutcome::Succeeded, at(0), 0.05);
    }
    assert!(fill(&mut limit) > 3);
}

#[test]
fn the_limit_shrinks_with_rejections_down_to_one_attempt() {
    let mut limit = ConcurrencyLimit::default();
    for _ in 0..50 {
        limit.record_attempt_start();
        limit.record_attempt_end(AttemptOutcome::Rejected, at(0), 0.05);
    }
    assert_eq!(fill(&mut limit), 1);
}

#[test]
fn abandoned_attempts_count_until_a_later_one_succeeds_or_the_timeout_passes() {
    let mut limit = ConcurrencyLimit::default();
    for _ in 0..3 {
        limit.record_attempt_start();
        limit.record_attempt_end(AttemptOutcome::Cancelled, at(10), 0.05);
    }
    assert!(!limit.has_capacity());
    limit.forget_abandoned(at(309), ms(300));
    assert!(!limit.has_capacity());
    limit.forget_abandoned(at(310), ms(300));
    assert!(limit.has_capacity());
}

#[test]
fn attempts_that_ended_early_leave_the_limit_as_it_is_and_hold_their_place_for_less_time() {
    let mut limit = ConcurrencyLimit::default();
    for _ in 0..3 {
        limit.record_attempt_start();
        limit.record_early_end(at(10), at(110));
    }
    assert!(!limit.has_capacity());
    limit.forget_abandoned(at(109), ms(300));
    assert!(!limit.has_capacity());
    limit.forget_abandoned(at(110), ms(300));
    assert_eq!(fill(&mut limit), 3);
}
