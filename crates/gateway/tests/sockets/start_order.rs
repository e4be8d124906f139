//! The order of startup steps, and the waiting time that is deducted from the remaining time of early clients.

use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use crate::early_clients::{
    configuration_at, endpoint_recording_remaining_time, read_remaining_time, StartingGateway,
    DELAY, SLACK,
};
use crate::support::*;

/// The number of connections that a gateway accepts in one batch.
const ACCEPT_BATCH: usize = 64;
/// The remaining time that a client sends, in milliseconds.
const GRANTED_MS: u32 = 5_000;
/// A remaining time that is shorter than a long startup.
const SHORT_MS: u32 = 350;
/// Number of clients that connect while only `FREE_DESCRIPTORS` are free.
const CLIENTS: usize = 100;
/// The time in which all `CLIENTS` are answered: a fraction of what they need if every four of them wait for the next
/// maintenance (0.5 s).
const MAX_ANSWER_TIME: Duration = Duration::from_secs(4);
/// The descriptors that a gateway reserves.
const RESERVED_DESCRIPTORS: usize = 24;
/// The descriptors that clients and endpoints may use.
const FREE_DESCRIPTORS: usize = 8;

/// Serves a client whose request arrives before it is accepted. Returns the remaining time sent to the endpoint.
fn serve_unqueued_client(gateway: &Gateway, trace: &Trace) -> Duration {
    gateway.suspend();
    let mut client = gateway.client();
    client.send(client_request("lodge", "a1", GRANTED_MS));
    gateway.signal(Signal::CONT);
    assert_eq!(client.receive(), "200 answer");
    read_remaining_time(trace, "a1")
}

// Guards against deducting waiting time although the accept queue is empty, because the batch that emptied the queue was full.
#[test]
fn a_client_that_connects_after_a_full_accept_batch_keeps_its_full_time() {
    let trace = Trace::default();
    let one = endpoint_recording_remaining_time(&trace);
    let starting = StartingGateway::new(unused_address());
    let _early: Vec<Client> = (0..ACCEPT_BATCH).map(|_| starting.client()).collect();
    let config = configuration_at(starting.address, one);
    let gateway = starting.configure(&config);
    gateway.wait_for_log_line("serves on");
    thread::sleep(DELAY);
    let granted = Duration::from_millis(GRANTED_MS.into());
    let sent = serve_unqueued_client(&gateway, &trace);
    assert!(sent >= granted - SLACK, "{sent:?} sent");
}

// Guards against deducting waiting time although the accept queue is empty, because earlier clients used up the descriptors.
#[test]
fn a_client_that_connects_after_a_descriptor_shortage_keeps_its_full_time() {
    let trace = Trace::default();
    let one = endpoint_recording_remaining_time(&trace);
    let mut config = gateway_configuration(
        unresponsive_server(),
        &[endpoint_record("s-1", one, "ready", 41)],
    );
    config["limits"]["sockets"] = json!(RESERVED_DESCRIPTORS + FREE_DESCRIPTORS);
    let gateway = start_gateway(&config);
    gateway.suspend();
    let mut others: Vec<Client> = (0..FREE_DESCRIPTORS).map(|_| gateway.client()).collect();
    gateway.signal(Signal::CONT);
    thread::sleep(DELAY);
    // Frees enough descriptors for the next client and its attempt.
    others.truncate(FREE_DESCRIPTORS / 2);
    thread::sleep(DELAY);
    let granted = Duration::from_millis(GRANTED_MS.into());
    let sent = serve_unqueued_client(&gateway, &trace);
    assert!(sent >= granted - SLACK, "{sent:?} sent");
}

// Guards against a listener that stays paused until the next maintenance although descriptors are free again: each batch of
// four clients would delay the next four by half a second.
#[test]
fn early_clients_over_the_descriptor_limit_are_accepted_as_soon_as_others_disconnect() {
    let one = endpoint("one", &Trace::default(), &[EndpointBehavior::Succeed]);
    let starting = StartingGateway::new(unused_address());
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| starting.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(client_request("lodge", &format!("a{number}"), 9_000));
    }
    let mut config = configuration_at(starting.address, one);
    config["limits"]["sockets"] = json!(RESERVED_DESCRIPTORS + FREE_DESCRIPTORS);
    let _gateway = starting.configure(&config);
    let started_at = Instant::now();
    for (number, mut client) in clients.into_iter().enumerate() {
        let answer = client.receive();
        // The policy may shed some of this load.
        if answer != "503 Retry-After: 1.5" {
            assert_eq!(answer, format!("200 one settled a{number}"));
        }
    }
    let took = started_at.elapsed();
    assert!(took < MAX_ANSWER_TIME, "{took:?}");
}

// Guards against failing a request because startup took longer than the request's timeout, although the request arrived when
// startup was about to end.
#[test]
fn a_client_that_comes_at_the_end_of_a_long_start_keeps_its_time() {
    let trace = Trace::default();
    let one = endpoint_recording_remaining_time(&trace);
    let starting = StartingGateway::new(unused_address());
    let short = Duration::from_millis(SHORT_MS.into());
    assert!(short < DELAY, "the start is shorter than the timeout");
    thread::sleep(DELAY);
    let mut client = starting.client();
    let written_at = Instant::now();
    client.send(client_request("lodge", "a1", SHORT_MS));
    let config = configuration_at(starting.address, one);
    let _gateway = starting.configure(&config);
    let answer = client.receive();
    assert_eq!(answer, "200 answer", "after {:?}", written_at.elapsed());
}

