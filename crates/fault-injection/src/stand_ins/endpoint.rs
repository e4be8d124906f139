//! A stand-in for an endpoint that responds to each request with the next behavior of a script.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use super::http_server::{serve_requests, ReceivedRequest};
use super::Trace;

/// Delay of a slow answer.
const SLOW_ANSWER_DELAY: Duration = Duration::from_millis(400);
/// How long the connection of a truncated answer stays open before the reset.
const TRUNCATION_DELAY: Duration = Duration::from_millis(50);
/// Delay between an answer and its late duplicate.
const DUPLICATE_DELAY: Duration = Duration::from_millis(20);
/// Number of interim answers sent without a final answer.
const INTERIM_ANSWERS: usize = 2000;
/// The trace shows only the length of a body of this size or larger.
const LONG_BODY_BYTES: usize = 20;

/// How an endpoint responds to a request.
#[derive(Clone, Copy)]
pub enum EndpointBehavior {
    /// Answers 200.
    Succeed,
    /// Answers 500.
    Fail,
    /// Answers 503, with the promise that the request had no effect.
    Reject,
    /// Resets the connection.
    Reset,
    /// Never answers, and records whether the gateway closes the connection.
    Unresponsive,
    /// Answers 200 after a delay.
    Slow,
    /// Answers with a status line that can't be parsed.
    Malformed,
    /// Answers without a length and resets the connection before the answer is complete.
    Truncated,
    /// Announces more bytes than it sends, and keeps the connection open.
    TooShort,
    /// Answers without a length and never ends the answer.
    Endless,
    /// Sends interim answers only.
    InterimOnly,
    /// Answers 200 and sends the same answer again immediately.
    Duplicate,
    /// Answers 200 and sends the same answer again after a short delay.
    DuplicateLater,
}

/// Starts an endpoint that records each request and uses these behaviors in turn. The last behavior applies to all further
/// requests.
pub fn endpoint(
    name: &'static str,
    trace: &Trace,
    behaviors: &'static [EndpointBehavior],
) -> SocketAddr {
    let trace = trace.clone();
    serve_requests(move |request| {
        let id = request.field("X-Txn").unwrap_or("none").to_string();
        trace.record(describe_request(name, &id, request));
        let index = (request.number - 1).min(behaviors.len() - 1);
        let success_body = format!("{name} settled {id}");
        match behaviors[index] {
            EndpointBehavior::Unresponsive => {
                let read = request.stream.read(&mut [0; 1]);
                let is_closed = read.unwrap_or(0) == 0;
                trace.record(format!(
                    "{name}.{}: connection closed: {is_closed}",
                    request.connection
                ));
                false
            }
            behavior => respond(request, behavior, &success_body),
        }
    })
}

fn describe_request(name: &str, id: &str, request: &ReceivedRequest) -> String {
    let line = request
        .head
        .lines()
        .next()
        .unwrap_or("")
        .replace(" HTTP/1.1", "");
    let idempotency_key = request
        .field("Idempotency-Key")
        .map_or(String::new(), |key| format!(" idempotency key {key}"));
    let body = if request.body.len() < LONG_BODY_BYTES {
        request.body.clone()
    } else {
        request.body.len().to_string()
    };
    format!(
        "{name}.{}: {line} request {id}{idempotency_key} {body:?}",
        request.connection
    )
}

/// Responds with this behavior, and returns whether the connection stays open.
fn respond(request: &mut ReceivedRequest, behavior: EndpointBehavior, success_body: &str) -> bool {
    match behavior {
        EndpointBehavior::Succeed => request.respond("200 OK", success_body),
        EndpointBehavior::Fail => request.respond("500 No", ""),
        EndpointBehavior::Reject => request.respond("503 No\r\nX-Turned-Away: 1", ""),
        EndpointBehavior::Reset => {
            reset_on_close(&request.stream);
            false
        }
        EndpointBehavior::Unresponsive => false,
        EndpointBehavior::Slow => {
            thread::sleep(SLOW_ANSWER_DELAY);
            request.respond("200 OK", success_body)
        }
        EndpointBehavior::Malformed => write(request, "HTTP/1.1 banana\r\n\r\n"),
        EndpointBehavior::Truncated => {
            // An answer without a length ends with its connection, which is reset here.
            let is_written = write(request, "HTTP/1.0 200 OK\r\n\r\nhalf of it");
            assert!(is_written, "half of the answer is written");
            thread::sleep(TRUNCATION_DELAY);
            reset_on_close(&request.stream);
            false
        }
        EndpointBehavior::TooShort => write(
            request,
            "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nshort",
        ),
        EndpointBehavior::Endless => write(request, "HTTP/1.1 200 OK\r\n\r\nno end to it"),
        EndpointBehavior::InterimOnly => write(
            request,
            &"HTTP/1.1 103 Wait\r\n\r\n".repeat(INTERIM_ANSWERS),
        ),
        EndpointBehavior::Duplicate => {
            let text = encode_success(success_body);
            write(request, &text.repeat(2))
        }
        EndpointBehavior::DuplicateLater => {
            let text = encode_success(success_body);
            let is_first_written = write(request, &text);
            thread::sleep(DUPLICATE_DELAY);
            is_first_written && write(request, &text)
        }
    }
}

fn encode_success(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn write(request: &mut ReceivedRequest, text: &str) -> bool {
    request.stream.write_all(text.as_bytes()).is_ok()
}

/// Makes the close of the connection a reset.
fn reset_on_close(stream: &TcpStream) {
    SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .expect("the linger time is set to zero");
}
