//! Compares every message that the built gateway sends, byte for byte, with golden files. No test writes these files.
//! Each line holds one message, escaped as in a Rust string literal.

use std::io::Read;
use std::net::{SocketAddr, UdpSocket};
use std::time::Instant;

use crate::support::*;

const ANSWERS: &str = include_str!("golden/answers.txt");
const TO_SERVERS: &str = include_str!("golden/to_servers.txt");
const TO_DISCOVERY: &str = include_str!("golden/to_discovery.txt");
const TO_PLATFORM: &str = include_str!("golden/to_platform.txt");
const GOSSIP: &str = include_str!("golden/gossip.txt");

/// Replaces the digits after each `before` by `word`, because they differ between runs.
fn mask(text: &str, before: &str, word: &str) -> String {
    let mut parts = text.split(before);
    let mut masked = parts.next().unwrap().to_string();
    for part in parts {
        let rest = part.trim_start_matches(|c: char| c.is_ascii_digit());
        let digits = part.len() > rest.len();
        masked += &format!("{before}{}{rest}", if digits { word } else { "" });
    }
    masked
}

/// Masks the ports and the remaining times.
fn mask_variable_parts(text: &str) -> String {
    mask(
        &mask(text, "127.0.0.1:", "PORT"),
        "X-Remaining-Ms: ",
        "LEFT",
    )
}

/// Records the head and body of a request to a stand-in.
fn note_message(trace: &Trace, request: &ReceivedRequest) {
    trace.record(format!(
        "{:?}",
        mask_variable_parts(&format!("{}{}", request.head, request.body))
    ));
}

/// Asserts that the first recorded lines equal the golden file.
fn assert_golden(golden: &str, trace: &Trace) {
    let lines = golden.lines().count();
    trace.wait_for("", lines);
    let noted = trace.text();
    let noted: String = noted
        .lines()
        .take(lines)
        .map(|l| format!("{l}\n"))
        .collect();
    assert_eq!(noted, golden);
}

/// Receives a whole response, and reports whether the connection is closed after it.
fn receive_whole(client: &mut Client) -> String {
    let (head, body) = read_message(&mut client.0).unwrap_or_default();
    let mut end = String::new();
    if head.contains("\r\nConnection: close\r\n") {
        let more =
            client
                .0
                .read(&mut [0; 1])
                .map_or("broken", |n| if n == 0 { "closed" } else { "more" });
        end = format!(" then {more}");
    }
    format!("{:?}{end}", head + &body)
}

