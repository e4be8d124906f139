//! Requests that the other site forwards: each runs at most once, and within the credit granted.

use expect_test::expect;
use harrierdock_site_messages::SiteMessage;

use crate::fixture::{Fixture, OWN_INCARNATION, PEER_INCARNATION};

#[test]
fn an_inbound_request_runs_once_whatever_copies_come_and_late_ones_are_not_accepted() {
    let mut fixture = Fixture::new();
    fixture.heartbeats(1);
    fixture.receive_inbound(1, "draft", fixture.peer_sequence);
    fixture.receive_inbound(1, "draft", fixture.peer_sequence);
    fixture.complete_inbound(1);
    fixture.receive_inbound(1, "draft", fixture.peer_sequence);
    fixture.trace += "- bodies beyond the memory for them are dropped, oldest first\n";
    fixture.receive_inbound(2, "draft", fixture.peer_sequence);
    fixture.complete_inbound(2);
    fixture.receive_inbound(1, "draft", fixture.peer_sequence);
    fixture.trace += "- queried before it came, and then too late to be accepted\n";
    fixture.receive(SiteMessage::StatusQuery {
        forwarding_id: 3,
        sender_incarnation: PEER_INCARNATION,
        receiver_incarnation: OWN_INCARNATION,
    });
    fixture.receive_inbound(3, "lodge", fixture.peer_sequence);
    fixture.trace += "- a payment sent long ago, by the heartbeats received since\n";
    fixture.heartbeats(12);
    fixture.receive_inbound(4, "payment", fixture.peer_sequence - 11);
    fixture.receive_inbound(5, "payment", fixture.peer_sequence);
    fixture.receive_inbound(6, "no such class", fixture.peer_sequence);
    expect![[r#"
        serve inbound 1, 1000 ms left
        response to 1: Succeeded, 600 bytes
        response to 1: Succeeded, 600 bytes
        - bodies beyond the memory for them are dropped, oldest first
        serve inbound 2, 1000 ms left
        response to 2: Succeeded, 600 bytes
        response to 1: Unknown, 0 bytes
        - queried before it came, and then too late to be accepted
        response to 3: NotAccepted, 0 bytes
        response to 3: NotAccepted, 0 bytes
        - a payment sent long ago, by the heartbeats received since
        response to 4: NotAccepted, 0 bytes
        serve inbound 3, 1000 ms left
        response to 6: NotAccepted, 0 bytes
    "#]]
    .assert_eq(&fixture.trace);
}

#[test]
fn a_gateway_that_exceeds_its_credit_is_refused() {
    let mut fixture = Fixture::new();
    fixture.heartbeats(1);
    for forwarding_id in 1..=500 {
        fixture.receive_inbound(forwarding_id, "draft", fixture.peer_sequence);
    }
    let counters = fixture.site.counters();
    assert!(
        counters.inbound_accepted > 0 && counters.inbound_accepted <= 12,
        "{counters:?}"
    );
    assert_eq!(counters.inbound_accepted + counters.inbound_refused, 500);
}
