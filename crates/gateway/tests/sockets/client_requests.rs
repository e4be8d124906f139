//! Valid, malformed and incomplete client requests.

use std::io::{BufRead, Write};
use std::thread;
use std::time::Duration;

use expect_test::expect;

use crate::support::*;

/// Requests that are rejected or close their connection.
fn malformed_requests(good: &str) -> Vec<String> {
    vec![
        "garbage\r\n\r\n".to_string(),
        "GET /api HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n".into(),
        format!("GET /{} HTTP/1.1\r\n", "x".repeat(20_000)),
        format!(
            "POST /api HTTP/1.1\r\nContent-Length: 70000\r\n\r\n{}",
            "x".repeat(70_000)
        ),
        "GET /elsewhere HTTP/1.1\r\n\r\n".into(),
        "DELETE /api HTTP/1.1\r\n\r\n".into(),
        "GET http://app.svc/ready HTTP/1.1\r\n\r\n".into(),
        good.replace("X-Txn", "X-Other"),
        good.replace("X-Txn: aa", "X-Txn: aa\r\nX-Txn: ab"),
        good.replace("X-Txn: aa", "X-Txn: a a"),
        good.replace("draft", "banana"),
        good.replace("9000", "soon"),
        good.replace("9000", "-1"),
        good.replace("9000", "+900"),
        good.repeat(300),
        client_request("lodge", "ab", 9000).replace("Length: 2", "Length: 1"),
        good.replace("HTTP/1.1", "HTTP/1.0"),
    ]
}

