//! Messages and responses that exceed the limit on their length.

use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use expect_test::expect;

use crate::support::*;

/// A memory limit whose share for an endpoint list is a fifth of a megabyte.
const SMALL_MEMORY_MB: u64 = 2;
/// Endpoints of a list that is longer than that share.
const TOO_LONG_ENDPOINTS: usize = 2_000;
/// Endpoints of a list that fits into that share, but whose state would take too much of the memory limit.
const TOO_MANY_ENDPOINTS: usize = 420;
/// How long a discovery service sends lists that are too long.
const OVERSIZED_TIME: Duration = Duration::from_secs(4);

fn long_list(version: u32, count: usize) -> String {
    let address = unresponsive_server();
    let endpoints: Vec<Value> = (0..count)
        .map(|n| endpoint_record(&format!("s-{n:08x}"), address, "draining", 41))
        .collect();
    endpoint_list(version, true, &endpoints).to_string()
}

fn start_with_small_memory(discovery: SocketAddr) -> Gateway {
    let old = endpoint_record("s-old", unresponsive_server(), "ready", 41);
    let mut config = gateway_configuration(discovery, &[old]);
    config["limits"]["memory_mb"] = SMALL_MEMORY_MB.into();
    config["settings"]["limits"]["connect_timeout"] = 250_000.into();
    start_gateway(&config)
}

/// Asserts that changes of this many endpoints are refused with a log line, and that the gateway goes on with a snapshot.
fn assert_replaced_by_a_snapshot(count: usize, log_line: &str) {
    let trace = Trace::default();
    let one = endpoint("one", &Trace::default(), &[EndpointBehavior::Succeed]);
    let (seen, too_long) = (trace.clone(), long_list(42, count));
    let discovery = serve_requests(move |request| {
        let target = request.head.lines().next().unwrap_or("").to_string();
        seen.record(format!("discovery: {target}"));
        if !target.contains("stream=1") {
            let present = endpoint_record("s-1", one, "ready", 41);
            return request.respond("200 OK", &endpoint_list(43, true, &[present]).to_string());
        }
        let (line_sender, lines) = channel();
        if target.contains("index=41 ") {
            line_sender.send(too_long.clone()).unwrap();
        }
        request.stream_lines(&Mutex::new(lines), Some(""))
    });
    let gateway = start_with_small_memory(discovery);
    gateway.wait_for_log_line(log_line);
    gateway.wait_for_log_line("discovery: list 43 with 1 endpoints");
    trace.wait_for("discovery: GET", 3);
    let answer = gateway
        .client()
        .request(client_request("draft", "aa", 9000));
    trace.record(answer);
    trace.record(gateway.shut_down_and_read_counts(&["lines-too-long", "lines-refused"]));
    assert_trace(
        &trace,
        expect![[r#"
            discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
            discovery: GET /v1/endpoints HTTP/1.1
            discovery: GET /v1/endpoints?stream=1&index=43 HTTP/1.1
            200 one settled aa
            lines-too-long=1
        "#]],
    );
}

/// Guards against changes that are requested from the same version for ever, as they are too long each time.
#[test]
fn changes_that_are_too_long_are_replaced_by_a_snapshot() {
    assert_replaced_by_a_snapshot(
        TOO_LONG_ENDPOINTS,
        "discovery: a message exceeds the limit of 209710 bytes",
    );
}

/// Guards against a memory limit that the state of too many endpoints breaks.
#[test]
fn changes_of_too_many_endpoints_are_replaced_by_a_snapshot() {
    assert_replaced_by_a_snapshot(
        TOO_MANY_ENDPOINTS,
        "discovery: a list of 420 endpoints exceeds the limit of 409",
    );
}

/// Guards against lists that are too long and requested again several times a second, and against missing one that fits again.
#[test]
fn lists_that_stay_too_long_are_requested_less_and_less_often_until_one_fits() {
    let trace = Trace::default();
    let (seen, too_long, started_at) = (
        trace.clone(),
        long_list(42, TOO_LONG_ENDPOINTS),
        Instant::now(),
    );
    let discovery = serve_requests(move |request| {
        let target = request.head.lines().next().unwrap_or("").to_string();
        let is_oversized = started_at.elapsed() < OVERSIZED_TIME;
        let list = if is_oversized {
            seen.record("too long");
            too_long.clone()
        } else {
            endpoint_list(43, true, &[]).to_string()
        };
        if !target.contains("stream=1") {
            return request.respond("200 OK", &list);
        }
        let (line_sender, lines) = channel();
        line_sender.send(list).unwrap();
        request.stream_lines(&Mutex::new(lines), Some(""))
    });
    let gateway = start_with_small_memory(discovery);
    gateway.wait_for_log_line("discovery: the endpoint list is too long");
    gateway.wait_for_log_line("discovery: list 43 with 0 endpoints");
    let requests = trace.count("too long");
    assert!((3..=8).contains(&requests), "{requests} requests");
    let counts = gateway.shut_down_and_read_counts(&["lines-too-long"]);
    assert_eq!(counts, format!("lines-too-long={requests}"));
}

/// Guards against a platform whose events are lost, as one of them is too long and comes first on each new stream.
#[test]
fn a_platform_event_that_is_too_long_costs_no_others() {
    let trace = Trace::default();
    let (platform, line_sender) = start_platform(&trace, &[], Some("{}"));
    let mut config = gateway_configuration(unresponsive_server(), &[]);
    config["rollouts"] = json!({"address": platform});
    config["settings"]["family_info"]["decided_by"] = "clocked".into();
    let gateway = start_gateway(&config);
    let event = |update: Value| json!({"type": "news", "object": update}).to_string();
    let padding = " ".repeat(64 * 1024);
    line_sender
        .send(event(rollout_update(42, 0, "trial")) + &padding + "!")
        .unwrap();
    line_sender
        .send(event(rollout_update(43, 0, "trial")))
        .unwrap();
    gateway.wait_for_log_line("platform: a message exceeds the limit of 65536 bytes");
    gateway.wait_for_log_line("platform: received");
    trace.record(gateway.shut_down_and_read_counts(&["lines-too-long", "rollout-updates"]));
    assert_trace(
        &trace,
        expect![[r#"
            platform: events
            lines-too-long=1 rollout-updates=1
        "#]],
    );
}

/// Guards against requests that cannot be served without a word on the limit that their responses exceed.
#[test]
fn an_endpoint_response_that_is_too_long_is_reported() {
    let trace = Trace::default();
    let endpoint = serve_requests(|request| request.respond("200 OK", &"b".repeat(64 * 1024 + 1)));
    let known = endpoint_record("s-1", endpoint, "ready", 41);
    let gateway = start_gateway(&gateway_configuration(unresponsive_server(), &[known]));
    let answer = gateway
        .client()
        .request(client_request("lodge", "aa", 9000));
    trace.record(answer);
    gateway.wait_for_log_line("the response to an attempt cannot be read: body too large");
    trace.record(gateway.shut_down_and_read_counts(&["reset", "responses-too-long"]));
    assert_trace(
        &trace,
        expect![[r#"
            502
            reset=1 responses-too-long=1
        "#]],
    );
}
