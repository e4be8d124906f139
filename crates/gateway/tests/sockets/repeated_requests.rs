//! Requests that come again under the same id, as copies whose client has left or has its answer.

use std::net::SocketAddr;
use std::time::Instant;

use expect_test::expect;

use crate::support::*;

/// Sends a request of a class under the id `aa` again, on a connection of its own, and records the answer.
fn send_again(gateway: &Gateway, trace: &Trace, class: &str) {
    let answer = gateway.client().request(client_request(class, "aa", 9000));
    trace.record(format!("again: {answer}"));
}

fn gateway_with(endpoint: SocketAddr) -> Gateway {
    start_gateway(&gateway_configuration(
        unresponsive_server(),
        &[endpoint_record("s-1", endpoint, "ready", 41)],
    ))
}

// Guards against an effect that happens twice: a copy that comes after its client has left runs again.
#[test]
fn a_request_whose_client_left_does_not_run_again_under_its_id() {
    for class in ["lodge", "payment"] {
        let trace = Trace::default();
        let one = endpoint("one", &trace, &[EndpointBehavior::Unresponsive]);
        let gateway = gateway_with(one);
        let mut client = gateway.client();
        client.send(client_request(class, "aa", 9000));
        trace.wait_for("one.1: POST", 1);
        drop(client);
        trace.wait_for("one.1: connection closed: true", 1);
        send_again(&gateway, &trace, class);
        send_again(&gateway, &trace, class);
        let text = trace.text().replace(" idempotency key Key-aa", "");
        expect![[r#"
            one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 request aa "{}"
            one.1: connection closed: true
            again: 409
            again: 409
        "#]]
        .assert_eq(&text);
    }
}

// Guards against the same after an answer: the client may not have read it.
#[test]
fn a_request_that_was_answered_does_not_run_again_under_its_id() {
    let trace = Trace::default();
    let one = endpoint("one", &trace, &[EndpointBehavior::Succeed]);
    let gateway = gateway_with(one);
    send_again(&gateway, &trace, "lodge");
    wait_for_connection_reuse();
    send_again(&gateway, &trace, "lodge");
    assert_trace(
        &trace,
        expect![[r#"
            one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 request aa "{}"
            again: 200 one settled aa
            again: 409
        "#]],
    );
    assert_eq!(
        gateway.shut_down_and_read_counts(&["received", "succeeded", "repeated"]),
        "received=1 succeeded=1 repeated=1"
    );
}

/// A rejection promises that the request had no effect, so its client may try again until it has run.
#[test]
fn a_request_that_had_no_effect_may_come_again_under_its_id() {
    let trace = Trace::default();
    let behaviors = &[EndpointBehavior::Reject, EndpointBehavior::Succeed];
    let gateway = gateway_with(endpoint("one", &trace, behaviors));
    let started_at = Instant::now();
    let mut answers = Vec::new();
    while answers.last() != Some(&"409".to_string()) {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "{answers:?}");
        let answer = gateway.client().request(client_request("lodge", "aa", 100));
        answers.push(answer);
        wait_for_connection_reuse();
    }
    let rejections = answers.iter().filter(|answer| answer.starts_with("503"));
    assert!(rejections.count() >= 1, "{answers:?}");
    let served = answers.iter().filter(|answer| answer.starts_with("200"));
    assert_eq!(served.count(), 1, "{answers:?}");
}

/// An idempotent request may run again.
#[test]
fn an_idempotent_request_may_come_again_under_its_id() {
    let trace = Trace::default();
    let gateway = gateway_with(endpoint("one", &trace, &[EndpointBehavior::Succeed]));
    for _ in 0..2 {
        send_again(&gateway, &trace, "draft");
        wait_for_connection_reuse();
    }
    assert_trace(
        &trace,
        expect![[r#"
            one.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 request aa ""
            again: 200 one settled aa
            one.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 request aa ""
            again: 200 one settled aa
        "#]],
    );
}