#[test]
fn responses_to_clients_match_the_golden_file() {
    let trace = Trace::default();
    let good = client_request("draft", "aa", 9000);
    let long = format!("GET /{} HTTP/1.1\r\n", "x".repeat(20_000));
    let rows = [
        (
            "ready",
            "GET /ready HTTP/1.1\r\n\r\n".to_string(),
            EndpointBehavior::Succeed,
        ),
        (
            "ready by head",
            "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n".into(),
            EndpointBehavior::Succeed,
        ),
        (
            "an unknown path",
            "GET /elsewhere HTTP/1.1\r\n\r\n".into(),
            EndpointBehavior::Succeed,
        ),
        (
            "another method",
            "DELETE /api HTTP/1.1\r\n\r\n".into(),
            EndpointBehavior::Succeed,
        ),
        (
            "malformed",
            "garbage\r\n\r\n".into(),
            EndpointBehavior::Succeed,
        ),
        ("a head that is too long", long, EndpointBehavior::Succeed),
        (
            "a body that is too long",
            "POST /api HTTP/1.1\r\nContent-Length: 70000\r\n\r\n".into(),
            EndpointBehavior::Succeed,
        ),
        (
            "no id",
            good.replace("X-Txn", "X-Other"),
            EndpointBehavior::Succeed,
        ),
        (
            "an unknown class",
            good.replace("draft", "banana"),
            EndpointBehavior::Succeed,
        ),
        (
            "no time",
            good.replace("9000", "soon"),
            EndpointBehavior::Succeed,
        ),
        ("served", good.clone(), EndpointBehavior::Succeed),
        (
            "served, and closed",
            good.replace("HTTP/1.1", "HTTP/1.0"),
            EndpointBehavior::Succeed,
        ),
        (
            "declined",
            client_request("lodge", "ab", 9000),
            EndpointBehavior::Reject,
        ),
        (
            "voided",
            client_request("lodge", "ac", 9000),
            EndpointBehavior::Reset,
        ),
    ];
    let [succeeding, rejecting, resetting] = [
        &[EndpointBehavior::Succeed],
        &[EndpointBehavior::Reject],
        &[EndpointBehavior::Reset],
    ]
    .map(|behaviors| endpoint("one", &Trace::default(), behaviors));
    let gateways = [succeeding, rejecting, resetting].map(|one| {
        start_gateway(&gateway_configuration(
            unresponsive_server(),
            &[endpoint_record("s-1", one, "ready", 41)],
        ))
    });
    for (what, request, behavior) in rows {
        let gateway = match behavior {
            EndpointBehavior::Reject => &gateways[1],
            EndpointBehavior::Reset => &gateways[2],
            _ => &gateways[0],
        };
        let mut client = gateway.client();
        client.send(request);
        trace.record(format!("{what}: {}", receive_whole(&mut client)));
    }
    let mut client = gateways[0].client();
    client.send(
        client_request("lodge", "ad", 9000)
            .replace(
                "Content-Length: 2",
                "Expect: 100-continue\r\nContent-Length: 2",
            )
            .replace("{}", ""),
    );
    trace.record(format!("asked for: {}", receive_whole(&mut client)));
    client.send("{}");
    trace.record(format!("served then: {}", receive_whole(&mut client)));
    let without_list = start_gateway(&gateway_configuration(unresponsive_server(), &[]));
    let mut early = without_list.client();
    early.send("GET /ready HTTP/1.1\r\n\r\n");
    trace.record(format!("not ready: {}", receive_whole(&mut early)));
    assert_golden(ANSWERS, &trace);
    assert_eq!(trace.text(), ANSWERS);
}

#[test]
fn attempts_to_endpoints_match_the_golden_file() {
    let trace = Trace::default();
    let noted = trace.clone();
    let one = serve_requests(move |request| {
        let left: i64 = request.field("X-Remaining-Ms").unwrap().parse().unwrap();
        assert!((1..=9000).contains(&left), "{left} ms left of 9000");
        note_message(&noted, request);
        // The second attempt fails and is retried.
        request.respond(
            if request.number == 2 {
                "500 No"
            } else {
                "200 OK"
            },
            "",
        )
    });
    let gateway = start_gateway(&gateway_configuration(
        unresponsive_server(),
        &[endpoint_record("s-1", one, "ready", 41)],
    ));
    let chunks =
        "POST /api?obj=1 HTTP/1.1\r\nHost: a\r\nX-Other: b\r\nX-Txn: c1\r\nX-Lane: lodge\r\nX-Resent: 1\r\n\
        X-Remaining-Ms: 9000\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n";
    let requests = [
        client_request("draft", "00aB", 9000),
        client_request("payment", "00aC", 9000),
        client_request("lodge", "00aD", 9000),
    ];
    for request in requests.into_iter().chain([chunks.to_string()]) {
        assert_eq!(gateway.client().request(request), "200");
        wait_for_connection_reuse();
    }
    assert_golden(TO_SERVERS, &trace);
}

#[test]
fn stream_and_snapshot_requests_to_discovery_match_the_golden_file() {
    let trace = Trace::default();
    let noted = trace.clone();
    let (unused, _line_sender) = discovery_server(&Trace::default());
    let discovery = serve_requests(move |request| {
        note_message(&noted, request);
        if request.head.starts_with("GET /v1/endpoints HTTP") {
            return request.respond("200 OK", &endpoint_list(60, true, &[]).to_string());
        }
        if request.head.contains("index=0 ") {
            return request.respond("410 Gone", "");
        }
        request.stream.read(&mut [0; 1]).is_err()
    });
    let mut config =
        gateway_configuration(discovery, &[endpoint_record("s-1", unused, "ready", 41)]);
    config["known"]["revision"] = 0.into();
    let gateway = start_gateway(&config);
    gateway.wait_for_log_line("discovery: list 60 ");
    assert_golden(TO_DISCOVERY, &trace);
}

