//! The attempts and the final answer of a request.

use expect_test::expect;
use harrierdock_types::*;

use crate::support::*;

#[test]
fn no_retry_starts_while_an_attempt_runs() {
    let mut gateway = ScriptedGateway::with_endpoints(
        default_parameters(),
        &[1, 1, 1, 1, 1, 1, 1, 1],
        RolloutPhase::Released,
    );
    for number in 0..40 {
        gateway.run_until(number * 20);
        gateway.receive_request(IDEMPOTENT, None);
    }
    gateway.run_until(1400);
    expect!["24 attempts of 40 requests"]
        .assert_eq(&format!("{} attempts of 40 requests", gateway.sent.len()));
}

#[test]
fn a_request_gets_one_final_answer() {
    let mut gateway =
        ScriptedGateway::with_endpoints(default_parameters(), &[1], RolloutPhase::Released);
    let idempotent = gateway.receive_request(IDEMPOTENT, None);
    let non_idempotent = gateway.receive_request(NON_IDEMPOTENT, None);
    let abandoned = gateway.receive_request(IDEMPOTENT, None);
    gateway.run_until(200);
    gateway.handle(Event::ClientDisconnected {
        id: RequestId(abandoned),
    });
    gateway.finish_attempt(abandoned, 0, AttemptOutcome::Cancelled, 200);
    gateway.run_until(1500);
    gateway.finish_attempt(idempotent, 0, AttemptOutcome::TimedOut, 1500);
    gateway.finish_attempt(non_idempotent, 0, AttemptOutcome::TimedOut, 1500);
    gateway.run_until(4000);
    expect![[r#"
        0: attempt #1 to 0
        0: attempt #2 to 0
        0: attempt #3 to 0
        200: cancel #3 attempt 0
        1500: reject #1, retry after 400 ms
        1500: fail #2
    "#]]
    .assert_eq(&gateway.trace);
}

#[test]
fn a_request_that_waits_for_an_endpoint_is_rejected_at_its_deadline() {
    let mut gateway =
        ScriptedGateway::with_endpoints(default_parameters(), &[1], RolloutPhase::Released);
    let idempotent = gateway.receive_request(IDEMPOTENT, None);
    gateway.run_until(1495);
    gateway.finish_attempt(idempotent, 0, AttemptOutcome::Rejected, 1495);
    gateway.run_until(3000);
    expect![[r#"
        0: attempt #1 to 0
        1500: reject #1, retry after 400 ms
    "#]]
    .assert_eq(&gateway.trace);
}

#[test]
fn a_rejection_after_the_deadline_is_answered_at_once() {
    let mut gateway =
        ScriptedGateway::with_endpoints(default_parameters(), &[1], RolloutPhase::Released);
    let idempotent = gateway.receive_request(IDEMPOTENT, None);
    // The gateway was stalled, so it handles the rejection before the timers that expired meanwhile.
    gateway.run_until(1600);
    gateway.finish_attempt(idempotent, 0, AttemptOutcome::Rejected, 1600);
    expect![[r#"
        0: attempt #1 to 0
        1600: reject #1, retry after 400 ms
    "#]]
    .assert_eq(&gateway.trace);
}

#[test]
fn retries_stay_inside_the_idempotency_scope_and_window() {
    let mut gateway = ScriptedGateway::with_endpoints(
        default_parameters(),
        &[1, 1, 1, 1],
        RolloutPhase::Released,
    );
    let non_idempotent = gateway.receive_request(NON_IDEMPOTENT, None);
    // The request may have taken effect: no retry.
    gateway.finish_attempt(non_idempotent, 0, AttemptOutcome::ServerError, 20);
    let non_idempotent = gateway.receive_request(NON_IDEMPOTENT, None);
    // The request has not taken effect: it is retried at another endpoint.
    gateway.finish_attempt(non_idempotent, 0, AttemptOutcome::ConnectFailed, 20);
    let keyed = gateway.receive_request(KEYED, None);
    // The request may have taken effect: it is retried in the same zone only.
    gateway.finish_attempt(keyed, 0, AttemptOutcome::ServerError, 20);
    let late_keyed = gateway.receive_request(KEYED, None);
    gateway.run_until(998);
    // A retry would arrive after the deduplication window: no retry.
    gateway.finish_attempt(late_keyed, 0, AttemptOutcome::ServerError, 998);
    let zones: Vec<_> = gateway
        .sent
        .iter()
        .filter(|sent| sent.request == keyed)
        .map(|sent| sent.endpoint % 2)
        .collect();
    assert!(
        zones.len() >= 2 && zones.iter().all(|zone| *zone == zones[0]),
        "expected at least two attempts, all in one zone; zones: {zones:?}"
    );
    let final_answers: String = gateway
        .trace
        .lines()
        .filter(|line| !line.contains("attempt #"))
        .map(|line| format!("{line}\n"))
        .collect();
    expect![[r#"
        40: fail #1
        998: fail #4
    "#]]
    .assert_eq(&final_answers);
}
