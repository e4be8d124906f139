//! Unit tests of the exposure limit of unreleased builds.

use harrierdock_policy::context::Context;
use harrierdock_policy::exposure_limiter::{CanaryAttempt, ExposureLimiter};
use harrierdock_types::{BuildId, ClassId, ExposureCounting};

use crate::{at, context_at, ms};

const ATTEMPT: CanaryAttempt = CanaryAttempt {
    class: ClassId(0),
    build: BuildId(2),
};

/// A context with an exposure window of 2 s and an allowance of one attempt.
fn context(milliseconds: i64) -> Context {
    let mut context = context_at(milliseconds, &[1.0, 1.0]);
    context.parameters.rollout.exposure_window = ms(2000);
    context.parameters.rollout.exposure_allowance = 1.0;
    context
}

/// Records attempts until none is allowed any more, and returns their number.
fn exhaust(limiter: &mut ExposureLimiter, context: &Context, exposure_limit: f64) -> usize {
    let mut count = 0;
    while limiter.allows(context, ATTEMPT, exposure_limit) {
        limiter.record_attempt(context.now, ATTEMPT);
        count += 1;
    }
    count
}

#[test]
fn the_allowance_is_added_to_the_limit_of_the_window() {
    let mut limiter = ExposureLimiter::default();
    for number in 0..20 {
        limiter.record_request(at(1000 + number), ClassId(0));
    }
    assert_eq!(exhaust(&mut limiter, &context(1100), 0.2), 5);
    assert_eq!(exhaust(&mut limiter, &context(2900), 0.2), 0);
}

#[test]
fn a_limit_of_zero_allows_no_attempt() {
    let limiter = ExposureLimiter::default();
    assert!(!limiter.allows(&context(0), ATTEMPT, 0.0));
}

#[test]
fn requests_of_other_classes_do_not_count_where_exposure_is_counted_per_class() {
    let mut limiter = ExposureLimiter::default();
    for number in 0..20 {
        limiter.record_request(at(1000 + number), ClassId(1));
    }
    let mut context = context(1100);
    context.parameters.rollout.exposure_counting = ExposureCounting::PerClass;
    assert_eq!(exhaust(&mut limiter, &context, 0.2), 1);
}

#[test]
fn withdrawing_an_attempt_allows_another() {
    let mut limiter = ExposureLimiter::default();
    let context = context(1000);
    assert_eq!(exhaust(&mut limiter, &context, 0.2), 1);
    limiter.withdraw_attempt(context.now, ATTEMPT);
    assert!(limiter.allows(&context, ATTEMPT, 0.2));
}
