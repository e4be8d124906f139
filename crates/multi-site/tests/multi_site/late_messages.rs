//! Tests that a request from the other site whose fate is decided never runs, however late its message arrives.

use expect_test::expect;
use harrierdock_site_messages::SiteMessage;

use crate::fixture::{Fixture, OWN_INCARNATION, PEER_INCARNATION};

/// Longer than the completion of a request is stored.
const LONG_INTERVALS: usize = 50;
/// More requests than completions are stored.
const MANY_REQUESTS: u64 = 70_000;

impl Fixture {
    /// Receives the question what became of a request.
    fn receive_status_query(&mut self, forwarding_id: u64) {
        self.receive(SiteMessage::StatusQuery {
            forwarding_id,
            sender_incarnation: PEER_INCARNATION,
            receiver_incarnation: OWN_INCARNATION,
        });
    }
}

// Guards against a lodge that its own site serves after a status query, and that runs here once its delayed message arrives.
#[test]
fn a_request_that_was_not_accepted_never_runs_however_late_it_arrives() {
    let mut fixture = Fixture::new();
    fixture.receive_heartbeats(1);
    let sent_after = fixture.peer_sequence;
    fixture.receive_status_query(3);
    fixture.receive_heartbeats(LONG_INTERVALS);
    fixture.receive_inbound(3, "lodge", sent_after);
    fixture.trace += "- as if sent just now, so that its age does not tell\n";
    fixture.receive_inbound(3, "lodge", fixture.peer_sequence);
    fixture.receive_inbound(3, "draft", fixture.peer_sequence);
    fixture.trace += "- the next request\n";
    fixture.receive_inbound(4, "lodge", fixture.peer_sequence);
    expect![[r#"
        response to 3: NotAccepted, 0 bytes
        response to 3: Unknown, 0 bytes
        - as if sent just now, so that its age does not tell
        response to 3: Unknown, 0 bytes
        response to 3: Unknown, 0 bytes
        - the next request
        serve inbound 1, 1000 ms left
    "#]]
    .assert_eq(&fixture.trace);
}

// Guards against requests that begin after their client has its answer, whatever their class.
#[test]
fn the_time_that_a_request_was_under_way_is_deducted() {
    let mut fixture = Fixture::new();
    fixture.receive_heartbeats(12);
    for (forwarding_id, class) in [(1, "draft"), (2, "payment"), (3, "lodge")] {
        fixture.receive_inbound(forwarding_id, class, fixture.peer_sequence - 4);
    }
    for (forwarding_id, class) in [(4, "draft"), (5, "payment"), (6, "lodge")] {
        fixture.receive_inbound(forwarding_id, class, fixture.peer_sequence - 11);
    }
    expect![[r#"
        serve inbound 1, 600 ms left
        serve inbound 2, 600 ms left
        serve inbound 3, 600 ms left
        response to 4: NotAccepted, 0 bytes
        response to 5: NotAccepted, 0 bytes
        response to 6: NotAccepted, 0 bytes
    "#]]
    .assert_eq(&fixture.trace);
}

// Guards against "not accepted" for a request that has run, on which its sender would run it again.
#[test]
fn the_outcome_of_a_request_whose_completion_is_forgotten_is_unknown() {
    let mut fixture = Fixture::new();
    fixture.receive_heartbeats(1);
    fixture.receive_inbound(1, "lodge", fixture.peer_sequence);
    fixture.complete_inbound(1);
    fixture.receive_heartbeats(LONG_INTERVALS);
    fixture.receive_status_query(1);
    fixture.trace += "- a request that has not arrived\n";
    fixture.receive_status_query(2);
    expect![[r#"
        serve inbound 1, 1000 ms left
        response to 1: Succeeded, 600 bytes
        response to 1: Unknown, 0 bytes
        - a request that has not arrived
        response to 2: NotAccepted, 0 bytes
    "#]]
    .assert_eq(&fixture.trace);
}

// Guards against a bound in memory that lets a refused request run.
#[test]
fn a_request_whose_refusal_was_dropped_for_lack_of_room_never_runs() {
    let mut fixture = Fixture::new();
    fixture.receive_heartbeats(1);
    for forwarding_id in 1..=MANY_REQUESTS {
        fixture.receive_status_query(forwarding_id);
    }
    fixture.trace.clear();
    fixture.receive_inbound(1, "lodge", fixture.peer_sequence);
    fixture.receive_inbound(MANY_REQUESTS, "lodge", fixture.peer_sequence);
    fixture.receive_inbound(MANY_REQUESTS + 1, "lodge", fixture.peer_sequence);
    expect![[r#"
        response to 1: Unknown, 0 bytes
        response to 70000: NotAccepted, 0 bytes
        serve inbound 1, 1000 ms left
    "#]]
    .assert_eq(&fixture.trace);
}
