//! Tests of the request table.

use harrierdock_policy::request_table::{Answer, Attempt, AttemptState, Request, RequestTable};
use harrierdock_types::{Action, AffinityKey, BuildId, ClassId, EndpointId, RequestId, TimeDelta};

use crate::at;

const ID: RequestId = RequestId(1);
const KEY: AffinityKey = AffinityKey(7);

/// A table with one request, which has a deadline at 1000 ms and one started attempt.
fn table() -> RequestTable {
    let mut table = RequestTable::default();
    table.insert(ID, Request::new(ClassId(0), Some(KEY), at(0), at(1000)));
    table.start_attempt(
        ID,
        Attempt {
            endpoint: EndpointId(3),
            build: BuildId(2),
            started: at(0),
            state: AttemptState::PendingStart,
        },
    );
    let started = Action::StartAttempt {
        id: ID,
        endpoint: EndpointId(3),
        timeout: TimeDelta::ZERO,
    };
    assert_eq!(emit(&mut table), [started]);
    table
}

fn emit(table: &mut RequestTable) -> Vec<Action> {
    let mut actions = Vec::new();
    table.emit(None, &mut actions);
    actions
}

#[test]
fn emitted_actions_are_not_emitted_again() {
    let mut table = table();
    table.mark_changed(ID);
    assert_eq!(emit(&mut table), []);
}

#[test]
fn a_finished_request_cancels_its_attempt_and_is_removed_when_that_has_finished() {
    let mut table = table();
    assert!(table.finish(ID, Answer::Reject, true));
    let cancel = Action::CancelAttempt { id: ID, attempt: 0 };
    let reject = Action::Reject {
        id: ID,
        retry_after: None,
    };
    assert_eq!(emit(&mut table), [cancel, reject]);
    assert!(table.get(ID).is_some());
    assert!(table.finish_attempt(ID, 0, true).is_some());
    table.mark_changed(ID);
    assert_eq!(emit(&mut table), []);
    assert!(table.get(ID).is_none());
}

#[test]
fn attempts_that_cannot_be_cancelled_keep_running() {
    let mut table = table();
    assert!(table.finish(ID, Answer::Fail, false));
    assert_eq!(emit(&mut table), [Action::Fail { id: ID }]);
}

#[test]
fn a_retry_timer_expires_no_later_than_the_deadline() {
    let mut table = table();
    table.schedule_retry(ID, at(500));
    table.schedule_retry(ID, at(2000));
    assert_eq!(table.next_retry(), Some(at(1000)));
    assert_eq!(table.pop_expired_retry(at(999)), None);
    assert_eq!(table.pop_expired_retry(at(1000)), Some(ID));
    assert_eq!(table.next_retry(), None);
}

#[test]
fn a_key_is_in_flight_at_the_build_of_its_attempt_unless_that_build_is_rolled_back() {
    let table = table();
    assert_eq!(table.newest_build_in_flight(KEY, None), Some(BuildId(2)));
    assert_eq!(table.newest_build_in_flight(KEY, Some(BuildId(2))), None);
    assert_eq!(table.newest_build_in_flight(AffinityKey(8), None), None);
}
