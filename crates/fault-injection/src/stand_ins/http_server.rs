//! An HTTP server on a loopback port that passes each request to a function, and a builder for client requests.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How long a stream waits for a line before it sends a keep-alive line.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// The line that closes a stream.
const CLOSE_LINE: &str = "close";

/// A request that a stand-in received, with the connection for the response.
pub struct ReceivedRequest {
    /// Number of the connection at this server, from 1.
    pub connection: usize,
    /// Number of the request at this server, from 1.
    pub number: usize,
    /// Request line and header fields, including the empty line at the end.
    pub head: String,
    /// Request body; empty without a `Content-Length`.
    pub body: String,
    /// The connection, for the response.
    pub stream: TcpStream,
}

impl ReceivedRequest {
    /// The value of a header field. The name is case-sensitive.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }

    /// Answers with this status and body, and returns whether the write succeeded.
    pub fn respond(&mut self, status: &str, body: &str) -> bool {
        let text = format!(
            "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    /// Sends each received line as a chunk, until a line reads `close` or a write fails. Sends the keep-alive line, if any,
    /// between lines that are far apart. Always returns false, as the connection can't be reused.
    ///
    /// # Panics
    ///
    /// If another thread panicked while it held the lock on `lines`.
    pub fn stream_lines(
        &mut self,
        lines: &Mutex<Receiver<String>>,
        keep_alive: Option<&str>,
    ) -> bool {
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        if self.stream.write_all(head).is_err() {
            return false;
        }
        let lines = lines.lock().expect("no thread panics while it streams");
        loop {
            let line = match (lines.recv_timeout(KEEP_ALIVE_INTERVAL), keep_alive) {
                (Ok(line), _) => line,
                (Err(_), Some(keep_alive)) => keep_alive.to_string(),
                (Err(_), None) => continue,
            };
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            if line == CLOSE_LINE || self.stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
    }
}

/// Reads a message's head, and its body by the `Content-Length`. `None` if the connection ends first or the message isn't
/// UTF-8.
pub fn read_message(reader: &mut impl BufRead) -> Option<(String, String)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some((head, String::from_utf8(body).ok()?))
}

/// Starts a server on a loopback port that handles the requests of each connection in turn. Closes a connection when
/// `handle` returns false. Returns the address.
///
/// # Panics
///
/// If no loopback port is available.
pub fn serve_requests(
    handle: impl Fn(&mut ReceivedRequest) -> bool + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener
        .local_addr()
        .expect("a bound listener has an address");
    let handle = Arc::new(handle);
    let request_count = Arc::new(AtomicUsize::new(0));
    thread::spawn(move || {
        for (index, stream) in listener.incoming().enumerate() {
            let stream = stream.expect("a loopback connection is accepted");
            let handle = handle.clone();
            let request_count = request_count.clone();
            thread::spawn(move || serve_connection(index + 1, &stream, &request_count, &*handle));
        }
    });
    address
}

fn serve_connection(
    connection: usize,
    stream: &TcpStream,
    request_count: &AtomicUsize,
    handle: &impl Fn(&mut ReceivedRequest) -> bool,
) {
    let clone = || stream.try_clone().expect("the stream is cloned");
    let mut reader = BufReader::new(clone());
    while let Some((head, body)) = read_message(&mut reader) {
        let number = request_count.fetch_add(1, Ordering::SeqCst) + 1;
        let mut request = ReceivedRequest {
            connection,
            number,
            head,
            body,
            stream: clone(),
        };
        if !handle(&mut request) {
            break;
        }
    }
}

/// Starts a server that reads requests and never answers.
pub fn unresponsive_server() -> SocketAddr {
    serve_requests(|request| request.stream.read(&mut [0; 1]).is_err())
}

/// Builds a client request of a request class that states this remaining time.
pub fn client_request(class: &str, id: &str, remaining_ms: u32) -> String {
    let (method, rest) = match class {
        "draft" => ("GET", "\r\n".to_string()),
        "payment" => (
            "POST",
            format!("Idempotency-Key: Key-{id}\r\nContent-Length: 2\r\n\r\n{{}}"),
        ),
        _ => ("POST", "Content-Length: 2\r\n\r\n{}".to_string()),
    };
    let head = format!(
        "{method} /api?obj=7F3a9c21e0b4d655&x=%20 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id}\r\n"
    );
    format!("{head}X-Lane: {class}\r\nX-Remaining-Ms: {remaining_ms}\r\n{rest}")
}
