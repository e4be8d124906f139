//! Writes messages to a buffer.

use std::fmt::Display;
use std::io::Write;

fn reason_phrase(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// Writes the first line of a request.
pub fn request_line(out: &mut Vec<u8>, method: &str, target: &str) {
    for part in [method, " ", target, " HTTP/1.1\r\n"] {
        out.extend_from_slice(part.as_bytes());
    }
}

/// Writes the first line of a response.
pub fn status_line(out: &mut Vec<u8>, status: u16) {
    line(
        out,
        format_args!("HTTP/1.1 {status} {}", reason_phrase(status)),
    );
}

/// Writes a header field as `name: value`.
pub fn field(out: &mut Vec<u8>, name: &str, value: impl Display) {
    line(out, format_args!("{name}: {value}"));
}

fn line(out: &mut Vec<u8>, line: std::fmt::Arguments<'_>) {
    // Writing to a vector cannot fail.
    let _ = out.write_fmt(line);
    out.extend_from_slice(b"\r\n");
}

/// Completes the head with `Content-Length`, and writes the body.
pub fn body(out: &mut Vec<u8>, body: &[u8]) {
    field(out, "Content-Length", body.len());
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}

/// Completes the head of a message without a body.
pub fn end_of_head(out: &mut Vec<u8>) {
    out.extend_from_slice(b"\r\n");
}

/// Writes `100 Continue`, after which the client sends the body.
pub fn continue_response(out: &mut Vec<u8>) {
    status_line(out, 100);
    end_of_head(out);
}