#[test]
fn malformed_requests_are_rejected_and_do_not_affect_the_next_one() {
    let trace = Trace::default();
    let one = endpoint("one", &trace, &[EndpointBehavior::Succeed]);
    let gateway = start_gateway(&gateway_configuration(
        unresponsive_server(),
        &[endpoint_record("s-1", one, "ready", 41)],
    ));
    let good = client_request("draft", "aa", 9000);
    for row in malformed_requests(&good) {
        let mut client = gateway.client();
        let (answer, next) = (client.request(&row), client.request(&good));
        let row = row
            .replace("\r\n", " ")
            .chars()
            .take(60)
            .collect::<String>();
        trace.record(format!("{row}: {answer}, then {next}"));
    }
    // Clients that send nothing or half a request, or never read, do not block others.
    let mut idle = [gateway.client(), gateway.client(), gateway.client()];
    idle[1].send("GET /api HTT");
    idle[2].send(good.repeat(200));
    trace.record(format!(
        "with idle clients connected: {}",
        gateway.client().request(&good)
    ));
    trace.0.lock().unwrap().retain(|l| !l.starts_with("one."));
    assert_trace(
        &trace,
        expect![[r#"
        garbage  : 400 Connection: close, then closed
        GET /api HTTP/1.1 Content-Length: 1 Transfer-Encoding: chunk: 400 Connection: close, then closed
        GET /xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx: 431 Connection: close, then closed
        POST /api HTTP/1.1 Content-Length: 70000  xxxxxxxxxxxxxxxxxx: 413 Connection: close, then closed
        GET /elsewhere HTTP/1.1  : 404, then 200 one settled aa
        DELETE /api HTTP/1.1  : 405, then 200 one settled aa
        GET http://app.svc/ready HTTP/1.1  : 200, then 200 one settled aa
        GET /api?obj=7F3a9c21e0b4d655&x=%20 HTTP/1.1 Host: app.svc X: 400 X-Txn: missing or wrong, then 200 one settled aa
        GET /api?obj=7F3a9c21e0b4d655&x=%20 HTTP/1.1 Host: app.svc X: 400 X-Txn: missing or wrong, then 200 one settled aa
        GET /api?obj=7F3a9c21e0b4d655&x=%20 HTTP/1.1 Host: app.svc X: 400 X-Txn: missing or wrong, then 200 one settled aa
        GET /api?obj=7F3a9c21e0b4d655&x=%20 HTTP/1.1 Host: app.svc X: 400 X-Lane: missing or wrong, then 200 one settled aa
        GET /api?obj=7F3a9c21e0b4d655&x=%20 HTTP/1.1 Host: app.svc X: 400 X-Remaining-Ms: missing or wrong, then 200 one settled aa
        GET /api?obj=7F3a9c21e0b4d655&x=%20 HTTP/1.1 Host: app.svc X: 400 X-Remaining-Ms: missing or wrong, then 200 one settled aa
        GET /api?obj=7F3a9c21e0b4d655&x=%20 HTTP/1.1 Host: app.svc X: 400 X-Remaining-Ms: missing or wrong, then 200 one settled aa
        GET /api?obj=7F3a9c21e0b4d655&x=%20 HTTP/1.1 Host: app.svc X: 400 Connection: close, then closed
        POST /api?obj=7F3a9c21e0b4d655&x=%20 HTTP/1.1 Host: app.svc : 400 Connection: close, then closed
        GET /api?obj=7F3a9c21e0b4d655&x=%20 HTTP/1.0 Host: app.svc X: 200 Connection: close one settled aa, then closed
        with idle clients connected: 200 one settled aa
    "#]],
    );
}

#[test]
fn a_request_id_in_use_is_rejected_and_surplus_bytes_close_the_connection() {
    let trace = Trace::default();
    let one = endpoint("one", &trace, &[EndpointBehavior::Slow]);
    let gateway = start_gateway(&gateway_configuration(
        unresponsive_server(),
        &[endpoint_record("s-1", one, "ready", 41)],
    ));
    let [mut first, mut second] = [gateway.client(), gateway.client()];
    first.send(client_request("lodge", "aa", 9000));
    trace.wait_for("one.1: POST", 1);
    let answers = [
        second.request(client_request("payment", "aa", 9000)),
        second.request("GET /ready HTTP/1.1\r\n\r\n"),
    ];
    answers
        .into_iter()
        .for_each(|a| trace.record(format!("second: {a}")));
    first.send(client_request("lodge", "ab", 9000));
    trace.record(format!(
        "first: {}, then {}",
        first.receive(),
        first.receive()
    ));
    wait_for_connection_reuse();
    // The id of a request that has run stays rejected, and the connection serves the next id.
    for id in ["aa", "ac"] {
        trace.record(format!(
            "second: {}",
            second.request(client_request("lodge", id, 9000))
        ));
    }
    assert_trace(
        &trace,
        expect![[r#"
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 request aa "{}"
        second: 409
        second: 200
        first: 200 Connection: close one settled aa, then closed
        second: 409
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 request ac "{}"
        second: 200 one settled ac
    "#]],
    );
}

#[test]
fn an_error_reaches_a_client_that_keeps_sending_at_full_speed() {
    let gateway = start_gateway(&gateway_configuration(unresponsive_server(), &[]));
    let mut client = gateway.client();
    client.send(client_request("lodge", "aa", 9000).replace("Length: 2", "Length: 60000000"));
    (0..200).for_each(|_| client.send([b'x'; 40_000]));
    assert_eq!(client.receive(), "413 Connection: close");
}

#[test]
fn clients_without_a_complete_request_time_out_and_others_stay_connected() {
    let gateway = start_gateway(&gateway_configuration(unresponsive_server(), &[]));
    let [mut kept, mut unused, mut half, mut slow] = [0; 4].map(|_| gateway.client());
    assert_eq!(kept.request("GET /ready HTTP/1.1\r\n\r\n"), "503");
    half.send("POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc");
    // A client that sends slowly gets no more time than others.
    let slow_sender = thread::spawn(move || {
        while slow
            .0
            .get_mut()
            .write_all(b"GET /api HTTP/1.1\r\nX-More: 1\r\n")
            .is_ok()
        {
            thread::sleep(Duration::from_millis(300));
            if slow
                .0
                .get_mut()
                .set_read_timeout(Some(Duration::from_millis(1)))
                .is_ok()
                && slow.0.fill_buf().is_ok()
            {
                break;
            }
        }
        slow.receive()
    });
    let answers = [
        unused.receive(),
        half.receive(),
        slow_sender.join().unwrap(),
        kept.request("GET /ready HTTP/1.1\r\n\r\n"),
    ];
    assert_eq!(
        answers,
        [
            "closed",
            "408 Connection: close",
            "408 Connection: close",
            "503"
        ]
    );
}

#[test]
fn a_disconnection_is_detected_after_surplus_bytes_of_a_request_in_progress() {
    let trace = Trace::default();
    let one = endpoint("one", &trace, &[EndpointBehavior::Unresponsive]);
    let gateway = start_gateway(&gateway_configuration(
        unresponsive_server(),
        &[endpoint_record("s-1", one, "ready", 41)],
    ));
    let mut client = gateway.client();
    client.send(client_request("lodge", "aa", 60_000));
    trace.wait_for("one.1: POST", 1);
    // Larger than any buffer of the gateway.
    client.send(vec![b'x'; 200_000]);
    drop(client);
    trace.wait_for("one.1: connection closed: true", 1);
    assert_eq!(
        gateway.shut_down_and_read_counts(&["received", "client-disconnected", "cancelled"]),
        "received=1 client-disconnected=1 cancelled=1"
    );
}
