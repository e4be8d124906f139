//! Tests that each request from the other site runs at most once and only within the granted credit.

use expect_test::expect;
use harrierdock_site_messages::SiteMessage;

use crate::fixture::{Fixture, OWN_INCARNATION, PEER_INCARNATION};

#[test]
fn an_inbound_request_runs_once_despite_copies_and_is_not_accepted_if_late() {
    let mut fixture = Fixture::new();
    fixture.receive_heartbeats(1);
    fixture.receive_inbound(1, "draft", fixture.peer_sequence);
    fixture.receive_inbound(1, "draft", fixture.peer_sequence);
    fixture.complete_inbound(1);
    fixture.receive_inbound(1, "draft", fixture.peer_sequence);
    fixture.trace += "- the oldest stored bodies are dropped beyond the memory limit\n";
    fixture.receive_inbound(2, "draft", fixture.peer_sequence);
    fixture.complete_inbound(2);
    fixture.receive_inbound(1, "draft", fixture.peer_sequence);
    fixture.trace += "- a status query arrives before the request, which is then not accepted\n";
    fixture.receive(SiteMessage::StatusQuery {
        forwarding_id: 3,
        sender_incarnation: PEER_INCARNATION,
        receiver_incarnation: OWN_INCARNATION,
    });
    fixture.receive_inbound(3, "lodge", fixture.peer_sequence);
    fixture.trace += "- a payment sent before the last eleven heartbeats is too old\n";
    fixture.receive_heartbeats(12);
    fixture.receive_inbound(4, "payment", fixture.peer_sequence - 11);
    fixture.receive_inbound(5, "payment", fixture.peer_sequence);
    fixture.receive_inbound(6, "no such class", fixture.peer_sequence);
    expect![[r#"
        serve inbound 1, 1000 ms left
        response to 1: Succeeded, 600 bytes
        response to 1: Succeeded, 600 bytes
        - the oldest stored bodies are dropped beyond the memory limit
        serve inbound 2, 1000 ms left
        response to 2: Succeeded, 600 bytes
        response to 1: Unknown, 0 bytes
        - a status query arrives before the request, which is then not accepted
        response to 3: NotAccepted, 0 bytes
        response to 3: NotAccepted, 0 bytes
        - a payment sent before the last eleven heartbeats is too old
        response to 4: NotAccepted, 0 bytes
        serve inbound 3, 1000 ms left
        response to 6: NotAccepted, 0 bytes
    "#]]
    .assert_eq(&fixture.trace);
}

#[test]
fn a_gateway_that_exceeds_its_credit_is_refused() {
    let mut fixture = Fixture::new();
    fixture.receive_heartbeats(1);
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
