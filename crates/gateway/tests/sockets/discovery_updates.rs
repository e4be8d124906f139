//! Endpoint lists received from discovery.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use expect_test::expect;

use crate::support::*;

#[test]
fn lists_are_applied_across_drains_restarts_disconnections_and_malformed_lines() {
    let trace = Trace::default();
    let [one, two] = [
        endpoint("one", &trace, &[EndpointBehavior::Succeed]),
        endpoint("two", &trace, &[EndpointBehavior::Succeed]),
    ];
    let (discovery, line_sender) = discovery_server(&trace);
    let gateway = start_gateway(&gateway_configuration(
        discovery,
        &[endpoint_record("s-1", one, "ready", 41)],
    ));
    let mut client = gateway.client();
    let mut request = |what: &str, id| {
        let answer = client.request(client_request("draft", id, 9000));
        trace.record(format!("{what}: {answer}"));
    };
    // A list must have been applied before the next request; the log shows when it was.
    let send_list = |line: Value, revision: u32| {
        line_sender.send(line.to_string()).unwrap();
        gateway.wait_for_log_line(&format!("discovery: list {revision} "));
    };
    trace.wait_for("discovery: GET", 1);
    request("cached list", "a1");
    send_list(
        endpoint_list(42, false, &[endpoint_record("s-1", one, "draining", 41)]),
        42,
    );
    request("draining", "a2");
    send_list(
        endpoint_list(43, false, &[endpoint_record("s-1", two, "ready", 42)]),
        43,
    );
    request("restarted at another address", "a3");
    line_sender.send("close".into()).unwrap();
    trace.wait_for("discovery: GET", 2);
    send_list(
        endpoint_list(44, true, &[endpoint_record("s-2", one, "ready", 41)]),
        44,
    );
    request("a snapshot without s-1", "a4");
    line_sender.send(r#"{"revision":"odd"}"#.into()).unwrap();
    trace.wait_for("discovery: GET", 3);
    wait_for_connection_reuse();
    request("the current list is still used", "a5");
    trace.record(gateway.shut_down_and_read_counts(&["lines-refused"]));
    assert_trace(
        &trace,
        expect![[r#"
        discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
        one.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 request a1 ""
        cached list: 200 one settled a1
        draining: 503 Retry-After: 1.5
        two.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 request a3 ""
        restarted at another address: 200 two settled a3
        discovery: GET /v1/endpoints?stream=1&index=43 HTTP/1.1
        one.2: GET /api?obj=7F3a9c21e0b4d655&x=%20 request a4 ""
        a snapshot without s-1: 200 one settled a4
        discovery: GET /v1/endpoints?stream=1&index=44 HTTP/1.1
        one.2: GET /api?obj=7F3a9c21e0b4d655&x=%20 request a5 ""
        the current list is still used: 200 one settled a5
        lines-refused=1
    "#]],
    );
}

#[test]
fn an_indented_list_is_read_and_a_truncated_one_is_requested_again() {
    let trace = Trace::default();
    let one = endpoint("one", &trace, &[EndpointBehavior::Succeed]);
    let (discovery, line_sender) = discovery_server(&trace);
    let mut config =
        gateway_configuration(discovery, &[endpoint_record("s-0", one, "draining", 41)]);
    config["settings"]["limits"]["connect_timeout"] = 250_000.into();
    let gateway = start_gateway(&config);
    trace.wait_for("discovery: GET", 1);
    let indented = serde_json::to_string_pretty(&endpoint_list(
        42,
        false,
        &[endpoint_record("s-1", one, "ready", 41)],
    ))
    .unwrap();
    assert!(indented.lines().count() > 5);
    // The stand-in appends a line break.
    line_sender.send(indented).unwrap();
    gateway.wait_for_log_line("discovery: list 42 ");
    trace.record(format!(
        "client: {}",
        gateway
            .client()
            .request(client_request("draft", "aa", 9000))
    ));
    line_sender.send("{\n  \"revision\": 43,\n".into()).unwrap();
    // The stand-in closes its first stream only on `close`.
    gateway.wait_for_log_line("discovery: connected");
    line_sender.send("close".into()).unwrap();
    trace.wait_for("discovery: GET", 2);
    line_sender
        .send(endpoint_list(44, false, &[]).to_string())
        .unwrap();
    gateway.wait_for_log_line("discovery: list 44 ");
    trace.record(gateway.shut_down_and_read_counts(&["lines-refused", "endpoint-lists"]));
    assert_trace(
        &trace,
        expect![[r#"
            discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
            one.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 request aa ""
            client: 200 one settled aa
            discovery: GET /v1/endpoints?stream=1&index=42 HTTP/1.1
            endpoint-lists=3
        "#]],
    );
}

#[test]
fn an_unresponsive_watch_is_reopened_from_the_current_version() {
    let trace = Trace::default();
    let one = endpoint("one", &trace, &[EndpointBehavior::Succeed]);
    let noted = trace.clone();
    let (line_sender, lines) = channel();
    let lines = Mutex::new(lines);
    // Only the first watch receives lines. It stays open without keepalive lines.
    let discovery = serve_requests(move |request| {
        noted.record(format!(
            "discovery: {}",
            request.head.lines().next().unwrap_or("")
        ));
        if request.number == 1 {
            return request.stream_lines(&lines, None);
        }
        let line =
            endpoint_list(43, false, &[endpoint_record("s-1", one, "ready", 41)]).to_string();
        request.stream.write_all(STREAM_HEAD.as_bytes()).is_ok()
            && write_chunk(&mut request.stream, &(line + "\n"))
    });
    let gateway = start_gateway(&gateway_configuration(
        discovery,
        &[endpoint_record("s-0", one, "draining", 41)],
    ));
    trace.wait_for("discovery: GET", 1);
    line_sender
        .send(endpoint_list(42, false, &[]).to_string())
        .unwrap();
    gateway.wait_for_log_line("discovery: list 42 ");
    gateway.wait_for_log_line("discovery: unresponsive, reopened");
    gateway.wait_for_log_line("discovery: list 43 ");
    trace.record(format!(
        "client: {}",
        gateway
            .client()
            .request(client_request("draft", "aa", 9000))
    ));
    assert_trace(
        &trace,
        expect![[r#"
            discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
            discovery: GET /v1/endpoints?stream=1&index=42 HTTP/1.1
            one.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 request aa ""
            client: 200 one settled aa
        "#]],
    );
}

#[test]
fn a_version_unknown_to_discovery_is_replaced_by_a_snapshot() {
    let trace = Trace::default();
    let (discovery, _line_sender) = discovery_server(&trace);
    let mut config =
        gateway_configuration(discovery, &[endpoint_record("s-1", discovery, "ready", 41)]);
    config["known"]["revision"] = 0.into();
    let gateway = start_gateway(&config);
    gateway.wait_for_log_line("discovery: list 60 ");
    trace.wait_for("discovery: GET", 3);
    trace.record(gateway.shut_down_and_read_counts(&["streams-refused"]));
    assert_trace(
        &trace,
        expect![[r#"
        discovery: GET /v1/endpoints?stream=1&index=0 HTTP/1.1
        discovery: GET /v1/endpoints HTTP/1.1
        discovery: GET /v1/endpoints?stream=1&index=60 HTTP/1.1
        streams-refused=1
    "#]],
    );
}

/// Whether a connection to this port is being established (in SYN_SENT).
fn is_connecting(port: u16) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let is_syn_sent = |line: &str| line.contains(&format!(":{port:04X} 02 "));
    table.lines().any(is_syn_sent)
}

#[test]
fn an_unresponsive_watch_is_reopened_in_time_when_its_next_connection_attempt_hangs() {
    let (listener, queue) = endpoint_with_full_queue();
    let address = listener.local_addr().unwrap();
    let accept = || {
        let (stream, _) = listener.accept().unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        (stream, read_message(&mut reader))
    };
    let send_list = |stream: &mut TcpStream, revision: u32| {
        let line = endpoint_list(revision, false, &[]).to_string() + "\n";
        stream.write_all(STREAM_HEAD.as_bytes()).unwrap();
        assert!(write_chunk(stream, &line));
    };
    queue
        .into_iter()
        .for_each(|_| drop(listener.accept().unwrap()));
    let mut config = gateway_configuration(address, &[]);
    config["known"] = endpoint_list(
        41,
        true,
        &[endpoint_record("s-1", unresponsive_server(), "ready", 41)],
    );
    // Longer than the gateway may wait for discovery: this setting is for endpoints.
    config["settings"]["limits"]["connect_timeout"] = 2_000_000.into();
    let gateway = start_gateway(&config);
    let (mut first, _) = accept();
    let opened_at = Instant::now();
    send_list(&mut first, 42);
    gateway.wait_for_log_line("discovery: list 42 ");
    let queue = fill_accept_queue(address);
    // The watch receives nothing more; its next connection attempt hangs, and the one after it succeeds.
    while !is_connecting(address.port()) {
        assert!(
            opened_at.elapsed() < TEST_TIMEOUT,
            "the watch is not reopened"
        );
        thread::sleep(Duration::from_millis(5));
    }
    queue
        .into_iter()
        .for_each(|_| drop(listener.accept().unwrap()));
    let (mut next, request) = accept();
    assert!(request.unwrap().0.contains("stream=1&index=42 "));
    send_list(&mut next, 43);
    gateway.wait_for_log_line("discovery: list 43 ");
    let took = opened_at.elapsed();
    assert!(
        took < Duration::from_secs(6),
        "{took:?} after the last line of the watch"
    );
}
