//! Endpoint lists of the largest fleets, which are longer than any other message.

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::sync::Mutex;

use crate::support::*;

/// The size of the largest fleet.
const FLEET_ENDPOINTS: usize = 3_200;
const LONG_VERSION: u32 = 42;
/// The lowest memory limit that the platform grants.
const LOWEST_MEMORY_MB: u64 = 32;

/// A list of `count` endpoints, of which only the last is ready.
fn long_list(count: usize, ready: SocketAddr) -> Value {
    let address = unresponsive_server();
    let mut endpoints: Vec<Value> = (1..count)
        .map(|n| endpoint_record(&format!("s-{n:08x}"), address, "draining", 41))
        .collect();
    endpoints.push(endpoint_record("s-ready", ready, "ready", 41));
    endpoint_list(LONG_VERSION, true, &endpoints)
}

/// The configuration of a gateway that starts with an old list.
fn configuration_with_old_list(discovery: SocketAddr) -> Value {
    let old = endpoint_record("s-old", unresponsive_server(), "ready", 41);
    gateway_configuration(discovery, &[old])
}

fn succeeding_endpoint() -> SocketAddr {
    endpoint("one", &Trace::default(), &[EndpointBehavior::Succeed])
}

fn assert_routes_by_the_long_list(gateway: &Gateway, count: usize) {
    gateway.wait_for_log_line(&format!(
        "discovery: list {LONG_VERSION} with {count} endpoints"
    ));
    assert_eq!(
        gateway
            .client()
            .request(client_request("draft", "aa", 9000)),
        "200 one settled aa"
    );
}

/// Guards against a watch whose first line never fits: the gateway stays with its last list and sends to drained endpoints.
#[test]
fn a_restarted_gateway_reads_the_longest_list_from_the_first_line_of_its_watch() {
    for count in [480, FLEET_ENDPOINTS] {
        let trace = Trace::default();
        let (discovery, line_sender) = discovery_server(&trace);
        line_sender
            .send(long_list(count, succeeding_endpoint()).to_string())
            .unwrap();
        let gateway = start_gateway(&configuration_with_old_list(discovery));
        assert_routes_by_the_long_list(&gateway, count);
        assert_eq!(trace.count("discovery: GET"), 1, "{}", trace.text());
    }
}

/// Guards against a start without a cached list that never gets ready, as the snapshot is longer than a body may be elsewhere.
#[test]
fn a_gateway_without_a_list_reads_the_longest_snapshot() {
    for is_chunked in [false, true] {
        let list = long_list(FLEET_ENDPOINTS, succeeding_endpoint()).to_string();
        let discovery = serve_requests(move |request| {
            if request.head.contains("stream=1") {
                let (_sender, lines) = channel();
                return request.stream_lines(&Mutex::new(lines), Some(""));
            }
            if !is_chunked {
                return request.respond("200 OK", &list);
            }
            request.stream.write_all(STREAM_HEAD.as_bytes()).is_ok()
                && write_chunk(&mut request.stream, &list)
                && request.stream.write_all(b"0\r\n\r\n").is_ok()
        });
        let mut config = gateway_configuration(discovery, &[]);
        config.as_object_mut().unwrap().remove("known");
        let gateway = start_gateway(&config);
        assert_routes_by_the_long_list(&gateway, FLEET_ENDPOINTS);
    }
}

/// Guards against an indented list that is refused for its length, or read anew with each of its lines.
#[test]
fn the_longest_list_is_read_when_it_is_indented() {
    let trace = Trace::default();
    let (discovery, line_sender) = discovery_server(&trace);
    let list = long_list(FLEET_ENDPOINTS, succeeding_endpoint());
    line_sender
        .send(serde_json::to_string_pretty(&list).unwrap())
        .unwrap();
    let gateway = start_gateway(&configuration_with_old_list(discovery));
    assert_routes_by_the_long_list(&gateway, FLEET_ENDPOINTS);
    assert_eq!(trace.count("discovery: GET"), 1, "{}", trace.text());
}

/// Guards against a reload after which the new discovery address cannot tell its list.
#[test]
fn the_longest_list_is_read_from_the_address_that_a_reload_names() {
    let (first, _first_sender) = discovery_server(&Trace::default());
    let (second, second_sender) = discovery_server(&Trace::default());
    let mut config = configuration_with_old_list(first);
    let path = write_config(&config);
    let mut command = gateway_command(&config, &["serve", "--log", "debug"]);
    command.env("LB_CONFIG", &path);
    let gateway = start_gateway_with(&config, command);
    gateway.wait_for_log_line("discovery: connected");
    config["discovery"] = json!(second);
    fs::write(&path, config.to_string()).unwrap();
    second_sender
        .send(long_list(FLEET_ENDPOINTS, succeeding_endpoint()).to_string())
        .unwrap();
    gateway.signal(Signal::HUP);
    assert_routes_by_the_long_list(&gateway, FLEET_ENDPOINTS);
}

/// Guards against a limit on memory that a long list breaks while clients hold all buffers that they may have.
#[test]
fn the_longest_lists_and_the_longest_bodies_fit_into_the_lowest_memory_limit() {
    let (discovery, line_sender) = discovery_server(&Trace::default());
    let mut config = configuration_with_old_list(discovery);
    config["limits"] = json!({"memory_mb": LOWEST_MEMORY_MB, "sockets": 1024});
    let gateway = start_gateway(&config);
    let mut clients: Vec<Client> = (0..250).map(|_| gateway.client()).collect();
    let part =
        "POST /api HTTP/1.1\r\nContent-Length: 65536\r\n\r\n".to_string() + &"b".repeat(65535);
    for client in &mut clients {
        // A client for which no buffer is left may be closed.
        let _ = client.0.get_mut().write_all(part.as_bytes());
    }
    // Changes after which every endpoint of the fleet is another one.
    let changes = long_list(2 * FLEET_ENDPOINTS, unresponsive_server());
    for _ in 0..3 {
        line_sender
            .send(serde_json::to_string_pretty(&changes).unwrap())
            .unwrap();
        gateway.wait_for_log_line("discovery: list 42 with 6400 endpoints");
    }
    let peak_kb = gateway.peak_memory_kb();
    assert!(peak_kb < LOWEST_MEMORY_MB * 1024, "{peak_kb} kB");
}
