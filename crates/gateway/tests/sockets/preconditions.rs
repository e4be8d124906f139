//! Events that arrive between the decision on an attempt and its first byte. An endpoint delays the connection until the
//! gateway has handled the other event; docs/design/crossings.md lists these cases.

use std::io::Read;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::delayed_endpoint::*;
use crate::support::*;

const COUNTERS: [&str; 5] = [
    "succeeded",
    "rejected",
    "client-disconnected",
    "not-sent",
    "precondition-violated",
];

#[test]
fn nothing_is_written_to_an_endpoint_that_starts_draining_during_the_connect() {
    for lifecycle in ["draining", "gone"] {
        let (discovery, update_sender) = discovery_server(&Trace::default());
        let mut endpoint = DelayedEndpoint::new();
        let mut config = gateway_configuration(discovery, &[endpoint.record("ready", 41)]);
        set_long_connect_timeout(&mut config);
        let gateway = start_gateway(&config);
        let mut client = send_delayed_request(&gateway, "lodge", "aa");
        update_sender
            .send(endpoint_list(42, false, &[endpoint.record(lifecycle, 41)]).to_string())
            .unwrap();
        gateway.wait_for_log_line("discovery: list 42 ");
        assert_eq!(endpoint.establish(1), 0);
        assert_eq!(client.receive(), "503 Retry-After: 1.5");
        assert_eq!(
            gateway.shut_down_and_read_counts(&COUNTERS),
            "rejected=1 not-sent=1 precondition-violated=1"
        );
    }
}

#[test]
fn nothing_is_written_to_another_build_that_takes_the_address_during_the_connect() {
    let trace = Trace::default();
    let (discovery, update_sender) = discovery_server(&trace);
    let mut endpoint = DelayedEndpoint::new();
    let mut config = gateway_configuration(discovery, &[endpoint.record("ready", 41)]);
    set_long_connect_timeout(&mut config);
    // The exposure limit of 0 forbids attempts at the new build.
    let capped =
        json!({"image": 42, "ring": 0, "progress": "trial", "ceiling": 0.0, "lag_ms": 100});
    config["rollouts"] = json!({"address": unresponsive_server(), "news": capped});
    let gateway = start_gateway(&config);
    let mut client = send_delayed_request(&gateway, "lodge", "aa");
    update_sender
        .send(endpoint_list(42, false, &[endpoint.record("ready", 42)]).to_string())
        .unwrap();
    gateway.wait_for_log_line("discovery: list 42 ");
    assert_eq!(endpoint.establish(1), 0);
    assert_eq!(client.receive(), "503 Retry-After: 1.5");
    assert_eq!(
        gateway.shut_down_and_read_counts(&COUNTERS),
        "rejected=1 not-sent=1 precondition-violated=1"
    );
}

#[test]
fn nothing_is_written_for_a_client_that_disconnects_during_the_connect() {
    let mut endpoint = DelayedEndpoint::new();
    let mut config = gateway_configuration(unresponsive_server(), &[endpoint.record("ready", 41)]);
    set_long_connect_timeout(&mut config);
    // Even with cancellation of sent attempts disabled, an unsent attempt is dropped.
    config["settings"]["limits"]["cancel"] = false.into();
    let gateway = start_gateway(&config);
    drop(send_delayed_request(&gateway, "lodge", "aa"));
    run_iterations(&gateway);
    assert_eq!(endpoint.establish(1), 0);
    assert_eq!(
        gateway.shut_down_and_read_counts(&COUNTERS),
        "client-disconnected=1 not-sent=1 precondition-violated=1"
    );
}

#[test]
fn nothing_is_written_for_a_client_whose_close_is_read_after_the_connect() {
    let mut endpoint = DelayedEndpoint::new();
    let mut config = gateway_configuration(unresponsive_server(), &[endpoint.record("ready", 41)]);
    set_long_connect_timeout(&mut config);
    let gateway = start_gateway(&config);
    let client = send_delayed_request(&gateway, "lodge", "aa");
    // While the gateway is stopped, the connection is established first, and then the client disconnects.
    gateway.suspend();
    endpoint
        .queue
        .drain(..)
        .for_each(|_| drop(endpoint.listener.accept().unwrap()));
    let connection = endpoint.listener.accept().unwrap().0;
    drop(client);
    gateway.signal(Signal::CONT);
    assert_eq!(DelayedEndpoint::count_bytes_until_close(connection), 0);
    assert_eq!(
        gateway.shut_down_and_read_counts(&COUNTERS),
        "client-disconnected=1 not-sent=1 precondition-violated=1"
    );
}

