//! Responses that wait in the socket buffer while the process pauses beyond the request's deadline.

use super::gateway_fixture::{ConnectionUse, GatewayFixture};

/// Sends the endpoint's response just before the deadline, pauses until the request is overdue, and returns the answer's status.
/// If the request is still unanswered by then, debug builds panic and release builds count a violated invariant.
fn answer_after_pause(response: &str) -> String {
    let mut fixture = GatewayFixture::with_next_attempt_on(ConnectionUse::Reused);
    fixture.send_request("a2");
    fixture.wait_for_attempt();
    fixture.run_until_deadline();
    fixture.respond(response);
    fixture.advance_to_overdue();
    let status = fixture.wait_for_answer();
    let counters = fixture.gateway.context.counters.to_string();
    assert!(!counters.contains("broken="), "{counters}");
    status
}

#[test]
fn a_success_read_after_the_deadline_answers_its_request() {
    assert_eq!(answer_after_pause("200 OK"), "200");
}

#[test]
fn an_error_read_after_the_deadline_is_answered_with_503() {
    assert_eq!(answer_after_pause("500 No"), "503");
}

#[test]
fn a_rejection_read_after_the_deadline_is_answered_with_503() {
    assert_eq!(answer_after_pause("503 No\r\nX-Turned-Away: 1"), "503");
}
