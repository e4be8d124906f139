//! Clients that close their connection while their requests are still unread: none of these requests is sent on.

use std::io::Write;
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use crate::support::*;

/// Clients that leave while the gateway is held up.
const CLIENT_COUNT: usize = 60;
/// How long the gateway is held up after the last client has left.
const HOLD: Duration = Duration::from_millis(200);
/// The size of a body that fills a long buffer.
const LONG_BODY_BYTES: usize = 60_000;

/// How a client closes its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Close {
    Orderly,
    Reset,
}

/// Writes a request and closes the connection while the gateway is suspended.
fn leave_request(gateway: &Gateway, request: &[u8], close: Close) {
    let mut client = gateway.client();
    // Whatever fits into the socket's buffers; the gateway reads nothing yet.
    client.0.get_mut().set_nonblocking(true).unwrap();
    let _ = client.0.get_mut().write(request);
    if close == Close::Reset {
        let linger = Some(Duration::ZERO);
        SockRef::from(client.0.get_ref())
            .set_linger(linger)
            .unwrap();
    }
}

/// The number of requests that reach an endpoint from clients that left while the gateway was suspended.
fn requests_sent_on(request: impl Fn(usize) -> Vec<u8>, close: Close) -> usize {
    let trace = Trace::default();
    let one = endpoint("one", &trace, &[EndpointBehavior::Succeed]);
    let gateway = start_gateway(&gateway_configuration(
        unresponsive_server(),
        &[endpoint_record("s-1", one, "ready", 41)],
    ));
    gateway.suspend();
    for number in 0..CLIENT_COUNT {
        leave_request(&gateway, &request(number), close);
    }
    thread::sleep(HOLD);
    gateway.signal(Signal::CONT);
    // A request that arrives after the others is answered, so they have been handled.
    let answer = gateway
        .client()
        .request(client_request("lodge", "last", 9000));
    assert!(answer.starts_with("200"), "{answer}");
    let text = trace.text();
    text.matches("POST").count() - 1
}

fn short_request(number: usize) -> Vec<u8> {
    client_request("lodge", &format!("a{number}"), 9000).into_bytes()
}

fn long_request(number: usize) -> Vec<u8> {
    let body = "b".repeat(LONG_BODY_BYTES);
    let short = client_request("lodge", &format!("a{number}"), 9000);
    let head = short.replace(
        "Content-Length: 2",
        &format!("Content-Length: {LONG_BODY_BYTES}"),
    );
    head.replace("{}", &body).into_bytes()
}

/// Two hundred requests behind each other on one connection.
fn pipelined_requests(number: usize) -> Vec<u8> {
    (0..200)
        .flat_map(|index| client_request("lodge", &format!("a{number}-{index}"), 9000).into_bytes())
        .collect()
}

// Guards against requests that are sent on for clients that closed their connection with much still unread.
#[test]
fn requests_of_clients_that_left_before_they_were_read_are_not_sent_on() {
    for close in [Close::Orderly, Close::Reset] {
        assert_eq!(
            requests_sent_on(short_request, close),
            0,
            "short, {close:?}"
        );
        assert_eq!(requests_sent_on(long_request, close), 0, "long, {close:?}");
        assert_eq!(
            requests_sent_on(pipelined_requests, close),
            0,
            "pipelined, {close:?}"
        );
    }
}
