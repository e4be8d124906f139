//! An attempt never outlasts its request's deadline, however long the process pauses between two readings of its clock.

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;

use super::gateway_fixture::{ConnectionUse, GatewayFixture};
use super::scripted_clock::{self, Pause};

/// Longer than the tick after the deadline within which a request must be answered, and than a pause that goes unnoticed.
const PAUSE: Duration = Duration::from_millis(300);
/// The fewest expected clock readings from a request to its answer. With fewer readings, the pauses would miss the attempt.
const MIN_READINGS: usize = 10;

/// The result of a request during which the process paused.
struct PausedRequest {
    /// Whether the pause occurred before the answer.
    had_pause: bool,
    /// The answer's status, or `None` if an invariant was violated.
    status: Option<String>,
}

/// Sends a request to an unresponsive endpoint, pauses the process before one clock reading, and lets the request's deadline
/// pass.
fn run_request_with_pause(connection: ConnectionUse, before_reading: usize) -> PausedRequest {
    let mut fixture = GatewayFixture::with_next_attempt_on(connection);
    fixture.send_request("a2");
    scripted_clock::schedule_pause(Pause {
        before_reading,
        duration: PAUSE,
    });
    fixture.wait_for_attempt();
    fixture.advance_to_overdue();
    // A violated invariant panics in debug builds and is counted in release builds.
    let status = catch_unwind(AssertUnwindSafe(|| fixture.wait_for_answer()));
    let counters = fixture.gateway.context.counters.to_string();
    PausedRequest {
        had_pause: scripted_clock::has_paused(),
        status: status.ok().filter(|_| !counters.contains("broken=")),
    }
}

/// Runs one request for each clock reading between a request and its answer, with a pause before that reading.
fn check_every_reading(connection: ConnectionUse) {
    let statuses: Vec<Option<String>> = (0..)
        .map(|reading| run_request_with_pause(connection, reading))
        .take_while(|request| request.had_pause)
        .map(|request| request.status)
        .collect();
    assert!(statuses.len() >= MIN_READINGS, "{statuses:?}");
    let is_failure =
        |status: &Option<String>| status.as_deref().is_some_and(|s| s.starts_with('5'));
    assert!(statuses.iter().all(is_failure), "{statuses:?}");
}

#[test]
fn a_request_on_a_new_connection_is_answered_by_its_deadline_wherever_the_process_pauses() {
    check_every_reading(ConnectionUse::New);
}

#[test]
fn a_request_on_a_reused_connection_is_answered_by_its_deadline_wherever_the_process_pauses() {
    check_every_reading(ConnectionUse::Reused);
}
