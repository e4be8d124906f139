//! Tests of which requests are forwarded and how they end, as short traces of actions.

use expect_test::expect;
use harrierdock_multi_site::{Event, OpenRequests, OperatorCommand};
use harrierdock_site_messages::{
    ForwardingOutcome, Heartbeat, MemberRecord, MemberState, SiteMessage,
};
use harrierdock_types::RequestId;

use crate::fixture::{
    gateway_name, Fixture, DRAFT, LEDGER, LODGE, PATH, PAYMENT, PEER_INCARNATION,
};

#[test]
fn requests_stay_local_until_the_policy_rejects_them_and_are_forwarded_at_most_once() {
    let mut fixture = Fixture::new();
    fixture.receive_request(1, LODGE);
    fixture.reject_locally(1, LODGE, 1400.0);
    fixture.receive_response(1, ForwardingOutcome::Succeeded);
    fixture.receive_response(1, ForwardingOutcome::Succeeded);
    fixture.reject_locally(2, DRAFT, 1400.0);
    fixture.receive_response(2, ForwardingOutcome::NotAccepted);
    // Rejected at once, since too little time is left to forward the request.
    fixture.reject_locally(3, DRAFT, 50.0);
    fixture.receive_response(9, ForwardingOutcome::Succeeded);
    expect![[r#"
        1 served locally, 1500 ms left
        1 forwarded as 1 to 77, 1395 ms left
        1 succeeded
        2 forwarded as 2 to 77, 1395 ms left
        2 rejected
        3 rejected
    "#]]
    .assert_eq(&fixture.trace);
    let none_open = OpenRequests {
        outbound: 0,
        inbound: 0,
    };
    let unmatched = fixture.site.counters().unmatched_responses;
    assert_eq!((unmatched, fixture.site.open_requests()), (2, none_open));
}

#[test]
fn after_a_path_is_lost_retry_safe_requests_run_locally_and_others_succeed_late_or_fail() {
    let mut fixture = Fixture::new();
    fixture.handle(Event::OperatorCommand(OperatorCommand::Drain));
    for (id, class) in [
        (1, DRAFT),
        (2, PAYMENT),
        (3, LEDGER),
        (4, LODGE),
        (5, LODGE),
    ] {
        fixture.receive_request(id, class);
    }
    // Drafts are idempotent and the payments' deduplication group spans both sites: both are served locally. The others wait.
    fixture.advance_time(800);
    fixture.trace += "- the path is usable again\n";
    fixture.receive_heartbeats(2);
    fixture.receive_response(4, ForwardingOutcome::Succeeded);
    fixture.receive_response(1, ForwardingOutcome::Succeeded);
    fixture.advance_time(800);
    expect![[r#"
        1 forwarded as 1 to 77, 1495 ms left
        2 forwarded as 2 to 77, 995 ms left
        3 forwarded as 3 to 77, 995 ms left
        4 forwarded as 4 to 77, 1495 ms left
        5 forwarded as 5 to 77, 1495 ms left
        TrafficMoved { location: FailedOver, reason: OperatorCommand }
        1 served locally, 695 ms left
        2 served locally, 195 ms left
        - the path is usable again
        StatusQuery { forwarding_id: 3, sender_incarnation: 5, receiver_incarnation: 77 }
        StatusQuery { forwarding_id: 4, sender_incarnation: 5, receiver_incarnation: 77 }
        StatusQuery { forwarding_id: 5, sender_incarnation: 5, receiver_incarnation: 77 }
        4 succeeded
        3 failed
        5 failed
    "#]]
    .assert_eq(&fixture.trace);
}

#[test]
fn a_path_is_not_used_if_its_other_end_does_not_receive_our_heartbeats() {
    let mut fixture = Fixture::new();
    (0..8).for_each(|_| fixture.receive_heartbeat(PEER_INCARNATION, false));
    fixture.handle(Event::OperatorCommand(OperatorCommand::Drain));
    fixture.receive_request(1, DRAFT);
    assert!(
        fixture.trace.ends_with("1 served locally, 1500 ms left\n"),
        "{}",
        fixture.trace
    );
}

#[test]
fn requests_that_a_restarted_gateway_received_before_its_restart_are_not_answered() {
    let mut fixture = Fixture::new();
    fixture.handle(Event::OperatorCommand(OperatorCommand::Drain));
    fixture.receive_request(1, LODGE);
    fixture.receive_request(2, DRAFT);
    fixture.receive_inbound(1, "draft", fixture.peer_sequence);
    for incarnation in [PEER_INCARNATION, PEER_INCARNATION + 1] {
        let record = MemberRecord {
            gateway: gateway_name("launceston", "l0"),
            address: None,
            incarnation,
            version: 1,
            state: MemberState::Serving,
        };
        fixture.peer_sequence += 1;
        let heartbeat = Heartbeat {
            incarnation,
            sequence: fixture.peer_sequence,
            records: vec![record],
            ..Heartbeat::default()
        };
        fixture.handle(Event::MessageReceived {
            path: PATH,
            message: SiteMessage::Heartbeat(heartbeat),
        });
    }
    fixture.receive_response(1, ForwardingOutcome::Succeeded);
    expect![[r#"
        1 forwarded as 1 to 77, 1495 ms left
        2 forwarded as 2 to 77, 1495 ms left
        response to 1: NotAccepted, 0 bytes
        1 failed
        2 served locally, 1495 ms left
        Member { gateway: GatewayName { site: "launceston", gateway: "l0" }, state: Serving, returned: false, restarted: true }
    "#]]
    .assert_eq(&fixture.trace);
}

#[test]
fn unlimited_credit_forwards_no_more_requests_than_the_in_flight_window() {
    let mut fixture = Fixture::new();
    fixture.receive_heartbeats(1);
    let grants = vec![
        ("draft".to_string(), u16::MAX),
        ("no such class".to_string(), 9),
    ];
    fixture.receive(SiteMessage::Heartbeat(Heartbeat {
        incarnation: PEER_INCARNATION,
        sequence: fixture.peer_sequence + 1,
        echo: fixture.own_sequence,
        grants,
        ..Heartbeat::default()
    }));
    fixture.trace.clear();
    for id in 0..1000 {
        fixture.reject_locally(id, DRAFT, 1400.0);
    }
    let forwarded = fixture.trace.matches("forwarded").count();
    let rejected = fixture.trace.matches("rejected").count();
    assert_eq!((forwarded, rejected), (16, 984));
    // Refusals shrink the window further and pause the path.
    for forwarding_id in 1..=16 {
        fixture.receive_response(forwarding_id, ForwardingOutcome::NotAccepted);
    }
    fixture.trace.clear();
    fixture.reject_locally(2000, DRAFT, 1400.0);
    assert_eq!(fixture.trace, "2000 rejected\n");
}

// Guards against forwarding that stops for good after some clients have left early.
#[test]
fn requests_whose_clients_left_do_not_use_up_the_in_flight_window() {
    let mut fixture = Fixture::new();
    fixture.handle(Event::OperatorCommand(OperatorCommand::Drain));
    for id in 0..100 {
        fixture.receive_heartbeats(1);
        fixture.receive_request(id, DRAFT);
        fixture.handle(Event::ClientDisconnected { id: RequestId(id) });
    }
    fixture.trace.clear();
    fixture.receive_request(1000, DRAFT);
    expect![[r#"
        1000 forwarded as 101 to 77, 1495 ms left
    "#]]
    .assert_eq(&fixture.trace);
}