#[test]
fn nothing_is_written_to_a_build_whose_exposure_limit_is_lowered_during_the_connect() {
    let trace = Trace::default();
    let (platform, update_sender) = start_platform(&trace, &[], Some("{}"));
    let mut endpoint = DelayedEndpoint::new();
    let mut config = gateway_configuration(unresponsive_server(), &[endpoint.record("ready", 42)]);
    set_long_connect_timeout(&mut config);
    config["settings"]["family_info"]["decided_by"] = "clocked".into();
    config["rollouts"] = json!({"address": platform, "news": rollout_update(42, 0, "trial")});
    let gateway = start_gateway(&config);
    trace.wait_for("platform: events", 1);
    let mut client = send_delayed_request(&gateway, "lodge", "aa");
    let lowered =
        json!({"image": 42, "ring": 0, "progress": "rolling_back", "ceiling": 0.0, "lag_ms": 0});
    update_sender
        .send(json!({"type": "news", "object": lowered}).to_string())
        .unwrap();
    gateway.wait_for_log_line("RollingBack");
    assert_eq!(endpoint.establish(1), 0);
    assert_eq!(client.receive(), "503 Retry-After: 1.5");
    assert_eq!(
        gateway.shut_down_and_read_counts(&COUNTERS),
        "rejected=1 not-sent=1 precondition-violated=1"
    );
}

#[test]
fn nothing_is_written_to_an_older_build_for_a_key_that_a_newer_build_answers_during_the_connect() {
    let trace = Trace::default();
    let (discovery, update_sender) = discovery_server(&trace);
    let mut older = DelayedEndpoint::new();
    let newer = endpoint("two", &trace, &[EndpointBehavior::Succeed]);
    let mut config = gateway_configuration(discovery, &[older.record("ready", 41)]);
    set_long_connect_timeout(&mut config);
    config["settings"]["family_info"]["one_way"] = true.into();
    // The exposure allowance admits all attempts at the new build, however late their connections are established.
    config["settings"]["family_info"]["spare_tries"] = 100.0.into();
    config["rollouts"] =
        json!({"address": unresponsive_server(), "news": rollout_update(42, 0, "trial")});
    let gateway = start_gateway(&config);
    // The concurrency limit of an endpoint without responses so far is three. All requests share one key.
    let clients: Vec<Client> = ["a1", "a2", "a3"]
        .map(|id| send_delayed_request(&gateway, "lodge", id))
        .into();
    update_sender
        .send(endpoint_list(42, false, &[endpoint_record("s-2", newer, "ready", 42)]).to_string())
        .unwrap();
    gateway.wait_for_log_line("discovery: list 42 ");
    assert_eq!(
        gateway
            .client()
            .request(client_request("lodge", "a4", 9000)),
        "200 two settled a4"
    );
    assert_eq!(older.establish(3), 0);
    for (mut client, id) in clients.into_iter().zip(["a1", "a2", "a3"]) {
        assert_eq!(client.receive(), format!("200 two settled {id}"));
    }
    assert_eq!(
        gateway.shut_down_and_read_counts(&COUNTERS),
        "succeeded=4 not-sent=3 precondition-violated=3"
    );
}

#[test]
fn a_retry_is_not_written_after_the_deduplication_window() {
    let deduplication_window = Duration::from_millis(700);
    let (listener, queue) = endpoint_with_full_queue();
    let mut endpoint = DelayedEndpoint { listener, queue };
    let mut config = gateway_configuration(unresponsive_server(), &[endpoint.record("ready", 41)]);
    set_long_connect_timeout(&mut config);
    config["settings"]["classes"][1]["memory_span"] =
        (deduplication_window.as_micros() as u64).into();
    // The first attempt is received and may have run. After that, connections are delayed again.
    endpoint
        .queue
        .drain(..)
        .for_each(|_| drop(endpoint.listener.accept().unwrap()));
    let gateway = start_gateway(&config);
    let mut client = gateway.client();
    client.send(client_request("payment", "aa", 9000));
    let mut first = endpoint.listener.accept().unwrap().0;
    let mut byte = [0; 1];
    first.read_exact(&mut byte).unwrap();
    let address = endpoint.listener.local_addr().unwrap();
    endpoint.queue = fill_accept_queue(address);
    socket2::SockRef::from(&first)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    drop(first);
    run_iterations(&gateway);
    // This test depends on the time that passes during the connect.
    thread::sleep(deduplication_window);
    assert_eq!(endpoint.establish(1), 0);
    assert_eq!(client.receive(), "503 Retry-After: 1.5");
    assert_eq!(
        gateway.shut_down_and_read_counts(&[
            "rejected",
            "reset",
            "not-sent",
            "precondition-violated"
        ]),
        "rejected=1 reset=1 not-sent=1 precondition-violated=1"
    );
}

