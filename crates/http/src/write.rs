//! Writes messages to a buffer.

use std::fmt::Display;
use std::io::Write;

/// Room for the first line and the fields of a head, in addition to its target and to long field values.
pub const MAX_FIELDS_BYTES: usize = 512;

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
    end_of_head_before_body(out, body.len());
    out.extend_from_slice(body);
}

/// Completes the head of a message with `Content-Length`. A body of this length must follow.
pub fn end_of_head_before_body(out: &mut Vec<u8>, body_bytes: usize) {
    field(out, "Content-Length", body_bytes);
    end_of_head(out);
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
