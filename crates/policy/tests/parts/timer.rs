//! Tests of the policy's timer.

use harrierdock_policy::timer::PolicyTimer;
use harrierdock_types::{Action, Timestamp};

use crate::{at, context_at, ms};

/// The actions that the timer emits at this time in milliseconds. The tick interval is 10 ms.
fn emit(timer: &mut PolicyTimer, now: i64, next_retry: Option<Timestamp>) -> Vec<Action> {
    let mut actions = Vec::new();
    timer.emit(&context_at(now, &[1.0]), next_retry, &mut actions);
    actions
}

#[test]
fn it_ticks_at_a_tenth_of_the_shortest_latency_objective() {
    let mut timer = PolicyTimer::default();
    let tick = [Action::SetTimer { after: ms(10) }];
    assert_eq!(emit(&mut timer, 100, None), tick);
    assert_eq!(emit(&mut timer, 105, None), []);
    timer.record_fired(at(110));
    assert_eq!(emit(&mut timer, 110, None), tick);
}

#[test]
fn an_earlier_retry_resets_it_and_a_later_one_does_not() {
    let mut timer = PolicyTimer::default();
    emit(&mut timer, 100, None);
    assert_eq!(emit(&mut timer, 101, Some(at(150))), []);
    let earlier = Action::SetTimer { after: ms(3) };
    assert_eq!(emit(&mut timer, 102, Some(at(105))), [earlier]);
}
