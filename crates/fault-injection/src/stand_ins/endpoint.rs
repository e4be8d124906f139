//! A stand-in for an endpoint that answers request after request as a script says.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use super::http_server::{serve_requests, ReceivedRequest};
use super::Trace;

/// How long a slow answer takes.
const SLOW_ANSWER_DELAY: Duration = Duration::from_millis(400);
/// How long a truncated answer's connection stays before it breaks.
const TRUNCATION_DELAY: Duration = Duration::from_millis(50);
/// How long after the answer its late duplicate comes.
const DUPLICATE_DELAY: Duration = Duration::from_millis(20);
/// Interim answers that are sent where the final one never comes.
const INTERIM_ANSWERS: usize = 2000;
/// A body this long or longer is noted by its length.
const LONG_BODY_BYTES: usize = 20;

/// What an endpoint does with a request.
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
    /// Never answers, and notes whether the gateway closes the connection.
    Unresponsive,
    /// Answers 200 after a delay.
    Slow,
    /// Answers with a status line that can't be parsed.
    Malformed,
    /// Answers without a length and resets the connection in the middle.
    Truncated,
    /// Announces more bytes than it sends, and keeps the connection.
    TooShort,
    /// Answers without a length and never ends.
    Endless,
    /// Sends interim answers only.
    InterimOnly,
    /// Answers 200, with the same answer right behind it.
    Duplicate,
    /// Answers 200, with the same answer a moment later.
    DuplicateLater,
}

/// Starts an endpoint that notes each request and goes through these behaviors, request by request; the last one stays.
pub fn endpoint(
    name: &'static str,
    trace: &Trace,
    behaviors: &'static [EndpointBehavior],
) -> SocketAddr {
    let trace = trace.clone();
    serve_requests(move |request| {
        let id = request.field("X-Txn").unwrap_or("none").to_string();
        trace.note(request_line(name, &id, request));
        let step = (request.number - 1).min(behaviors.len() - 1);
        let success_body = format!("{name} settled {id}");
        match behaviors[step] {
            EndpointBehavior::Unresponsive => {
                let read = request.stream.read(&mut [0; 1]);
                let is_closed = read.unwrap_or(0) == 0;
                trace.note(format!(
                    "{name}.{}: connection closed: {is_closed}",
                    request.connection
                ));
                false
            }
            behavior => respond(request, behavior, &success_body),
        }
    })
}

fn request_line(name: &str, id: &str, request: &ReceivedRequest) -> String {
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

/// Answers as the behavior says; returns whether the connection stays.
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
            // Without a length, an answer goes on to the end of its connection, which here breaks.
            let is_written = write(request, "HTTP/1.0 200 OK\r\n\r\nhalf of it");
            assert!(is_written, "the connection takes half an answer");
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
            let text = success_text(success_body);
            write(request, &text.repeat(2))
        }
        EndpointBehavior::DuplicateLater => {
            let text = success_text(success_body);
            let is_first_written = write(request, &text);
            thread::sleep(DUPLICATE_DELAY);
            is_first_written && write(request, &text)
        }
    }
}

fn success_text(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn write(request: &mut ReceivedRequest, text: &str) -> bool {
    request.stream.write_all(text.as_bytes()).is_ok()
}

/// Makes the connection's close a reset.
fn reset_on_close(stream: &TcpStream) {
    SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .expect("a socket takes a linger time of zero");
}