// Guards against rejecting a request because the first endpoint list arrives after startup, although the client can wait.
#[test]
fn a_client_that_comes_before_the_first_list_waits_for_it() {
    let one = endpoint("one", &Trace::default(), &[EndpointBehavior::Succeed]);
    let list = endpoint_list(41, true, &[endpoint_record("s-1", one, "ready", 41)]).to_string();
    let discovery = serve_requests(move |request| {
        thread::sleep(DELAY);
        request.respond("200 OK", &list)
    });
    let starting = StartingGateway::new(unused_address());
    let mut client = starting.client();
    client.send(client_request("lodge", "a1", 9_000));
    let mut config = gateway_configuration(discovery, &[]);
    config["listen"] = json!(starting.address);
    let started_at = Instant::now();
    let _gateway = starting.configure(&config);
    let answer = client.receive();
    assert_eq!(
        answer,
        "200 one settled a1",
        "after {:?}",
        started_at.elapsed()
    );
}

/// Starts a gateway with an invalid `LB_LISTEN`. Returns its exit code and log lines.
fn run_failing_start(config: &Value, listen: &str) -> (Option<i32>, Vec<String>) {
    let mut command: Command = gateway_command(config, &["serve"]);
    command.env("LB_LISTEN", listen);
    let mut gateway = spawn_gateway(command);
    let code = gateway.wait_for_exit();
    (code, gateway.log.iter().collect())
}

// Guards against a start that takes over the address of a running gateway, or fails without an error message.
#[test]
fn a_second_gateway_at_the_same_address_exits_and_the_first_keeps_its_clients() {
    let one = endpoint("one", &Trace::default(), &[EndpointBehavior::Succeed]);
    let address = unused_address();
    let config = configuration_at(address, one);
    let mut first = start_gateway(&config);
    let expected =
        format!("harrierdock: cannot listen on {address}: Address already in use (os error 98)");
    let refused = (Some(2), vec![expected]);
    assert_eq!(run_failing_start(&config, &address.to_string()), refused);
    let mut client = first.client();
    assert_eq!(
        client.request(client_request("lodge", "a1", 9_000)),
        "200 one settled a1"
    );
    first.signal(Signal::TERM);
    first.wait_for_log_line("shutdown started");
    assert_eq!(run_failing_start(&config, &address.to_string()), refused);
    assert_eq!(
        client.request(client_request("lodge", "a2", 9_000)),
        "200 Connection: close one settled a2"
    );
    assert_eq!(first.wait_for_exit(), Some(0));
    // The first gateway's connections are still closing, which must not block a new listener.
    let second = start_gateway(&config);
    assert_eq!(
        second
            .client()
            .request(client_request("lodge", "a3", 9_000)),
        "200 one settled a3"
    );
}

// Guards against a start that falls back to the file if LB_LISTEN is invalid.
#[test]
fn an_invalid_address_in_lb_listen_fails_the_start_with_one_line() {
    let address = unused_address();
    let config = configuration_at(address, unresponsive_server());
    for text in [
        "",
        " ",
        &format!(" {address}"),
        &format!("{address} "),
        "localhost:8443",
        "127.0.0.1",
    ] {
        let expected = format!("harrierdock: LB_LISTEN {text}: invalid socket address syntax");
        assert_eq!(run_failing_start(&config, text), (Some(2), vec![expected]));
        assert!(TcpStream::connect(address).is_err(), "the gateway listens");
    }
}

// Guards against comparing the addresses of the file and the variable as text.
#[test]
fn different_spellings_of_the_same_listen_address_are_equal() {
    let one = endpoint("one", &Trace::default(), &[EndpointBehavior::Succeed]);
    for (variable, file) in [
        ("127.0.0.1:0", "127.0.0.1:00"),
        ("[::1]:0", "[0:0:0:0:0:0:0:1]:0"),
    ] {
        let mut config = configuration_at(unused_address(), one);
        config["listen"] = json!(file);
        let mut command = gateway_command(&config, &["serve", "--log", "debug"]);
        command.env("LB_LISTEN", variable);
        let gateway = start_gateway_with(&config, command);
        let expected: SocketAddr = variable.parse().unwrap();
        assert_eq!(gateway.address.ip(), expected.ip());
        let answer = gateway
            .client()
            .request(client_request("lodge", "a1", 9_000));
        assert_eq!(answer, "200 one settled a1");
    }
}

// Guards against a reload that rejects a file whose address differs from LB_LISTEN, or moves the listener to it.
#[test]
fn a_reload_does_not_change_the_listen_address() {
    let one = endpoint("one", &Trace::default(), &[EndpointBehavior::Succeed]);
    let address = unused_address();
    let mut config = configuration_at(address, one);
    let mut command = gateway_command(&config, &["serve", "--log", "debug"]);
    let path = write_config(&config);
    command
        .env("LB_CONFIG", &path)
        .env("LB_LISTEN", address.to_string());
    let gateway = start_gateway_with(&config, command);
    config["listen"] = json!(unused_address());
    std::fs::rename(write_config(&config), &path).unwrap();
    gateway.signal(Signal::HUP);
    gateway.wait_for_log_line("reloading the configuration");
    let answer = gateway
        .client()
        .request(client_request("lodge", "a1", 9_000));
    assert_eq!(answer, "200 one settled a1");
}
