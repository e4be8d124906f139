//! Updates from the rollout platform and votes sent to it.

use std::fs;
use std::io::{Read, Write};
use std::net::SocketAddr;

use expect_test::expect;

use crate::support::*;

#[test]
fn votes_are_repeated_until_one_is_accepted() {
    let trace = Trace::default();
    let one = endpoint("one", &trace, &[EndpointBehavior::Succeed]);
    let (platform, _line_sender) = start_platform(
        &trace,
        &["429 Full", "500 No", "no response", "close", "409 Moot"],
        Some("{}"),
    );
    let mut config = gateway_configuration(
        unresponsive_server(),
        &[endpoint_record("s-1", one, "ready", 41)],
    );
    config["rollouts"] = json!({"address": platform, "news": rollout_update(42, 0, "trial")});
    let gateway = start_gateway(&config);
    let failures: Vec<String> = (0..5)
        .map(|_| gateway.wait_for_log_line("vote failed: "))
        .collect();
    failures
        .iter()
        .filter_map(|w| w.rsplit(' ').next())
        .for_each(|w| trace.record(w));
    // A superseded vote is kept for half of its lifetime; the next one is accepted.
    gateway.wait_for_log_line("answers a vote: true");
    trace.record(gateway.shut_down_and_read_counts(&["votes-refused", "rollout-updates"]));
    trace.0.lock().unwrap().retain(|l| l != "platform: events");
    assert_trace(
        &trace,
        expect![[r#"
        platform: {"image":42,"ring":0,"opinion":"approve"}
        platform: {"image":42,"ring":0,"opinion":"approve"}
        platform: {"image":42,"ring":0,"opinion":"approve"}
        platform: {"image":42,"ring":0,"opinion":"approve"}
        platform: {"image":42,"ring":0,"opinion":"approve"}
        Overloaded
        ServerError
        TimedOut
        TimedOut
        Superseded
        platform: {"image":42,"ring":0,"opinion":"approve"}
        rollout-updates=2 votes-refused=5
    "#]],
    );
}

/// Guards against votes that are repeated without a word on why their responses count for nothing.
#[test]
fn a_response_to_a_vote_that_is_too_long_is_reported() {
    let trace = Trace::default();
    let platform = serve_requests(|request| {
        if request.head.starts_with("GET /apis/fleet/events") {
            return request.stream.read(&mut [0; 1]).is_err();
        }
        request.respond("200 OK", &"b".repeat(64 * 1024 + 1))
    });
    let mut config = gateway_configuration(unresponsive_server(), &[]);
    config["rollouts"] = json!({"address": platform, "news": rollout_update(42, 0, "trial")});
    let gateway = start_gateway(&config);
    gateway.wait_for_log_line("platform: the response to a vote cannot be read: body too large");
    gateway.wait_for_log_line("platform: vote failed: TimedOut");
    trace.record(gateway.shut_down_and_read_counts(&["vote-responses-malformed"]));
    let text = trace.text();
    assert!(text.starts_with("vote-responses-malformed="), "{text}");
}

#[test]
fn an_unresponsive_platform_stream_is_reopened_and_outdated_updates_are_ignored() {
    let trace = Trace::default();
    let (platform, line_sender) = start_platform(&trace, &[], None);
    let mut config = gateway_configuration(unresponsive_server(), &[]);
    config["rollouts"] = json!({"address": platform, "news": rollout_update(42, 1, "trial")});
    config["settings"]["family_info"]["decided_by"] = "clocked".into();
    let gateway = start_gateway(&config);
    trace.wait_for("platform: events", 1);
    let send_update = |object: Value| {
        line_sender
            .send(json!({"type": "news", "object": object}).to_string())
            .unwrap()
    };
    send_update(rollout_update(42, 1, "rolling_back"));
    send_update(rollout_update(42, 1, "trial"));
    line_sender.send("{}".into()).unwrap();
    gateway.wait_for_log_line("unresponsive, reopened");
    trace.wait_for("platform: events", 2);
    trace.record(gateway.shut_down_and_read_counts(&[
        "rollout-updates",
        "rollout-updates-outdated",
        "lines-refused",
    ]));
    assert_trace(
        &trace,
        expect![[r#"
        platform: events
        platform: events
        rollout-updates=3 rollout-updates-outdated=1
    "#]],
    );
}

/// Starts a discovery service whose first responses are malformed, cut off in the head, and cut off in a line.
fn discovery_with_malformed_answers(trace: &Trace, endpoint: SocketAddr) -> SocketAddr {
    let trace = trace.clone();
    serve_requests(move |request| {
        if request.number <= 4 {
            trace.record(format!(
                "discovery: {}",
                request.head.lines().next().unwrap_or("")
            ));
        }
        let answers = [
            "noise\r\n\r\n",
            "HTTP/1.1 20",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"rev",
        ];
        if let Some(answer) = answers.get(request.number - 1) {
            return request.stream.write_all(answer.as_bytes()).is_ok();
        }
        let line =
            endpoint_list(42, false, &[endpoint_record("s-1", endpoint, "ready", 41)]).to_string();
        request.stream.write_all(STREAM_HEAD.as_bytes()).is_ok()
            && write_chunk(&mut request.stream, &(line + "\n"))
    })
}

#[test]
fn a_malformed_line_reopens_its_stream_and_keeps_the_known_state() {
    let trace = Trace::default();
    let one = endpoint("one", &trace, &[EndpointBehavior::Succeed]);
    let (platform, line_sender) = start_platform(&trace, &[], Some("{}"));
    let discovery = discovery_with_malformed_answers(&trace, one);
    let mut config =
        gateway_configuration(discovery, &[endpoint_record("s-0", one, "draining", 41)]);
    config["settings"]["family_info"]["decided_by"] = "clocked".into();
    config["settings"]["limits"]["connect_timeout"] = 250000.into();
    config["rollouts"] = json!({"address": platform, "news": rollout_update(42, 0, "trial")});
    let gateway = start_gateway(&config);
    gateway.wait_for_log_line("discovery: list 42 ");
    trace.record(format!(
        "client: {}",
        gateway
            .client()
            .request(client_request("draft", "aa", 9000))
    ));
    trace.wait_for("platform: events", 1);
    let send_stage = |ring: usize| {
        line_sender
            .send(json!({"type": "news", "object": rollout_update(42, ring, "trial")}).to_string())
            .unwrap();
        gateway.wait_for_log_line(&format!("stage: {ring}"));
    };
    send_stage(1);
    // `close` makes the stand-in close its first stream, so that the reopened one receives the next lines.
    ["not JSON", "close"]
        .into_iter()
        .for_each(|line| line_sender.send(line.into()).unwrap());
    trace.wait_for("platform: events", 2);
    send_stage(2);
    trace.record(gateway.shut_down_and_read_counts(&["rollout-updates", "lines-refused"]));
    trace
        .0
        .lock()
        .unwrap()
        .sort_by_key(|l| !l.starts_with("platform"));
    assert_trace(
        &trace,
        expect![[r#"
        platform: events
        platform: events
        discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
        discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
        discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
        discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
        one.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 request aa ""
        client: 200 one settled aa
        lines-refused=1 rollout-updates=3
    "#]],
    );
}

// Guards against a reload that closes a stream with unread lines: the platform does not send them again.
#[test]
fn a_complaint_that_arrives_during_a_reload_is_read_before_the_stream_is_reopened() {
    let trace = Trace::default();
    let one = endpoint("one", &trace, &[EndpointBehavior::Succeed]);
    let (before, line_sender) = start_platform(&trace, &[], Some("{}"));
    let (after, _line_sender_after) = start_platform(&trace, &[], Some("{}"));
    let record = endpoint_record("s-1", one, "ready", 41);
    let mut config = gateway_configuration(unresponsive_server(), &[record]);
    config["rollouts"] = json!({"address": before, "news": rollout_update(42, 0, "trial")});
    let path = write_config(&config);
    let mut command = gateway_command(&config, &["serve", "--log", "debug"]);
    command.env("LB_CONFIG", &path);
    let gateway = start_gateway_with(&config, command);
    trace.wait_for("platform: events", 1);
    config["rollouts"] = json!({"address": after});
    fs::write(&path, config.to_string()).unwrap();
    // The complaint arrives after the signal is sent and before it is handled.
    gateway.suspend();
    gateway.signal(Signal::HUP);
    let complaint = json!({"host": "s-1", "type": "lodge", "lag_ms": 100});
    line_sender
        .send(json!({"type": "report", "object": complaint}).to_string())
        .unwrap();
    wait_for_connection_reuse();
    gateway.signal(Signal::CONT);
    trace.wait_for("platform: events", 2);
    assert_eq!(
        gateway.shut_down_and_read_counts(&["complaints"]),
        "complaints=1"
    );
}
