//! Scripted stand-ins, a thread for each connection: for tests that need few parties and every byte in hand.
//! What goes wrong in a stand-in itself ends the test.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use socket2::SockRef;

/// How long anything is waited for.
pub const BOUND: Duration = Duration::from_secs(20);

#[derive(Clone, Default)]
pub struct Trace(pub Arc<Mutex<Vec<String>>>);

impl Trace {
    pub fn note(&self, line: impl Into<String>) {
        self.0.lock().unwrap().push(line.into());
    }

    pub fn count(&self, start: &str) -> usize {
        self.0
            .lock()
            .unwrap()
            .iter()
            .filter(|l| l.starts_with(start))
            .count()
    }

    pub fn wait(&self, start: &str, count: usize) {
        let from = Instant::now();
        while self.count(start) < count {
            assert!(
                from.elapsed() < BOUND,
                "no {count} lines {start:?} in {:#?}",
                self.0.lock().unwrap()
            );
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// All lines noted so far.
    pub fn text(&self) -> String {
        self.0.lock().unwrap().join("\n") + "\n"
    }
}

pub struct Request {
    pub connection: usize,
    pub number: usize,
    pub head: String,
    pub body: String,
    pub stream: TcpStream,
}

impl Request {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .find_map(|l| l.strip_prefix(name)?.strip_prefix(": "))
    }

    pub fn answer(&mut self, status: &str, body: &str) -> bool {
        let text = format!(
            "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    /// Says each line that comes, until one says `close`, and this sign of life, if any, while none does.
    pub fn stream(&mut self, lines: &Mutex<Receiver<String>>, sign: Option<&str>) -> bool {
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        if self.stream.write_all(head).is_err() {
            return false;
        }
        let lines = lines.lock().unwrap();
        loop {
            let line = match (lines.recv_timeout(Duration::from_millis(500)), sign) {
                (Ok(line), _) => line,
                (Err(_), Some(sign)) => sign.to_string(),
                (Err(_), None) => continue,
            };
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            if line == "close" || self.stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
    }
}

/// A message's head and body, by its length.
pub fn message(reader: &mut impl BufRead) -> Option<(String, String)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("Content-Length: ")?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some((head, String::from_utf8(body).ok()?))
}

/// Listens, and handles each request in turn on each connection; one that is not kept is closed.
pub fn stand_in(handle: impl Fn(&mut Request) -> bool + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (handle, numbers) = (Arc::new(handle), Arc::new(AtomicUsize::new(0)));
    thread::spawn(move || {
        for (at, stream) in listener.incoming().enumerate() {
            let (handle, numbers, stream) = (handle.clone(), numbers.clone(), stream.unwrap());
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some((head, body)) = message(&mut reader) {
                    let number = numbers.fetch_add(1, Ordering::SeqCst) + 1;
                    let stream = stream.try_clone().unwrap();
                    let mut request = Request {
                        connection: at + 1,
                        number,
                        head,
                        body,
                        stream,
                    };
                    if !handle(&mut request) {
                        break;
                    }
                }
            });
        }
    });
    address
}

#[derive(Clone, Copy)]
pub enum Way {
    Settle,
    Fail,
    TurnAway,
    Reset,
    Silence,
    Slowly,
    Unreadable,
    CutOff,
    /// Says it is longer than it is, and the connection stays.
    TooShort,
    Endless,
    ForEverToCome,
    /// Good, and there again right behind itself.
    Twice,
    /// Good, and there again a moment later.
    TwiceLater,
}

/// A server that goes through its ways, request by request, and stays with the last.
pub fn server(name: &'static str, trace: &Trace, ways: &'static [Way]) -> SocketAddr {
    let trace = trace.clone();
    stand_in(move |request| {
        let txn = request.field("X-Txn").unwrap_or("none").to_string();
        let line = request
            .head
            .lines()
            .next()
            .unwrap_or("")
            .replace(" HTTP/1.1", "");
        let reference = request
            .field("Idempotency-Key")
            .map_or(String::new(), |k| format!(" reference {k}"));
        let body = if request.body.len() < 20 {
            request.body.clone()
        } else {
            request.body.len().to_string()
        };
        trace.note(format!(
            "{name}.{}: {line} txn {txn}{reference} {body:?}",
            request.connection
        ));
        match ways[(request.number - 1).min(ways.len() - 1)] {
            Way::Settle => request.answer("200 OK", &format!("{name} settled {txn}")),
            Way::Fail => request.answer("500 No", ""),
            Way::TurnAway => request.answer("503 No\r\nX-Turned-Away: 1", ""),
            Way::Reset => {
                SockRef::from(&request.stream)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
                false
            }
            Way::Silence => {
                let ended = request.stream.read(&mut [0; 1]);
                trace.note(format!(
                    "{name}.{}: given up on {}",
                    request.connection,
                    ended.unwrap_or(0) == 0
                ));
                false
            }
            Way::Slowly => {
                thread::sleep(Duration::from_millis(400));
                request.answer("200 OK", &format!("{name} settled {txn}"))
            }
            Way::CutOff => {
                // Without a length, an answer goes on to the end of its connection, which here breaks.
                request
                    .stream
                    .write_all(b"HTTP/1.0 200 OK\r\n\r\nhalf of it")
                    .unwrap();
                thread::sleep(Duration::from_millis(50));
                SockRef::from(&request.stream)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
                false
            }
            Way::TooShort => request
                .stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nshort")
                .is_ok(),
            Way::Endless => request
                .stream
                .write_all(b"HTTP/1.1 200 OK\r\n\r\nno end to it")
                .is_ok(),
            Way::ForEverToCome => request
                .stream
                .write_all("HTTP/1.1 103 Wait\r\n\r\n".repeat(2000).as_bytes())
                .is_ok(),
            Way::Twice | Way::TwiceLater => {
                let body = format!("{name} settled {txn}");
                let text = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if let Way::Twice = ways[0] {
                    return request.stream.write_all(text.repeat(2).as_bytes()).is_ok();
                }
                let first = request.stream.write_all(text.as_bytes()).is_ok();
                thread::sleep(Duration::from_millis(20));
                first && request.stream.write_all(text.as_bytes()).is_ok()
            }
            Way::Unreadable => request.stream.write_all(b"HTTP/1.1 banana\r\n\r\n").is_ok(),
        }
    })
}

pub fn settings() -> Value {
    json!({
        "az": "h", "azs": ["h"], "balancers": 1, "ordinal": 0, "tick": 5000,
        "classes": [
            {"name": "draft", "aim": 3000000, "give_up": 9000000, "idempotency": "safe", "worth": 1.0},
            {"name": "payment", "aim": 3000000, "give_up": 9000000, "idempotency": "keyed", "group": "all",
             "memory_span": 9000000, "worth": 5.0},
            {"name": "lodge", "aim": 3000000, "give_up": 9000000, "idempotency": "unsafe", "worth": 5.0}],
        "family_info": {"exposure_caps": [1.0, 1.0], "steps": [0.5, 1.0], "counted_over": 2000000,
            "spare_tries": 1.0, "vote_life": 4000000, "vote_wait": 400000, "api_rate": 600.0,
            "decided_by": "majority"},
        "limits": {"max_attempts": 3, "cancel": true, "may_tell": true, "retry_after": true,
            "max_retry_after": 1500000, "connect_timeout": 1000000, "conn_idle": 5000000},
        "safety": {"cold_from": 0.5, "ramp_time": 1000000, "fall": 1000000, "fall_multiple": 4.0}})
}

pub fn member(id: &str, address: SocketAddr, phase: &str, build: u32) -> Value {
    json!({"id": id, "host_port": address, "locality": "h", "flavor": "m", "cell": 0, "phase": phase,
        "size": 1.0, "up_since_ms": 0, "revision_no": build})
}

pub fn list(revision: u32, complete: bool, members: &[Value]) -> Value {
    json!({"revision": revision, "complete": complete, "members": members})
}

pub fn news(build: u32, stage: usize, progress: &str) -> Value {
    json!({"image": build, "ring": stage, "progress": progress, "ceiling": 1.0, "lag_ms": 60000})
}

/// Discovery that notes what is asked of it and says what it is given.
pub fn discovery(trace: &Trace) -> (SocketAddr, Sender<String>) {
    let ((say, lines), trace) = (channel(), trace.clone());
    let lines = Mutex::new(lines);
    let address = stand_in(move |request| {
        trace.note(format!(
            "discovery: {}",
            request.head.lines().next().unwrap_or("")
        ));
        if request.head.starts_with("GET /v1/endpoints HTTP") {
            let whole = list(60, true, &[]).to_string();
            return request.answer("200 OK", &whole);
        }
        if request.head.contains("index=0 ") {
            return request.answer("410 Gone", "");
        }
        request.stream(&lines, Some(""))
    });
    (address, say)
}

pub fn silent() -> SocketAddr {
    stand_in(|request| request.stream.read(&mut [0; 1]).is_err())
}

/// A request as a client writes it.
pub fn txn(class: &str, id: &str, left: u32) -> String {
    let (method, more) = match class {
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
    format!("{head}X-Lane: {class}\r\nX-Remaining-Ms: {left}\r\n{more}")
}
