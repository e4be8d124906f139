//! Until when a gateway accepts and answers requests during its shutdown.

use harrierdock_attempt_guard::ShutdownSchedule;
use harrierdock_types::{TimeDelta, Timestamp};

const SIGNAL_AT: Timestamp = Timestamp(5_000_000);
const CONNECT_TIME: TimeDelta = TimeDelta::from_millis(500);

fn after_signal(milliseconds: i64) -> Timestamp {
    SIGNAL_AT + TimeDelta::from_millis(milliseconds)
}

/// A schedule for classes with this longest timeout.
fn schedule(longest_timeout_ms: i64) -> ShutdownSchedule {
    ShutdownSchedule::new(SIGNAL_AT, TimeDelta::from_millis(longest_timeout_ms))
}

#[test]
fn a_timeout_above_three_seconds_delays_the_kill_by_three_seconds() {
    assert_eq!(schedule(2_000).earliest_kill_at(), after_signal(2_700));
    assert_eq!(schedule(3_251).earliest_kill_at(), after_signal(3_700));
    assert_eq!(schedule(60_000).earliest_kill_at(), after_signal(3_700));
}

#[test]
fn answers_are_due_two_stalls_and_a_write_before_the_kill() {
    assert_eq!(schedule(3_251).answers_due_at(), after_signal(3_350));
    assert_eq!(schedule(800).answers_due_at(), after_signal(1_150));
}

#[test]
fn answers_are_never_due_within_the_grace_period() {
    for longest_timeout_ms in [0, 100, 350, 400, 3_000] {
        let schedule = schedule(longest_timeout_ms);
        assert!(schedule.answers_due_at() >= schedule.grace_ends_at());
        assert!(schedule.answers_due_at() <= schedule.earliest_kill_at());
    }
}

#[test]
fn a_request_within_the_grace_period_must_finish_before_the_kill_whatever_its_timeout() {
    let schedule = schedule(3_251);
    assert_eq!(
        schedule.time_left(after_signal(500), CONNECT_TIME),
        TimeDelta::from_millis(2_850)
    );
    assert_eq!(
        schedule.time_left(after_signal(700), CONNECT_TIME),
        TimeDelta::from_millis(2_650)
    );
}

#[test]
fn a_request_after_the_grace_period_leaves_time_for_a_connection_set_up() {
    let schedule = schedule(3_251);
    assert_eq!(
        schedule.time_left(after_signal(701), CONNECT_TIME),
        TimeDelta::from_millis(2_499)
    );
    assert_eq!(
        schedule.time_left(after_signal(701), TimeDelta::ZERO),
        TimeDelta::from_millis(2_649)
    );
    assert_eq!(
        schedule.time_left(after_signal(9_000), CONNECT_TIME),
        TimeDelta::ZERO
    );
}

#[test]
fn answers_are_due_from_the_earliest_signal_and_connections_stay_open_from_the_latest() {
    let earliest_signal_at = SIGNAL_AT - TimeDelta::from_millis(400);
    let schedule = schedule(3_251).with_signal_since(earliest_signal_at);
    assert_eq!(schedule.grace_ends_at(), after_signal(700));
    assert_eq!(schedule.answers_due_at(), after_signal(2_950));
    assert_eq!(schedule.earliest_kill_at(), after_signal(3_300));
    assert_eq!(schedule.ends_at(), after_signal(3_700));
}

#[test]
fn a_signal_time_after_its_handling_is_ignored() {
    let schedule = schedule(3_251).with_signal_since(after_signal(100));
    assert_eq!(schedule.earliest_kill_at(), after_signal(3_700));
}
