//! An attempt states the time that its client has left at its first byte, however long the process paused before.

use std::time::Duration;

use harrierdock_types::TimeDelta;

use super::gateway_fixture::{ConnectionUse, GatewayFixture};
use super::scripted_clock::{self, Pause};

/// Longer than the 0.15 s of slack that the platform allows in the stated time.
const PAUSE: Duration = Duration::from_millis(300);
/// The fewest expected clock readings from a request to its attempt. With fewer readings, the pauses would miss the attempt.
const MIN_READINGS: usize = 5;

/// An attempt as its endpoint received it.
#[derive(Debug)]
struct ReceivedAttempt {
    /// Whether the process paused before the attempt was received.
    had_pause: bool,
    /// Whether the attempt's bytes had arrived when the pause began.
    had_arrived: bool,
    /// The client's remaining time as the attempt states it.
    stated_time_left: TimeDelta,
    /// The client's actual remaining time when the attempt is received.
    time_left: TimeDelta,
}

/// Sends a request and pauses the process before one clock reading.
fn run_attempt_with_pause(connection: ConnectionUse, before_reading: usize) -> ReceivedAttempt {
    let mut fixture = GatewayFixture::with_next_attempt_on(connection);
    fixture.send_request("a2");
    scripted_clock::schedule_pause(Pause {
        before_reading,
        duration: PAUSE,
    });
    let head = fixture.wait_for_attempt();
    let stated_ms = head
        .lines()
        .find_map(|line| line.strip_prefix("X-Remaining-Ms: "))
        .expect("the attempt states no remaining time");
    ReceivedAttempt {
        had_pause: scripted_clock::has_paused(),
        had_arrived: scripted_clock::check_result() == Some(true),
        stated_time_left: TimeDelta::from_millis(stated_ms.parse().unwrap()),
        time_left: fixture.request().deadline - fixture.gateway.context.now(),
    }
}

/// Runs one request for each clock reading between a request and its attempt, with a pause before that reading.
fn check_every_reading(connection: ConnectionUse) {
    let attempts: Vec<ReceivedAttempt> = (0..)
        .map(|reading| run_attempt_with_pause(connection, reading))
        .take_while(|attempt| attempt.had_pause)
        .filter(|attempt| !attempt.had_arrived)
        .collect();
    assert!(attempts.len() >= MIN_READINGS, "{attempts:?}");
    let overstated: Vec<(usize, &ReceivedAttempt)> = attempts
        .iter()
        .enumerate()
        .filter(|(_, attempt)| attempt.stated_time_left > attempt.time_left)
        .collect();
    assert!(
        overstated.is_empty(),
        "{connection:?} connection, {} clock readings, overstated times: {overstated:?}",
        attempts.len()
    );
}

#[test]
fn an_attempt_on_a_new_connection_never_overstates_the_time_left_wherever_the_process_pauses() {
    check_every_reading(ConnectionUse::New);
}

#[test]
fn an_attempt_on_a_reused_connection_never_overstates_the_time_left_wherever_the_process_pauses() {
    check_every_reading(ConnectionUse::Reused);
}
