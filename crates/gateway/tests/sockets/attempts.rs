//! Attempt outcomes, and the use of connections to endpoints.

use std::io::Read;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use expect_test::expect;

use crate::support::*;

#[test]
fn requests_of_each_class_are_passed_on_unchanged_over_reused_connections() {
    let trace = Trace::default();
    let one = endpoint("one", &trace, &[EndpointBehavior::Succeed]);
    let gateway = start_gateway(&gateway_configuration(
        unresponsive_server(),
        &[endpoint_record("s-1", one, "ready", 41)],
    ));
    let mut client = gateway.client();
    for (class, id) in [("draft", "00aB"), ("payment", "00aC"), ("lodge", "00aD")] {
        let answer = client.request(client_request(class, id, 9000));
        trace.record(format!("client: {answer}"));
        wait_for_connection_reuse();
    }
    // A second client connection. The client sends its chunked body only after "100 Continue", and the body must reach the
    // endpoint whole.
    let mut second = gateway.client();
    let head = |id: &str| {
        format!("POST /api HTTP/1.1\r\nX-Txn: {id}\r\nX-Lane: lodge\r\nX-Remaining-Ms: 9000\r\n")
    };
    second.send(format!(
        "{}Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n",
        head("c1")
    ));
    let interim = second.receive();
    trace.record(format!("client: {interim}"));
    let answer = second.request("3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n");
    trace.record(format!("client: {answer}"));
    wait_for_connection_reuse();
    let body = "b".repeat(64 * 1024);
    let answer = second.request(format!(
        "{}Content-Length: {}\r\n\r\n{body}",
        head("c2"),
        body.len()
    ));
    trace.record(format!("client: {answer}"));
    trace.record(gateway.shut_down_and_read_counts(&[
        "received",
        "succeeded",
        "endpoint-connections-opened",
        "connections-reused",
        "other-requests",
    ]));
    assert_trace(
        &trace,
        expect![[r#"
        one.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 request 00aB ""
        client: 200 one settled 00aB
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 request 00aC idempotency key Key-00aC "{}"
        client: 200 one settled 00aC
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 request 00aD "{}"
        client: 200 one settled 00aD
        client: 100
        one.1: POST /api request c1 "abcdefg"
        client: 200 one settled c1
        one.1: POST /api request c2 "65536"
        client: 200 one settled c2
        received=5 succeeded=5 endpoint-connections-opened=1 connections-reused=4
    "#]],
    );
}

/// Sends one request to an endpoint with these behaviors, and notes the client's answer and the gateway's counters.
fn note_outcome(
    trace: &Trace,
    class: &str,
    behaviors: &'static [EndpointBehavior],
    time_left_ms: u32,
) {
    trace.record(format!("- {class}"));
    let one = endpoint("one", trace, behaviors);
    let gateway = start_gateway(&gateway_configuration(
        unresponsive_server(),
        &[endpoint_record("s-1", one, "ready", 41)],
    ));
    let answer = gateway
        .client()
        .request(client_request(class, "aa", time_left_ms));
    if let [EndpointBehavior::Unresponsive] = behaviors {
        trace.wait_for("one.1: connection closed", trace.count("- "));
    }
    trace.record(format!("client: {answer}"));
    let names = [
        "server-error",
        "attempt-rejected",
        "timed-out",
        "connect-failed",
        "reset",
        "not-sent",
        "attempt-succeeded",
    ];
    trace.record(gateway.shut_down_and_read_counts(&names));
}

#[test]
fn each_socket_event_becomes_its_attempt_outcome() {
    let trace = Trace::default();
    note_outcome(
        &trace,
        "draft",
        &[EndpointBehavior::Reset, EndpointBehavior::Succeed],
        9000,
    );
    note_outcome(
        &trace,
        "lodge",
        &[EndpointBehavior::Reset, EndpointBehavior::Succeed],
        9000,
    );
    note_outcome(
        &trace,
        "payment",
        &[EndpointBehavior::Fail, EndpointBehavior::Succeed],
        9000,
    );
    note_outcome(&trace, "lodge", &[EndpointBehavior::Malformed], 9000);
    note_outcome(&trace, "lodge", &[EndpointBehavior::Truncated], 9000);
    note_outcome(&trace, "lodge", &[EndpointBehavior::Reject], 9000);
    note_outcome(
        &trace,
        "draft",
        &[EndpointBehavior::TooShort, EndpointBehavior::Succeed],
        9000,
    );
    note_outcome(&trace, "lodge", &[EndpointBehavior::Endless], 9000);
    note_outcome(&trace, "lodge", &[EndpointBehavior::InterimOnly], 9000);
    assert_trace(
        &trace,
        expect![[r#"
        - draft
        one.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 request aa ""
        one.2: GET /api?obj=7F3a9c21e0b4d655&x=%20 request aa ""
        client: 200 one settled aa
        attempt-succeeded=1 reset=1
        - lodge
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 request aa "{}"
        client: 502
        reset=1
        - payment
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 request aa idempotency key Key-aa "{}"
        one.2: POST /api?obj=7F3a9c21e0b4d655&x=%20 request aa idempotency key Key-aa "{}"
        client: 200 one settled aa
        attempt-succeeded=1 server-error=1
        - lodge
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 request aa "{}"
        client: 502
        reset=1
        - lodge
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 request aa "{}"
        client: 502
        reset=1
        - lodge
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 request aa "{}"
        client: 503 Retry-After: 1.5
        attempt-rejected=1
        - draft
        one.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 request aa ""
        one.2: GET /api?obj=7F3a9c21e0b4d655&x=%20 request aa ""
        client: 200 one settled aa
        attempt-succeeded=1 reset=1
        - lodge
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 request aa "{}"
        client: 502
        reset=1
        - lodge
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 request aa "{}"
        client: 502
        reset=1
    "#]],
    );
}

#[test]
fn excess_bytes_after_a_response_close_the_connection_and_keep_the_response() {
    let trace = Trace::default();
    for behaviors in [
        &[EndpointBehavior::Duplicate],
        &[EndpointBehavior::DuplicateLater],
    ] {
        let one = endpoint("one", &trace, behaviors);
        let gateway = start_gateway(&gateway_configuration(
            unresponsive_server(),
            &[endpoint_record("s-1", one, "ready", 41)],
        ));
        for id in ["a", "b", "c"] {
            trace.record(gateway.client().request(client_request("lodge", id, 9000)));
            // The delayed duplicate is sent before the next request.
            wait_for_connection_reuse();
        }
        trace.record(gateway.shut_down_and_read_counts(&[
            "succeeded",
            "reset",
            "endpoint-connections-opened",
        ]));
    }
    assert_trace(
        &trace,
        expect![[r#"
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 request a "{}"
        200 one settled a
        one.2: POST /api?obj=7F3a9c21e0b4d655&x=%20 request b "{}"
        200 one settled b
        one.3: POST /api?obj=7F3a9c21e0b4d655&x=%20 request c "{}"
        200 one settled c
        succeeded=3 endpoint-connections-opened=3
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 request a "{}"
        200 one settled a
        one.2: POST /api?obj=7F3a9c21e0b4d655&x=%20 request b "{}"
        200 one settled b
        one.3: POST /api?obj=7F3a9c21e0b4d655&x=%20 request c "{}"
        200 one settled c
        succeeded=3 endpoint-connections-opened=3
    "#]],
    );
}

#[test]
fn an_attempt_at_an_unresponsive_endpoint_times_out_at_the_clients_deadline() {
    let trace = Trace::default();
    for class in ["draft", "lodge"] {
        note_outcome(&trace, class, &[EndpointBehavior::Unresponsive], 500);
    }
    assert_trace(
        &trace,
        expect![[r#"
        - draft
        one.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 request aa ""
        one.1: connection closed: true
        client: 503 Retry-After: 1.5
        timed-out=1
        - lodge
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 request aa "{}"
        one.1: connection closed: true
        client: 502
        timed-out=1
    "#]],
    );
}

#[test]
fn a_refused_connection_has_no_effect_and_a_disconnected_client_gets_no_answer() {
    let trace = Trace::default();
    let closed = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let gateway = start_gateway(&gateway_configuration(
        unresponsive_server(),
        &[endpoint_record("s-1", closed, "ready", 41)],
    ));
    trace.record(
        gateway
            .client()
            .request(client_request("lodge", "aa", 9000)),
    );
    trace.record(gateway.shut_down_and_read_counts(&["connect-failed", "rejected"]));
    let one = endpoint("one", &trace, &[EndpointBehavior::Unresponsive]);
    let gateway = start_gateway(&gateway_configuration(
        unresponsive_server(),
        &[endpoint_record("s-1", one, "ready", 41)],
    ));
    let mut client = gateway.client();
    client.send(client_request("lodge", "ab", 9000));
    trace.wait_for("one.1: POST", 1);
    drop(client);
    trace.wait_for("one.1: connection closed", 1);
    trace.record(gateway.shut_down_and_read_counts(&[
        "client-disconnected",
        "cancelled",
        "failed",
        "rejected",
    ]));
    assert_trace(
        &trace,
        expect![[r#"
        503 Retry-After: 1.5
        rejected=1 connect-failed=1
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 request ab "{}"
        one.1: connection closed: true
        client-disconnected=1 cancelled=1
    "#]],
    );
}

#[test]
fn a_connect_timeout_has_no_effect_and_nothing_is_written_after_the_deadline() {
    let trace = Trace::default();
    let (listener, queue) = endpoint_with_full_queue();
    let mut config = gateway_configuration(
        unresponsive_server(),
        &[endpoint_record(
            "s-1",
            listener.local_addr().unwrap(),
            "ready",
            41,
        )],
    );
    let gateway = start_gateway(&config);
    trace.record(
        gateway
            .client()
            .request(client_request("lodge", "aa", 9000)),
    );
    trace.record(gateway.shut_down_and_read_counts(&["connect-failed", "rejected"]));
    // The gateway is stopped while the connection is established and the request's deadline passes.
    config["settings"]["limits"]["connect_timeout"] = 9000000.into();
    let gateway = start_gateway(&config);
    let mut client = gateway.client();
    client.send(client_request("lodge", "ab", 1000));
    // These answers show that the gateway has already read the request.
    (0..3).for_each(|_| drop(gateway.client().request("GET /ready HTTP/1.1\r\n\r\n")));
    gateway.signal(Signal::STOP);
    (0..queue.len()).for_each(|_| drop(listener.accept().unwrap()));
    let mut late_connection = listener.accept().unwrap().0;
    thread::sleep(Duration::from_millis(1000));
    gateway.signal(Signal::CONT);
    trace.record(format!(
        "written late: {} bytes",
        late_connection.read_to_end(&mut Vec::new()).unwrap_or(0)
    ));
    trace.record(client.receive());
    trace.record(gateway.shut_down_and_read_counts(&["connect-failed", "rejected"]));
    assert_trace(
        &trace,
        expect![[r#"
        503 Retry-After: 1.5
        rejected=1 connect-failed=1
        written late: 0 bytes
        503 Retry-After: 1.5
        rejected=1 connect-failed=1
    "#]],
    );
}

#[test]
fn an_idle_connection_closed_by_its_endpoint_is_not_reused() {
    let trace = Trace::default();
    let endpoint_trace = trace.clone();
    // The response implies a keep-alive connection, but the endpoint closes it.
    let one = serve_requests(move |request| {
        endpoint_trace.record(format!("one.{}", request.connection));
        request.respond("200 OK", "settled");
        false
    });
    let gateway = start_gateway(&gateway_configuration(
        unresponsive_server(),
        &[endpoint_record("s-1", one, "ready", 41)],
    ));
    let mut client = gateway.client();
    for id in ["a", "b", "c"] {
        trace.record(client.request(client_request("lodge", id, 9000)));
        // The endpoint closes the connection before the next request.
        wait_for_connection_reuse();
    }
    trace.record(gateway.shut_down_and_read_counts(&[
        "succeeded",
        "reset",
        "endpoint-connections-opened",
    ]));
    assert_trace(
        &trace,
        expect![[r#"
        one.1
        200 settled
        one.2
        200 settled
        one.3
        200 settled
        succeeded=3 endpoint-connections-opened=3
    "#]],
    );
}
