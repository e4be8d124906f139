//! Writes heads, and answers of our own, onto a buffer.

use std::fmt::Display;
use std::io::Write;

fn reason(status: u16) -> &'static str {
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

pub fn request_line(out: &mut Vec<u8>, method: &str, target: &str) {
    for part in [method, " ", target, " HTTP/1.1\r\n"] {
        out.extend_from_slice(part.as_bytes());
    }
}

pub fn status_line(out: &mut Vec<u8>, status: u16) {
    field_line(out, format_args!("HTTP/1.1 {status} {}", reason(status)));
}

pub fn field(out: &mut Vec<u8>, name: &str, value: impl Display) {
    field_line(out, format_args!("{name}: {value}"));
}

fn field_line(out: &mut Vec<u8>, line: std::fmt::Arguments) {
    // Writing onto a vector cannot fail.
    let _ = out.write_fmt(line);
    out.extend_from_slice(b"\r\n");
}

/// Ends the head with the body's length, and writes the body.
pub fn body(out: &mut Vec<u8>, body: &[u8]) {
    field(out, "Content-Length", body.len());
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}

/// Ends a head without a body.
pub fn end(out: &mut Vec<u8>) {
    out.extend_from_slice(b"\r\n");
}

/// The word that lets the other side go on with its body.
pub fn go_on(out: &mut Vec<u8>) {
    status_line(out, 100);
    end(out);
}
