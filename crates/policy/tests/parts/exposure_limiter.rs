//! The exposure limit of builds that are not released.

use harrierdock_policy::context::Context;
use harrierdock_policy::exposure_limiter::{CanaryAttempt, ExposureLimiter};
use harrierdock_types::{BuildId, ClassId, ExposureCounting};

use crate::{at, context_at, ms};

const ATTEMPT: CanaryAttempt = CanaryAttempt {
    class: ClassId(0),
    build: BuildId(2),
};

/// A window of 2 s, in which one attempt is free.
fn context(milliseconds: i64) -> Context {
    let mut context = context_at(milliseconds, &[1.0, 1.0]);
    context.parameters.rollout.exposure_window = ms(2000);
    context.parameters.rollout.exposure_allowance = 1.0;
    context
}

/// Counts as many attempts as are allowed at this time.
fn use_up(limiter: &mut ExposureLimiter, context: &Context, exposure_limit: f64) -> usize {
    let mut count = 0;
    while limiter.allows(context, ATTEMPT, exposure_limit) {
        limiter.record_attempt(context.now, ATTEMPT);
        count += 1;
    }
    count
}

#[test]
fn the_allowance_and_the_limit_of_the_window_add_up() {
    let mut limiter = ExposureLimiter::default();
    for number in 0..20 {
        limiter.record_request(at(1000 + number), ClassId(0));
    }
    assert_eq!(use_up(&mut limiter, &context(1100), 0.2), 5);
    assert_eq!(use_up(&mut limiter, &context(2900), 0.2), 0);
}

#[test]
fn nothing_is_allowed_at_a_limit_of_zero() {
    let limiter = ExposureLimiter::default();
    assert!(!limiter.allows(&context(0), ATTEMPT, 0.0));
}

#[test]
fn requests_of_another_class_do_not_count_per_class() {
    let mut limiter = ExposureLimiter::default();
    for number in 0..20 {
        limiter.record_request(at(1000 + number), ClassId(1));
    }
    let mut context = context(1100);
    context.parameters.rollout.exposure_counting = ExposureCounting::PerClass;
    assert_eq!(use_up(&mut limiter, &context, 0.2), 1);
}

#[test]
fn a_withdrawn_attempt_makes_way_for_another() {
    let mut limiter = ExposureLimiter::default();
    let context = context(1000);
    assert_eq!(use_up(&mut limiter, &context, 0.2), 1);
    limiter.withdraw_attempt(context.now, ATTEMPT);
    assert!(limiter.allows(&context, ATTEMPT, 0.2));
}
