//! A response that waits in its socket while the gateway is held up beyond its request's deadline.

use super::gateway_fixture::{ConnectionUse, GatewayFixture};

/// Has the endpoint respond just before the gateway is held up until the request is overdue. Returns the status of the answer.
/// Debug builds panic if the request is still open then, release builds count it.
fn answer_after_hold_up(response: &str) -> String {
    let mut fixture = GatewayFixture::with_next_attempt_on(ConnectionUse::Kept);
    fixture.send_request("a2");
    fixture.wait_for_attempt();
    fixture.wait_until_deadline();
    fixture.respond(response);
    fixture.advance_to_overdue();
    let status = fixture.wait_for_answer();
    let counters = fixture.gateway.context.counters.to_string();
    assert!(!counters.contains("broken="), "{counters}");
    status
}

#[test]
fn a_success_read_after_the_deadline_answers_its_request() {
    assert_eq!(answer_after_hold_up("200 OK"), "200");
}

#[test]
fn an_error_read_after_the_deadline_ends_its_request() {
    assert_eq!(answer_after_hold_up("500 No"), "503");
}

#[test]
fn a_rejection_read_after_the_deadline_ends_its_request() {
    assert_eq!(answer_after_hold_up("503 No\r\nX-Turned-Away: 1"), "503");
}