/// Records the stream request to the platform and the first vote, under this configuration and gossip message.
fn record_stream_request_and_vote(configure: impl Fn(&mut Value), gossip: Option<&str>) -> Trace {
    let [streams, votes] = [(); 2].map(|()| Trace::default());
    let (noted_streams, noted_votes) = (streams.clone(), votes.clone());
    let platform = serve_requests(move |request| {
        let is_stream = request.head.starts_with("GET ");
        note_message(
            if is_stream {
                &noted_streams
            } else {
                &noted_votes
            },
            request,
        );
        if !is_stream {
            return request.respond("200 OK", &rollout_update(42, 0, "trial").to_string());
        }
        request.stream.read(&mut [0; 1]).is_err()
    });
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut config = gateway_configuration(
        unresponsive_server(),
        &[endpoint_record("s-1", unresponsive_server(), "ready", 41)],
    );
    config["rollouts"] = json!({"address": platform, "news": rollout_update(42, 0, "trial")});
    config["settings"]["balancers"] = 2.into();
    config["settings"]["ordinal"] = 1.into();
    config["peer_listen"] = "127.0.0.1:0".into();
    config["peers"] = json!([peer.local_addr().unwrap(), "127.0.0.1:9"]);
    configure(&mut config);
    let gateway = start_gateway(&config);
    streams.wait_for("", 1);
    if let Some(text) = gossip {
        peer.send_to(text.as_bytes(), gateway.gossip_address.unwrap())
            .unwrap();
    }
    votes.wait_for("", 1);
    let both = Trace::default();
    for trace in [streams, votes] {
        both.record(trace.0.lock().unwrap()[0].clone());
    }
    both
}

#[test]
fn the_stream_request_and_votes_to_the_platform_match_the_golden_file() {
    let by_clock =
        |config: &mut Value| config["settings"]["family_info"]["decided_by"] = "clocked".into();
    let all = Trace::default();
    for trace in [
        record_stream_request_and_vote(|_| (), None),
        record_stream_request_and_vote(by_clock, Some("42.0.99.t")),
    ] {
        trace.text().lines().for_each(|line| all.record(line));
    }
    assert_golden(TO_PLATFORM, &all);
}

/// Replaces the last character of the outcome by `T`. It encodes the time, which differs between runs.
fn mask_outcome_time(text: &str) -> String {
    let (counts, outcome) = text.split_once(':').unwrap();
    assert_eq!(outcome.len(), 6, "{text}");
    format!("{counts}:{}T", &outcome[..5])
}

#[test]
fn a_gossip_datagram_with_one_outcome_matches_the_golden_file() {
    let trace = Trace::default();
    let one = endpoint("one", &trace, &[EndpointBehavior::Succeed]);
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    peer.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut config = gateway_configuration(
        unresponsive_server(),
        &[endpoint_record("s-1", one, "ready", 41)],
    );
    config["settings"]["balancers"] = 9.into();
    config["settings"]["ordinal"] = 8.into();
    config["peer_listen"] = "127.0.0.1:0".into();
    let mut peers = vec![peer.local_addr().unwrap()];
    peers.resize(9, SocketAddr::from(([127, 0, 0, 1], 9)));
    config["peers"] = json!(peers);
    let gateway = start_gateway(&config);
    let (started_at, mut datagram) = (Instant::now(), [0; 512]);
    // If the response falls into the next reporting interval, two datagrams report the request; then another one is sent.
    let message = loop {
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "no datagram holds both a request and its outcome"
        );
        assert_eq!(
            gateway
                .client()
                .request(client_request("draft", "aa", 9000)),
            "200 one settled aa"
        );
        let mut outcomes = 0;
        let mut last = String::new();
        while outcomes == 0 {
            let (size, sender) = peer.recv_from(&mut datagram).unwrap();
            assert_eq!(Some(sender), gateway.gossip_address);
            last = String::from_utf8(datagram[..size].to_vec()).unwrap();
            outcomes = last.split_once(':').unwrap().1.len() / 6;
        }
        if last.starts_with("1.1.0:") {
            break last;
        }
    };
    assert_eq!(mask_outcome_time(&message) + "\n", GOSSIP);
}