#[test]
fn delayed_connections_established_at_once_stay_within_the_exposure_limit() {
    let mut endpoint = DelayedEndpoint::new();
    let mut config = gateway_configuration(unresponsive_server(), &[endpoint.record("ready", 42)]);
    set_long_connect_timeout(&mut config);
    let window = Duration::from_millis(300);
    config["settings"]["family_info"]["counted_over"] = (window.as_micros() as u64).into();
    let capped =
        json!({"image": 42, "ring": 0, "progress": "trial", "ceiling": 0.01, "lag_ms": 100});
    config["rollouts"] = json!({"address": unresponsive_server(), "news": capped});
    let gateway = start_gateway(&config);
    // Each window admits one attempt. By the next decision, the earlier attempt is outside the window and still unwritten.
    let mut clients = Vec::new();
    for id in ["a1", "a2", "a3"] {
        clients.push(send_delayed_request(&gateway, "lodge", id));
        thread::sleep(window * 2);
    }
    // All three connections are established while the gateway is stopped, so that it handles them at once.
    gateway.suspend();
    endpoint
        .queue
        .drain(..)
        .for_each(|_| drop(endpoint.listener.accept().unwrap()));
    let connections = [(); 3].map(|_| endpoint.listener.accept().unwrap().0);
    gateway.signal(Signal::CONT);
    let written = connections
        .map(read_first_bytes)
        .iter()
        .filter(|bytes| !bytes.is_empty())
        .count();
    assert_eq!(written, 1);
    drop(clients);
    run_iterations(&gateway);
    let counters = gateway
        .shut_down_and_read_counts(&["endpoint-connections-opened", "precondition-violated"]);
    assert_eq!(
        counters,
        "endpoint-connections-opened=3 precondition-violated=2"
    );
}

#[test]
fn an_attempt_on_a_delayed_connection_states_the_time_left_when_it_is_written() {
    let mut endpoint = DelayedEndpoint::new();
    let mut config = gateway_configuration(unresponsive_server(), &[endpoint.record("ready", 41)]);
    set_long_connect_timeout(&mut config);
    let gateway = start_gateway(&config);
    let _client = send_delayed_request(&gateway, "lodge", "aa");
    // This test depends on the time that passes during the connect.
    let delay = Duration::from_millis(400);
    thread::sleep(delay);
    endpoint
        .queue
        .drain(..)
        .for_each(|_| drop(endpoint.listener.accept().unwrap()));
    let request = read_first_bytes(endpoint.listener.accept().unwrap().0);
    let stated_ms = request
        .lines()
        .find_map(|l| l.strip_prefix("X-Remaining-Ms: "))
        .unwrap();
    let stated_ms: u64 = stated_ms.parse().unwrap();
    assert!(
        (1..=9000 - delay.as_millis() as u64).contains(&stated_ms),
        "the attempt states {stated_ms} ms of 9000 ms"
    );
    assert!(
        request.ends_with("Content-Length: 2\r\n\r\n{}"),
        "{request}"
    );
}

#[test]
fn no_retry_is_sent_for_a_client_whose_close_is_still_unread() {
    let trace = Trace::default();
    let endpoint_trace = trace.clone();
    let first_attempt: Arc<Mutex<Option<TcpStream>>> = Arc::default();
    let attempt_slot = first_attempt.clone();
    // Both endpoints answer every request except "zz", whose first attempt stays unanswered.
    let handle = move |request: &mut ReceivedRequest| {
        if request.field("X-Txn") != Some("zz") {
            return request.respond("200 OK", "settled");
        }
        endpoint_trace.record("zz: attempt");
        attempt_slot
            .lock()
            .unwrap()
            .get_or_insert_with(|| request.stream.try_clone().unwrap());
        request.stream.read(&mut [0; 1]).is_err()
    };
    let handle = Arc::new(handle);
    let [one, two] = [(); 2].map(|_| {
        let handle = handle.clone();
        serve_requests(move |request| handle(request))
    });
    let config = gateway_configuration(
        unresponsive_server(),
        &[
            endpoint_record("s-1", one, "ready", 41),
            endpoint_record("s-2", two, "ready", 41),
        ],
    );
    let gateway = start_gateway(&config);
    // Opens idle connections to both endpoints, so that a retry would be written immediately.
    let mut warm_up_clients: Vec<Client> = (0..8).map(|_| gateway.client()).collect();
    for round in 0..4 {
        warm_up_clients
            .iter_mut()
            .enumerate()
            .for_each(|(n, c)| c.send(client_request("draft", &format!("w{round}{n}"), 9000)));
        warm_up_clients
            .iter_mut()
            .for_each(|c| assert_eq!(c.receive(), "200 settled"));
    }
    wait_for_connection_reuse();
    let mut client = gateway.client();
    client.send(client_request("draft", "zz", 9000));
    trace.wait_for("zz: attempt", 1);
    // While the gateway is stopped, the attempt fails first, and then the client disconnects.
    gateway.suspend();
    let attempt = first_attempt.lock().unwrap().take().unwrap();
    attempt.shutdown(std::net::Shutdown::Both).unwrap();
    drop(client);
    gateway.signal(Signal::CONT);
    run_iterations(&gateway);
    assert_eq!(trace.count("zz: attempt"), 1);
    assert_eq!(
        gateway.shut_down_and_read_counts(&["client-disconnected", "reset"]),
        "client-disconnected=1 reset=1"
    );
}
