//! Limits on descriptors and memory, and which connections are closed at a limit.

use std::fs;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use expect_test::expect;

use crate::support::*;

#[test]
fn idle_connections_are_closed_first_at_the_descriptor_limit() {
    let trace = Trace::default();
    let one = endpoint("one", &trace, &[EndpointBehavior::Succeed]);
    let mut config = gateway_configuration(
        unresponsive_server(),
        &[endpoint_record("s-1", one, "ready", 41)],
    );
    config["limits"]["sockets"] = 32.into();
    let gateway = start_gateway(&config);
    let mut clients: Vec<Client> = Vec::new();
    for _ in 0..30 {
        let mut client = gateway.client();
        client.request("GET /ready HTTP/1.1\r\n\r\n");
        clients.push(client);
    }
    // The most recent clients are answered. The first ones were closed and may reconnect.
    let answers: Vec<String> = clients
        .iter_mut()
        .rev()
        .take(3)
        .map(|c| c.request(client_request("draft", "aa", 9000)))
        .collect();
    let open = fs::read_dir(format!("/proc/{}/fd", gateway.child.id()))
        .unwrap()
        .count();
    trace.0.lock().unwrap().clear();
    trace.record(format!("{answers:?}, within the limit: {}", open <= 32));
    trace.record(format!(
        "again: {}",
        gateway
            .client()
            .request(client_request("draft", "ab", 9000))
    ));
    trace.0.lock().unwrap().retain(|l| !l.starts_with("one."));
    assert_trace(
        &trace,
        expect![[r#"
        ["200 one settled aa", "200 one settled aa", "200 one settled aa"], within the limit: true
        again: 200 one settled ab
    "#]],
    );
}

#[test]
fn connections_without_a_request_are_closed_before_idle_ones() {
    let trace = Trace::default();
    let one = endpoint("one", &trace, &[EndpointBehavior::Succeed]);
    let mut config = gateway_configuration(
        unresponsive_server(),
        &[endpoint_record("s-1", one, "ready", 41)],
    );
    config["limits"]["sockets"] = 32.into();
    let gateway = start_gateway(&config);
    let mut client = gateway.client();
    trace.record(client.request(client_request("draft", "aa", 9000)));
    let mut unused: Vec<Client> = (0..30).map(|_| gateway.client()).collect();
    // The oldest unused connection was closed to free a descriptor.
    trace.record(unused[0].receive());
    wait_for_connection_reuse();
    trace.record(client.request(client_request("draft", "ab", 9000)));
    assert_trace(
        &trace,
        expect![[r#"
        one.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 request aa ""
        200 one settled aa
        closed
        one.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 request ab ""
        200 one settled ab
    "#]],
    );
}

#[test]
fn the_longest_bodies_of_all_clients_stay_within_the_memory_limit() {
    let mut config = gateway_configuration(unresponsive_server(), &[]);
    config["limits"] = json!({"memory_mb": 24, "sockets": 1024});
    let gateway = start_gateway(&config);
    let mut clients: Vec<Client> = (0..150).map(|_| gateway.client()).collect();
    // Each client sends all but the last byte, so that all bodies are buffered at once. Further clients find the buffer limit reached.
    let head = "POST /api HTTP/1.1\r\nContent-Length: 65536\r\n\r\n".to_string();
    let part = head + &"b".repeat(65535);
    clients
        .iter_mut()
        .for_each(|c| drop(c.0.get_mut().write_all(part.as_bytes())));
    assert_eq!(
        clients.last_mut().unwrap().request("b"),
        "400 X-Txn: missing or wrong"
    );
    let peak_kb = gateway.peak_memory_kb();
    assert!(peak_kb < 24 * 1024, "{peak_kb} kB");
}

#[test]
fn incomplete_requests_do_not_block_other_clients() {
    let one = endpoint("one", &Trace::default(), &[EndpointBehavior::Succeed]);
    // The incomplete requests use all descriptors, or all buffers for requests.
    for (memory, sockets, count) in [(192, 32, 8), (8, 200, 60)] {
        let mut config = gateway_configuration(
            unresponsive_server(),
            &[endpoint_record("s-1", one, "ready", 41)],
        );
        config["limits"] = json!({"memory_mb": memory, "sockets": sockets});
        let gateway = start_gateway(&config);
        let mut stalled: Vec<Client> = (0..count).map(|_| gateway.client()).collect();
        stalled
            .iter_mut()
            .for_each(|c| c.send("GET /api HTTP/1.1\r\n"));
        // Until the stalled clients time out, a request may be rejected because there is no descriptor for its endpoint.
        let started_at = Instant::now();
        let request = || {
            gateway
                .client()
                .request(client_request("draft", "aa", 9000))
        };
        let mut answer = request();
        while answer != "200 one settled aa" {
            assert!(
                started_at.elapsed() < TEST_TIMEOUT,
                "blocked by stalled clients: {answer}"
            );
            thread::sleep(Duration::from_millis(50));
            answer = request();
        }
    }
}

#[test]
fn connections_kept_after_one_request_leave_descriptors_to_others() {
    let mut config = gateway_configuration(unresponsive_server(), &[]);
    config["limits"]["sockets"] = 60.into();
    let gateway = start_gateway(&config);
    let mut clients: Vec<Client> = Vec::new();
    for _ in 0..15 {
        let mut client = gateway.client();
        assert_eq!(client.request("GET /ready HTTP/1.1\r\n\r\n"), "503");
        clients.push(client);
    }
    // A third of the descriptors is for clients, and half of that third may be idle.
    let (first, last) = clients.split_at_mut(5);
    assert!(first.iter_mut().all(|c| c.receive() == "closed"));
    assert!(last
        .iter_mut()
        .all(|c| c.request("GET /ready HTTP/1.1\r\n\r\n") == "503"));
}

#[test]
fn connections_without_data_need_no_buffer() {
    let mut config = gateway_configuration(unresponsive_server(), &[]);
    config["limits"] = json!({"memory_mb": 8, "sockets": 600});
    let gateway = start_gateway(&config);
    let ready = |c: &mut Client| c.request("GET /ready HTTP/1.1\r\n\r\n");
    let mut clients: Vec<Client> = Vec::new();
    for _ in 0..100 {
        let mut client = gateway.client();
        assert_eq!(ready(&mut client), "503");
        clients.push(client);
    }
    assert!(clients.iter_mut().all(|c| ready(c) == "503"));
}

#[test]
fn the_client_that_takes_the_last_descriptor_keeps_it() {
    let mut config = gateway_configuration(unresponsive_server(), &[]);
    config["limits"]["sockets"] = 32.into();
    let gateway = start_gateway(&config);
    let mut others: Vec<Client> = (0..7).map(|_| gateway.client()).collect();
    others
        .iter_mut()
        .for_each(|c| c.send("GET /ready HTTP/1.1\r\n"));
    thread::sleep(Duration::from_millis(100));
    let mut last = gateway.client();
    thread::sleep(Duration::from_millis(100));
    assert_eq!(last.request("GET /ready HTTP/1.1\r\n\r\n"), "503");
    assert!(others.iter_mut().all(|c| c.request("\r\n") == "503"));
}

#[test]
fn time_in_the_accept_queue_is_deducted_from_the_remaining_time() {
    let trace = Trace::default();
    let seen = trace.clone();
    let one = serve_requests(move |request| {
        let field = |name| request.field(name).unwrap_or("none").to_string();
        seen.record(format!("{} {}", field("X-Txn"), field("X-Remaining-Ms")));
        thread::sleep(Duration::from_millis(600));
        request.respond("200 OK", "answer")
    });
    let mut config = gateway_configuration(
        unresponsive_server(),
        &[endpoint_record("s-1", one, "ready", 41)],
    );
    // Leaves four descriptors for clients and endpoints, all used by two requests in progress.
    config["limits"]["sockets"] = json!(28);
    let gateway = start_gateway(&config);
    // Time without clients does not count as time in the accept queue.
    thread::sleep(Duration::from_millis(400));
    let mut clients: Vec<Client> = (0..2).map(|_| gateway.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(client_request("lodge", &format!("a{number}"), 5_000));
    }
    trace.wait_for("a", 2);
    let remaining_time_sent = |id: &str| -> Duration {
        let text = trace.text();
        let sent = text.lines().find_map(|line| line.strip_prefix(id));
        Duration::from_millis(sent.unwrap().trim().parse().unwrap())
    };
    for id in ["a0 ", "a1 "] {
        assert!(
            remaining_time_sent(id) > Duration::from_millis(4_800),
            "{}",
            trace.text()
        );
    }
    let mut queued = gateway.client();
    queued.send(client_request("lodge", "b", 2_000));
    let written_at = Instant::now();
    trace.wait_for("b ", 1);
    let waited = written_at.elapsed();
    let text = trace.text();
    let sent = text.lines().find_map(|line| line.strip_prefix("b "));
    let sent = Duration::from_millis(sent.unwrap().parse().unwrap());
    assert!(
        waited > Duration::from_millis(300),
        "the request did not wait: {waited:?}"
    );
    let left = Duration::from_millis(2_000).saturating_sub(waited);
    let slack = Duration::from_millis(150);
    assert!(sent <= left + slack, "{sent:?} sent, {left:?} left");
    assert_eq!(queued.receive(), "200 answer");
}

// Beyond the accept queue, the system drops a client's connection or request, and it arrives a second later.
#[test]
fn the_accept_queue_holds_more_clients_than_the_gateway_may_have_connections() {
    const CLIENTS: usize = 1_100;
    let system_limit = fs::read_to_string("/proc/sys/net/core/somaxconn").unwrap();
    let expected = CLIENTS.min(system_limit.trim().parse().unwrap());
    let gateway = start_gateway(&gateway_configuration(unresponsive_server(), &[]));
    gateway.suspend();
    let connect = || {
        let timeout = Duration::from_millis(500);
        TcpStream::connect_timeout(&gateway.address, timeout).ok()
    };
    let clients: Vec<TcpStream> = std::iter::from_fn(connect).take(CLIENTS).collect();
    gateway.signal(Signal::CONT);
    assert!(clients.len() >= expected, "{} connected", clients.len());
}
