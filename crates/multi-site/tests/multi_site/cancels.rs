//! Tests that a request whose client has left does not run at the other site, whichever message arrives first.

use expect_test::expect;
use harrierdock_multi_site::{Event, OperatorCommand};
use harrierdock_site_messages::SiteMessage;
use harrierdock_types::RequestId;

use crate::fixture::{Fixture, LODGE, PEER_INCARNATION};

/// Longer than the completion of a request is stored.
const LONG_INTERVALS: usize = 50;

impl Fixture {
    /// Receives the notice that the client of a request has disconnected.
    fn receive_cancel(&mut self, forwarding_id: u64) {
        self.receive(SiteMessage::Cancel {
            forwarding_id,
            sender_incarnation: PEER_INCARNATION,
        });
    }
}

// Guards against an attempt for a client that has left: the short cancel overtakes the request that is being repeated.
#[test]
fn a_request_whose_cancel_overtook_it_never_runs() {
    let mut fixture = Fixture::new();
    fixture.receive_heartbeats(1);
    fixture.receive_cancel(1);
    fixture.receive_inbound(1, "lodge", fixture.peer_sequence);
    fixture.trace += "- a cancel of a request that has run, and of one that is forgotten\n";
    fixture.receive_inbound(2, "lodge", fixture.peer_sequence);
    fixture.complete_inbound(1);
    fixture.receive_cancel(2);
    fixture.receive_inbound(2, "lodge", fixture.peer_sequence);
    fixture.receive_heartbeats(LONG_INTERVALS);
    fixture.receive_cancel(2);
    fixture.receive_inbound(2, "lodge", fixture.peer_sequence);
    expect![[r#"
        response to 1: NotAccepted, 0 bytes
        - a cancel of a request that has run, and of one that is forgotten
        serve inbound 1, 1000 ms left
        response to 2: Succeeded, 600 bytes
        response to 2: Succeeded, 600 bytes
        response to 2: Unknown, 0 bytes
    "#]]
    .assert_eq(&fixture.trace);
}

// Guards against a cancel that is not sent because its path is cut: the request may be accepted once the path is back.
#[test]
fn a_request_is_cancelled_on_an_unusable_path_too() {
    let mut fixture = Fixture::new();
    fixture.handle(Event::OperatorCommand(OperatorCommand::Drain));
    fixture.receive_request(1, LODGE);
    fixture.advance_time(800);
    fixture.handle(Event::ClientDisconnected { id: RequestId(1) });
    expect![[r#"
        1 forwarded as 1 to 77, 1495 ms left
        TrafficMoved { location: FailedOver, reason: OperatorCommand }
        Cancel { forwarding_id: 1, sender_incarnation: 5 }
    "#]]
    .assert_eq(&fixture.trace);
}
