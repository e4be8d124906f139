//! Discovery that is unavailable or overloaded.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use expect_test::expect;

use crate::support::*;

#[test]
fn a_gateway_without_a_list_is_ready_soon_after_discovery_recovers() {
    let requests = AtomicUsize::new(0);
    let (line_sender, lines) = channel::<String>();
    let lines = Mutex::new(lines);
    let discovery = serve_requests(move |request| {
        if request.head.contains("stream=1") {
            return request.stream_lines(&lines, Some(""));
        }
        // A request sent while discovery was down is never answered.
        if requests.fetch_add(1, Ordering::SeqCst) == 0 {
            return request.stream.read(&mut [0; 1]).is_err();
        }
        request.respond(
            "200 OK",
            &endpoint_list(
                41,
                true,
                &[endpoint_record("s-1", unresponsive_server(), "ready", 41)],
            )
            .to_string(),
        )
    });
    let started_at = Instant::now();
    let gateway = start_gateway(&gateway_configuration(discovery, &[]));
    let ready = || gateway.client().request("GET /ready HTTP/1.1\r\n\r\n") == "200";
    while !ready() {
        assert!(
            started_at.elapsed() < Duration::from_secs(4),
            "the gateway waits for a request that was never answered"
        );
        thread::sleep(Duration::from_millis(10));
    }
    gateway.wait_for_log_line("discovery: the request for a snapshot is not answered, reopened");
    drop(line_sender);
}

