//! Requests and connections during a graceful shutdown.

use std::io::Read;
use std::thread;
use std::time::{Duration, Instant};

use expect_test::expect;

use crate::support::*;

/// The shortest time from SIGTERM until the platform may kill the process. The longest timeout of a request class here is 3 s.
const EARLIEST_KILL: Duration = Duration::from_millis(3_700);
/// The longest time that a gateway process may be suspended.
const MAX_STALL: Duration = Duration::from_millis(150);

#[test]
fn a_shutdown_answers_all_requests_and_closes_connections_between_them() {
    let trace = Trace::default();
    let one = endpoint("one", &trace, &[EndpointBehavior::Slow]);
    let mut gateway = start_gateway(&gateway_configuration(
        unresponsive_server(),
        &[endpoint_record("s-1", one, "ready", 41)],
    ));
    let (mut idle, mut busy) = (gateway.client(), gateway.client());
    trace.record(format!(
        "ready: {}",
        idle.request("GET /ready HTTP/1.1\r\n\r\n")
    ));
    busy.send(client_request("lodge", "a1", 9000));
    trace.wait_for("one.1: POST", 1);
    gateway.signal(Signal::TERM);
    gateway.wait_for_log_line("shutdown started");
    let mut late = gateway.client();
    late.send(client_request("lodge", "a2", 9000));
    let mut answers = vec![
        format!("in progress: {}", busy.receive()),
        format!("late: {}", late.receive()),
    ];
    answers.push(format!(
        "ready: {}",
        gateway.client().request("GET /ready HTTP/1.1\r\n\r\n")
    ));
    answers.push(format!("idle: {}", idle.receive()));
    answers.into_iter().for_each(|a| trace.record(a));
    trace.record(format!(
        "exit code: {:?}",
        gateway.child.wait().unwrap().code()
    ));
    trace.0.lock().unwrap().retain(|l| !l.starts_with("one."));
    assert_trace(
        &trace,
        expect![[r#"
        ready: 200
        in progress: 200 Connection: close one settled a1
        late: 200 Connection: close one settled a2
        ready: 503 Connection: close
        idle: closed
        exit code: Some(0)
    "#]],
    );
}

#[test]
fn unanswered_requests_fail_when_the_shutdown_time_is_over() {
    let trace = Trace::default();
    let one = endpoint("one", &trace, &[EndpointBehavior::Unresponsive]);
    let mut gateway = start_gateway(&gateway_configuration(
        unresponsive_server(),
        &[endpoint_record("s-1", one, "ready", 41)],
    ));
    let mut client = gateway.client();
    client.send(client_request("lodge", "a1", 60_000));
    trace.wait_for("one.1: POST", 1);
    gateway.signal(Signal::TERM);
    assert_eq!(client.receive(), "502 Connection: close");
    assert_eq!(gateway.child.wait().unwrap().code(), Some(0));
}

#[test]
fn a_request_completed_late_in_a_shutdown_is_answered_before_the_earliest_kill() {
    let trace = Trace::default();
    let seen = trace.clone();
    let one = serve_requests(move |request| {
        let field = |name| request.field(name).unwrap_or("none").to_string();
        seen.record(format!("{} {}", field("X-Txn"), field("X-Remaining-Ms")));
        request.stream.read(&mut [0; 1]).is_err()
    });
    let mut gateway = start_gateway(&gateway_configuration(
        unresponsive_server(),
        &[endpoint_record("s-1", one, "ready", 41)],
    ));
    let (mut idle, mut late) = (gateway.client(), gateway.client());
    idle.request("GET /ready HTTP/1.1\r\n\r\n");
    let request = client_request("lodge", "a1", 60_000);
    let (most, last) = request.split_at(request.len() - 1);
    late.send(most);
    gateway.signal(Signal::TERM);
    gateway.wait_for_log_line("shutdown started");
    // Idle connections are closed at the end of the grace period for new requests.
    assert_eq!(idle.receive(), "closed");
    late.send(last);
    trace.wait_for("a1", 1);
    // The platform may kill the process 3 s later; 0.5 s of that time is reserved for setting up a connection.
    let left: i64 = trace
        .text()
        .trim()
        .trim_start_matches("a1 ")
        .parse()
        .unwrap();
    assert!(
        left <= 2_500,
        "{left} ms remaining time sent, which ends after the earliest kill"
    );
    assert_eq!(late.receive(), "502 Connection: close");
    assert_eq!(gateway.child.wait().unwrap().code(), Some(0));
}

#[test]
fn a_reload_during_a_shutdown_does_not_affect_requests_in_progress() {
    let trace = Trace::default();
    let one = endpoint("one", &trace, &[EndpointBehavior::Slow]);
    let mut gateway = start_gateway(&gateway_configuration(
        unresponsive_server(),
        &[endpoint_record("s-1", one, "ready", 41)],
    ));
    let mut busy = gateway.client();
    busy.send(client_request("lodge", "a1", 9000));
    trace.wait_for("one.1: POST", 1);
    gateway.signal(Signal::TERM);
    gateway.wait_for_log_line("shutdown started");
    gateway.signal(Signal::HUP);
    gateway.wait_for_log_line("reloading the configuration");
    let mut late = gateway.client();
    late.send(client_request("lodge", "a2", 9000));
    assert_eq!(busy.receive(), "200 Connection: close one settled a1");
    assert_eq!(late.receive(), "200 Connection: close one settled a2");
    assert_eq!(gateway.child.wait().unwrap().code(), Some(0));
}

#[test]
fn a_shutdown_before_the_first_list_answers_received_requests() {
    let mut gateway = start_gateway(&gateway_configuration(unresponsive_server(), &[]));
    let (mut idle, mut client) = (gateway.client(), gateway.client());
    assert_eq!(idle.request("GET /ready HTTP/1.1\r\n\r\n"), "503");
    gateway.signal(Signal::TERM);
    gateway.wait_for_log_line("shutdown started");
    assert_eq!(
        client.request(client_request("lodge", "a1", 9000)),
        "503 Retry-After: 1.5 Connection: close"
    );
    assert_eq!(idle.receive(), "closed");
    assert_eq!(gateway.child.wait().unwrap().code(), Some(0));
}

#[test]
fn a_request_in_the_grace_period_is_answered_before_the_earliest_kill() {
    let sent = signal_and_request_in_grace_period(Duration::ZERO);
    assert!(sent.answered_after <= EARLIEST_KILL - MAX_STALL, "{sent:?}");
}

#[test]
fn a_shutdown_whose_signal_is_handled_late_answers_before_the_earliest_kill() {
    let sent = signal_and_request_in_grace_period(MAX_STALL);
    assert!(sent.answered_after <= EARLIEST_KILL, "{sent:?}");
}

/// The time from SIGTERM to the answer of a request to an unresponsive endpoint, sent in the grace period with the
/// longest request class.
#[derive(Debug)]
struct GraceRequest {
    answered_after: Duration,
}

/// Sends SIGTERM to a gateway suspended for `stall`, and a request 0.5 s after the signal.
fn signal_and_request_in_grace_period(stall: Duration) -> GraceRequest {
    let trace = Trace::default();
    let one = endpoint("one", &trace, &[EndpointBehavior::Unresponsive]);
    let mut gateway = start_gateway(&gateway_configuration(
        unresponsive_server(),
        &[endpoint_record("s-1", one, "ready", 41)],
    ));
    if !stall.is_zero() {
        gateway.suspend();
    }
    let signalled_at = Instant::now();
    gateway.signal(Signal::TERM);
    thread::sleep(stall);
    gateway.signal(Signal::CONT);
    thread::sleep(Duration::from_millis(500).saturating_sub(signalled_at.elapsed()));
    let mut late = gateway.client();
    assert_eq!(
        late.request(client_request("lodge", "a1", 3_251)),
        "502 Connection: close"
    );
    let answered_after = signalled_at.elapsed();
    assert_eq!(gateway.child.wait().unwrap().code(), Some(0));
    GraceRequest { answered_after }
}

#[test]
fn further_signals_do_not_affect_requests_in_progress() {
    for further in [
        &[Signal::TERM][..],
        &[Signal::INT],
        &[Signal::HUP, Signal::TERM, Signal::HUP, Signal::TERM],
    ] {
        let trace = Trace::default();
        let one = endpoint("one", &trace, &[EndpointBehavior::Slow]);
        let mut gateway = start_gateway(&gateway_configuration(
            unresponsive_server(),
            &[endpoint_record("s-1", one, "ready", 41)],
        ));
        let (mut busy, mut idle) = (gateway.client(), gateway.client());
        idle.request("GET /ready HTTP/1.1\r\n\r\n");
        busy.send(client_request("lodge", "a1", 60_000));
        trace.wait_for("one.1: POST", 1);
        gateway.signal(Signal::TERM);
        gateway.wait_for_log_line("shutdown started");
        for signal in further {
            gateway.signal(*signal);
            thread::sleep(Duration::from_millis(10));
        }
        let late = idle.request(client_request("lodge", "a2", 60_000));
        assert_eq!(late, "200 Connection: close one settled a2", "{further:?}");
        let answer = busy.receive();
        assert_eq!(
            answer, "200 Connection: close one settled a1",
            "{further:?}"
        );
        assert_eq!(gateway.child.wait().unwrap().code(), Some(0));
    }
}

#[test]
fn clients_in_the_accept_queue_at_the_end_of_a_shutdown_are_answered() {
    let mut config = gateway_configuration(unresponsive_server(), &[]);
    config["limits"]["sockets"] = json!(1_000);
    let mut gateway = start_gateway(&config);
    gateway.signal(Signal::TERM);
    gateway.wait_for_log_line("shutdown started");
    gateway.suspend();
    // More connections without a request than one accept batch come first.
    let unused: Vec<Client> = (0..200).map(|_| gateway.client()).collect();
    let mut clients: Vec<Client> = (0..100).map(|_| gateway.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(client_request("lodge", &format!("a{number}"), 9_000));
    }
    // The grace period is over when the gateway is resumed.
    thread::sleep(Duration::from_millis(750));
    gateway.signal(Signal::CONT);
    let unanswered = clients
        .iter_mut()
        .map(Client::receive)
        .filter(|answer| answer != "503 Retry-After: 1.5 Connection: close")
        .count();
    drop(unused);
    assert_eq!(unanswered, 0);
    assert_eq!(gateway.child.wait().unwrap().code(), Some(0));
}
