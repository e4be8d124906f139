//! Endpoint lists that arrive in pieces over a longer time than a connection may take to open.

use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::support::*;

const CACHED_VERSION: u32 = 41;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const ENDPOINTS: usize = 100;

/// How a discovery service sends its lists.
#[derive(Clone, Copy)]
struct Pace {
    bytes: usize,
    pause: Duration,
}

fn list(version: u32, count: usize) -> Value {
    let address = unresponsive_server();
    let endpoints: Vec<Value> = (0..count)
        .map(|n| endpoint_record(&format!("s-{n:08x}"), address, "ready", 41))
        .collect();
    endpoint_list(version, true, &endpoints)
}

/// Starts a discovery service that sends `text` in pieces, as a snapshot or on a watch of the cached version, and keeps other
/// watches open.
fn discovery_in_pieces(trace: &Trace, text: String, pace: Pace) -> SocketAddr {
    let trace = trace.clone();
    serve_requests(move |request| {
        let target = request.head.lines().next().unwrap_or("").to_string();
        trace.record(format!("discovery: {target}"));
        let stream = &mut request.stream;
        if stream.write_all(STREAM_HEAD.as_bytes()).is_err() {
            return false;
        }
        let is_snapshot = !target.contains("stream=1");
        if is_snapshot || target.contains(&format!("index={CACHED_VERSION} ")) {
            for piece in text.as_bytes().chunks(pace.bytes) {
                if !write_chunk(stream, std::str::from_utf8(piece).unwrap()) {
                    return false;
                }
                thread::sleep(pace.pause);
            }
        }
        if is_snapshot {
            return stream.write_all(b"0\r\n\r\n").is_ok();
        }
        while write_chunk(stream, "\n") {
            thread::sleep(Duration::from_millis(500));
        }
        false
    })
}

fn start_with_connect_timeout(mut config: Value) -> Gateway {
    let connect_timeout = u64::try_from(CONNECT_TIMEOUT.as_micros()).unwrap();
    config["settings"]["limits"]["connect_timeout"] = connect_timeout.into();
    start_gateway(&config)
}

fn configuration_with_old_list(discovery: SocketAddr) -> Value {
    let old = endpoint_record("s-old", unresponsive_server(), "ready", 41);
    gateway_configuration(discovery, &[old])
}

/// Guards against a list that is taken for a stalled one while it arrives, and requested again for ever.
#[test]
fn a_list_that_arrives_steadily_is_read_however_long_it_takes() {
    let compact = list(42, ENDPOINTS).to_string() + "\n";
    let indented = serde_json::to_string_pretty(&list(42, ENDPOINTS)).unwrap() + "\n";
    for text in [compact, indented] {
        let trace = Trace::default();
        let pace = Pace {
            bytes: text.len() / 30,
            pause: CONNECT_TIMEOUT / 8,
        };
        let discovery = discovery_in_pieces(&trace, text, pace);
        let gateway = start_with_connect_timeout(configuration_with_old_list(discovery));
        gateway.wait_for_log_line("discovery: list 42 with 100 endpoints");
        assert_eq!(trace.count("discovery: GET"), 1, "{}", trace.text());
    }
}

/// Guards against a first list that is given up while it arrives, so that the gateway never gets ready.
#[test]
fn a_snapshot_that_arrives_steadily_is_read_however_long_it_takes() {
    let trace = Trace::default();
    let text = list(42, ENDPOINTS).to_string();
    // Longer than discovery may take to begin its response.
    let pace = Pace {
        bytes: text.len() / 40,
        pause: CONNECT_TIMEOUT / 8,
    };
    let discovery = discovery_in_pieces(&trace, text, pace);
    let mut config = gateway_configuration(discovery, &[]);
    config.as_object_mut().unwrap().remove("known");
    let gateway = start_with_connect_timeout(config);
    gateway.wait_for_log_line("discovery: list 42 with 100 endpoints");
    assert_eq!(
        trace.count("discovery: GET /v1/endpoints HTTP"),
        1,
        "{}",
        trace.text()
    );
}

/// Guards against a list that is requested again for ever, as it always pauses for longer than the connect timeout.
#[test]
fn a_list_that_pauses_for_longer_than_the_connect_timeout_is_read_after_a_few_requests() {
    let trace = Trace::default();
    let text = list(42, ENDPOINTS).to_string() + "\n";
    let pace = Pace {
        bytes: text.len() / 2,
        pause: CONNECT_TIMEOUT * 7 / 2,
    };
    let discovery = discovery_in_pieces(&trace, text, pace);
    let gateway = start_with_connect_timeout(configuration_with_old_list(discovery));
    gateway.wait_for_log_line("discovery: list 42 with 100 endpoints");
    let requests = trace.count("discovery: GET");
    assert!((2..=4).contains(&requests), "{}", trace.text());
}

/// Guards against a watch that is reopened because its reads end within a line, though each line arrives quickly.
#[test]
fn changes_whose_pieces_overlap_do_not_reopen_the_watch() {
    let trace = Trace::default();
    let lines: Vec<String> = (42..62).map(|v| list(v, 2).to_string() + "\n").collect();
    let pace = Pace {
        bytes: lines[0].len(),
        pause: CONNECT_TIMEOUT / 5,
    };
    // Each piece holds the end of a line and the beginning of the next.
    let text = "\n".repeat(lines[0].len() / 2) + &lines.concat();
    let discovery = discovery_in_pieces(&trace, text, pace);
    let gateway = start_with_connect_timeout(configuration_with_old_list(discovery));
    gateway.wait_for_log_line("discovery: list 61 with 2 endpoints");
    assert_eq!(trace.count("discovery: GET"), 1, "{}", trace.text());
}