#[test]
fn overloaded_discovery_is_polled_for_changes_only_and_with_backoff() {
    let trace = Trace::default();
    let (seen, requests, started_at) = (trace.clone(), AtomicUsize::new(0), Instant::now());
    let (line_sender, lines) = channel();
    let lines = Mutex::new(lines);
    let times: &'static Mutex<Vec<Duration>> = Box::leak(Box::default());
    let discovery = serve_requests(move |request| {
        seen.record(format!(
            "discovery: {}",
            request.head.lines().next().unwrap_or("")
        ));
        times.lock().unwrap().push(started_at.elapsed());
        if requests.fetch_add(1, Ordering::SeqCst) < 3 {
            request.respond("503 Full\r\nConnection: close", "");
            return false;
        }
        request.stream_lines(&lines, Some(""))
    });
    let mut config = gateway_configuration(
        discovery,
        &[endpoint_record("s-1", unresponsive_server(), "ready", 41)],
    );
    config["settings"]["discovery"] = "on_request".into();
    config["settings"]["safety"]["must_ask_in"] = 1_500_000.into();
    let gateway = start_gateway(&config);
    line_sender
        .send(endpoint_list(42, false, &[]).to_string())
        .unwrap();
    gateway.wait_for_log_line("discovery: list 42 ");
    assert_trace(
        &trace,
        expect![[r#"
        discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
        discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
        discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
        discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
    "#]],
    );
    let times = times.lock().unwrap();
    let waits: Vec<Duration> = times.windows(2).map(|w| w[1] - w[0]).collect();
    // The minimum configured here is 0.5 s. Each backoff is at least half of its nominal 1 s and 2 s.
    for (wait, least) in waits.iter().zip([490, 500, 1000]) {
        assert!(*wait >= Duration::from_millis(least), "{waits:?}");
    }
}

#[test]
fn an_unconfirmed_list_is_not_used_in_poll_mode() {
    for (mode, answer_when_unconfirmed) in [
        ("on_request", "503 Retry-After: 1.5"),
        ("pushed", "200 one settled a2"),
    ] {
        let (full, started_at) = (Arc::new(AtomicBool::new(true)), Instant::now());
        let (is_full, (line_sender, lines)) = (full.clone(), channel());
        let lines = Mutex::new(lines);
        let discovery = serve_requests(move |request| {
            if is_full.load(Ordering::SeqCst) {
                request.respond("503 Full\r\nConnection: close", "");
                return false;
            }
            request.stream_lines(&lines, Some(""))
        });
        let one = endpoint("one", &Trace::default(), &[EndpointBehavior::Succeed]);
        let known = endpoint_record("s-1", one, "ready", 41);
        let mut config = gateway_configuration(discovery, std::slice::from_ref(&known));
        config["settings"]["discovery"] = mode.into();
        config["settings"]["safety"]["must_ask_in"] = 1_500_000.into();
        let gateway = start_gateway(&config);
        let mut client = gateway.client();
        assert_eq!(
            client.request(client_request("draft", "a1", 9000)),
            "200 one settled a1"
        );
        // In poll mode a cached list expires after 3 s, half of the notification deadline of 6 s.
        thread::sleep(Duration::from_millis(3100).saturating_sub(started_at.elapsed()));
        assert_eq!(
            client.request(client_request("draft", "a2", 9000)),
            answer_when_unconfirmed,
            "{mode}"
        );
        full.store(false, Ordering::SeqCst);
        line_sender
            .send(endpoint_list(42, false, &[known]).to_string())
            .unwrap();
        gateway.wait_for_log_line("discovery: list 42 ");
        assert_eq!(
            client.request(client_request("draft", "a3", 9000)),
            "200 one settled a3",
            "{mode}"
        );
    }
}

// Guards against attempts at endpoints that drain while discovery's new address turns calls away.
#[test]
fn a_list_that_the_new_address_does_not_confirm_is_used_for_a_shorter_time() {
    // After a move the gateway counts as notified after 4 s, in place of 6 s after the last confirmation.
    const LONGEST_USE: Duration = Duration::from_millis(4_900);
    let (discovery, line_sender) = discovery_server(&Trace::default());
    let refusing = serve_requests(move |request| {
        request.respond("429 Full\r\nConnection: close", "");
        false
    });
    let one = endpoint("one", &Trace::default(), &[EndpointBehavior::Succeed]);
    let known = endpoint_record("s-1", one, "ready", 41);
    let mut config = gateway_configuration(discovery, std::slice::from_ref(&known));
    config["settings"]["discovery"] = "on_request".into();
    config["settings"]["safety"]["must_ask_in"] = 1_500_000.into();
    let path = write_config(&config);
    let mut command = gateway_command(&config, &["serve", "--log", "debug"]);
    command.env("LB_CONFIG", &path);
    let gateway = start_gateway_with(&config, command);
    let list = endpoint_list(42, false, &[known]).to_string();
    line_sender.send(list).unwrap();
    gateway.wait_for_log_line("discovery: list 42 ");
    config["discovery"] = json!(refusing);
    std::fs::write(&path, config.to_string()).unwrap();
    let moved_at = Instant::now();
    gateway.signal(Signal::HUP);
    gateway.wait_for_log_line("too old, no attempts are sent");
    let used_for = moved_at.elapsed();
    assert!(used_for < LONGEST_USE, "{used_for:?}");
}

#[test]
fn a_poll_that_fails_late_does_not_confirm_the_list() {
    let discovery = serve_requests(move |request| {
        let line = endpoint_list(41, false, &[]).to_string() + "\n";
        request.stream.write_all(STREAM_HEAD.as_bytes()).unwrap();
        assert!(write_chunk(&mut request.stream, &line));
        thread::sleep(Duration::from_secs(2));
        false
    });
    let one = endpoint("one", &Trace::default(), &[EndpointBehavior::Succeed]);
    let mut config = gateway_configuration(discovery, &[endpoint_record("s-1", one, "ready", 41)]);
    config["settings"]["discovery"] = "on_request".into();
    config["settings"]["safety"]["must_ask_in"] = 1_500_000.into();
    let gateway = start_gateway(&config);
    gateway.wait_for_log_line("discovery: list 41 with 0 endpoints");
    gateway.wait_for_log_line("too old, no attempts are sent");
    assert_eq!(
        gateway
            .client()
            .request(client_request("draft", "a1", 9000)),
        "503 Retry-After: 1.5"
    );
}

/// Starts a discovery service that handles one request at a time and takes `work` for each. A request that waits longer than
/// 2 s is refused after 2 s, but still takes its processing time. A request that would wait longer than 5 s is refused at once.
fn shared_discovery(trace: &Trace, work: Duration) -> SocketAddr {
    let (trace, free_at) = (trace.clone(), Mutex::new(Instant::now()));
    let (max_wait, max_queue) = (Duration::from_secs(2), Duration::from_secs(5));
    serve_requests(move |request| {
        let now = Instant::now();
        let wait = {
            let mut free_at = free_at.lock().unwrap();
            let wait = free_at.saturating_duration_since(now);
            if wait <= max_queue {
                *free_at = now + wait + work;
            }
            wait
        };
        if wait > max_wait {
            thread::sleep(if wait > max_queue {
                Duration::ZERO
            } else {
                max_wait
            });
            trace.record("refused");
            request.respond("503 Full\r\nConnection: close", "");
            return false;
        }
        thread::sleep(wait + work);
        let (line_sender, lines) = channel();
        line_sender
            .send(endpoint_list(42, false, &[]).to_string())
            .unwrap();
        request.stream_lines(&Mutex::new(lines), Some(""))
    })
}

#[test]
fn gateways_that_start_together_all_get_a_list_from_low_capacity_discovery() {
    let trace = Trace::default();
    // The first requests of all gateways take 5.4 s of processing.
    let discovery = shared_discovery(&trace, Duration::from_millis(450));
    let server = unresponsive_server();
    let gateways: Vec<Gateway> = (0..12)
        .map(|n| {
            let mut config =
                gateway_configuration(discovery, &[endpoint_record("s-1", server, "ready", 41)]);
            config["seed"] = format!("{n:016x}").into();
            config["settings"]["discovery"] = "on_request".into();
            config["settings"]["safety"]["must_ask_in"] = 10_000_000.into();
            start_gateway(&config)
        })
        .collect();
    // If all gateways retried at once, discovery would spend its whole capacity on requests that were already given up.
    gateways
        .iter()
        .for_each(|gateway| drop(gateway.wait_for_log_line("discovery: list 42 ")));
    assert!(
        trace.count("refused") < 3 * gateways.len(),
        "{} requests refused",
        trace.count("")
    );
}
