//! Clients that send a part of a request and close, or stop: they take neither answers nor time from the other clients.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::support::*;

/// How long a case lasts.
const CASE_TIME: Duration = Duration::from_millis(1_500);
const USUAL_CLIENTS: usize = 8;
/// The time that a usual client states in each request.
const TIME_LEFT: Duration = Duration::from_millis(900);
/// A later answer counts as lost.
const LATE_ANSWER_SLACK: Duration = Duration::from_millis(550);
/// How much more than the time left an attempt may state: 0.15 s, and 50 ms on sockets.
const STATED_TIME_SLACK: Duration = Duration::from_millis(200);
/// How often clients that hold partial requests are looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
const SHORT_BODY_BYTES: usize = 200;
/// Longer than a short buffer.
const LONG_BODY_BYTES: usize = 10_000;

const HALF_HEAD: &str = "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Txn: b\r\n";

/// Refused at once. The client keeps its connection.
const GARBAGE: &str = "\0garbage\r\n\r\n";

/// A request of 60,000 bytes of body, without the end.
fn half_long_body() -> String {
    let head = format!("{HALF_HEAD}Content-Length: 60000\r\n\r\n");
    head + &"b".repeat(30_000)
}

/// A request with a short body, without the end.
fn half_short_body() -> String {
    format!("{HALF_HEAD}Content-Length: 400\r\n\r\nhalf")
}

/// What is loaded with how many partial requests.
struct Case {
    memory_mb: usize,
    sockets: usize,
    partial_requests: usize,
    texts: Vec<String>,
    hold: Duration,
    usual_body_bytes: usize,
    /// Whether usual clients send each request on a new connection.
    reconnects: bool,
}

/// Sends partial requests over and over on this many connections, each of which is closed after `hold`.
fn hold_partial_requests(address: SocketAddr, case: &Case, is_over: &AtomicBool) {
    let open = |index: usize| {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_nonblocking(true).unwrap();
        // Only as much as the socket takes at once.
        let _ = stream.write(case.texts[index % case.texts.len()].as_bytes());
        (stream, Instant::now())
    };
    let mut held: Vec<(TcpStream, Instant)> = (0..case.partial_requests).map(open).collect();
    while !is_over.load(Ordering::SeqCst) {
        for (index, connection) in held.iter_mut().enumerate() {
            if connection.1.elapsed() >= case.hold {
                *connection = open(index);
            }
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// A request of a usual client, and when its time is up.
struct SentRequest {
    id: String,
    until: Instant,
}

type SentRequests = Arc<Mutex<Vec<SentRequest>>>;

/// What became of the requests of usual clients.
#[derive(Default)]
struct Outcomes {
    succeeded: usize,
    rejected: usize,
    /// The requests without an answer in time.
    lost: Vec<String>,
}

impl Outcomes {
    fn record(&mut self, id: &str, answer: Option<String>, until: Instant) {
        match answer.as_deref() {
            Some(answer) if Instant::now() <= until + LATE_ANSWER_SLACK => {
                let is_success = answer.starts_with("200");
                assert!(is_success || answer.starts_with("503"), "{answer}");
                self.succeeded += usize::from(is_success);
                self.rejected += usize::from(!is_success);
            }
            other => self.lost.push(format!("{id}: {other:?}")),
        }
    }

    fn add(mut self, other: Outcomes) -> Outcomes {
        self.succeeded += other.succeeded;
        self.rejected += other.rejected;
        self.lost.extend(other.lost);
        self
    }
}

/// Sends requests on one connection until the case is over. A request whose connection was closed is sent once more on a new
/// one.
fn send_usual_requests(
    address: SocketAddr,
    index: usize,
    case: &Case,
    sent: &SentRequests,
    is_over: &AtomicBool,
) -> Outcomes {
    let connect = || Client::new(TcpStream::connect(address).unwrap());
    let mut client = connect();
    let mut outcomes = Outcomes::default();
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            break;
        }
        let id = format!("c{index}-{number}");
        let until = Instant::now() + TIME_LEFT;
        sent.lock().unwrap().push(SentRequest {
            id: id.clone(),
            until,
        });
        let answer = (0..2)
            .map(|_| {
                let left = until.saturating_duration_since(Instant::now());
                let request = post_request(&id, left, case.usual_body_bytes);
                let timeout = left + LATE_ANSWER_SLACK;
                client.0.get_ref().set_read_timeout(Some(timeout)).unwrap();
                let written = client.0.get_mut().write_all(request.as_bytes());
                let answer = written.map_or("closed".to_string(), |()| client.receive());
                if answer == "closed" || answer.contains("close") {
                    client = connect();
                }
                answer
            })
            .find(|answer| answer != "closed");
        outcomes.record(&id, answer, until);
        if case.reconnects {
            client = connect();
        }
        thread::sleep(Duration::from_millis(20));
    }
    outcomes
}

fn post_request(id: &str, time_left: Duration, body_bytes: usize) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id}\r\nX-Lane: lodge\r\nX-Remaining-Ms: {}\r\n\
         Content-Length: {body_bytes}\r\n\r\n{}",
        time_left.as_millis(),
        "x".repeat(body_bytes)
    )
}

/// Starts an endpoint that records attempts which state more time than their client has left.
fn start_endpoint(sent: &SentRequests, overstated: &Arc<Mutex<Vec<String>>>) -> SocketAddr {
    let (sent, overstated) = (sent.clone(), overstated.clone());
    serve_requests(move |request| {
        let now = Instant::now();
        let id = request.field("X-Txn").unwrap().to_string();
        let stated_ms = request.field("X-Remaining-Ms").unwrap().parse().unwrap();
        let stated = Duration::from_millis(stated_ms);
        let sent = sent.lock().unwrap();
        let until = sent.iter().rfind(|sent| sent.id == id).unwrap().until;
        drop(sent);
        if now + stated > until + STATED_TIME_SLACK {
            let left = until.saturating_duration_since(now);
            let line = format!("{id} states {stated:?} with {left:?} left");
            overstated.lock().unwrap().push(line);
        }
        thread::sleep(Duration::from_millis(20));
        request.respond("200 OK", &id)
    })
}

/// Plays a case, and checks that each usual request is answered in time, most of them with success, and that no attempt
/// overstates its time.
fn check(case: &Case) {
    let sent = SentRequests::default();
    let overstated = Arc::new(Mutex::new(Vec::new()));
    let endpoints: Vec<_> = (1..=4)
        .map(|number| {
            let address = start_endpoint(&sent, &overstated);
            endpoint_record(&format!("s-{number}"), address, "ready", 41)
        })
        .collect();
    let mut config = gateway_configuration(unresponsive_server(), &endpoints);
    config["limits"] = json!({"memory_mb": case.memory_mb, "sockets": case.sockets});
    let gateway = start_gateway(&config);
    let address = gateway.address;
    let is_over = AtomicBool::new(false);
    let outcomes = thread::scope(|scope| {
        let usual: Vec<_> = (0..USUAL_CLIENTS)
            .map(|index| {
                let (sent, is_over) = (&sent, &is_over);
                scope.spawn(move || send_usual_requests(address, index, case, sent, is_over))
            })
            .collect();
        scope.spawn(|| hold_partial_requests(address, case, &is_over));
        thread::sleep(CASE_TIME);
        is_over.store(true, Ordering::SeqCst);
        let outcomes = usual.into_iter().map(|usual| usual.join().unwrap());
        outcomes.fold(Outcomes::default(), Outcomes::add)
    });
    let overstated = overstated.lock().unwrap();
    let Outcomes {
        succeeded,
        rejected,
        lost,
    } = outcomes;
    assert!(lost.is_empty(), "not answered: {lost:?}");
    assert!(
        succeeded > rejected,
        "{succeeded} succeeded, {rejected} rejected"
    );
    assert!(overstated.is_empty(), "{overstated:?}");
}

// Partial requests took every buffer, and whole requests waited unread for as long as new ones came.
#[test]
fn clients_that_hold_part_of_a_request_and_close_take_no_buffers_from_others() {
    for hold_ms in [50, 200, 450] {
        check(&Case {
            memory_mb: 32,
            sockets: 256,
            partial_requests: 200,
            texts: vec![half_short_body(), HALF_HEAD.into()],
            hold: Duration::from_millis(hold_ms),
            usual_body_bytes: SHORT_BODY_BYTES,
            reconnects: false,
        });
    }
}

// The same with requests that need a longer buffer, of which fewer exist than clients that hold one.
#[test]
fn clients_that_hold_part_of_a_long_request_and_close_take_no_buffers_from_others() {
    for hold_ms in [50, 450] {
        check(&Case {
            memory_mb: 16,
            sockets: 256,
            partial_requests: 200,
            texts: vec![half_long_body(), half_short_body()],
            hold: Duration::from_millis(hold_ms),
            usual_body_bytes: LONG_BODY_BYTES,
            reconnects: false,
        });
    }
}

// Refused and partial requests kept every descriptor until they had stalled for the connect timeout, and new connections were
// closed before them.
#[test]
fn clients_that_hold_part_of_a_request_and_close_take_no_descriptors_from_others() {
    check(&Case {
        memory_mb: 64,
        sockets: 100,
        partial_requests: 400,
        texts: vec![half_short_body(), HALF_HEAD.into(), GARBAGE.into()],
        hold: Duration::from_millis(450),
        usual_body_bytes: SHORT_BODY_BYTES,
        reconnects: true,
    });
}

#[test]
fn the_oldest_part_of_a_long_request_is_refused_when_a_newer_one_needs_its_buffer() {
    let mut config = gateway_configuration(unresponsive_server(), &[]);
    config["limits"] = json!({"memory_mb": 8, "sockets": 100});
    let gateway = start_gateway(&config);
    let head = "POST /api HTTP/1.1\r\nContent-Length: 65536\r\n\r\n";
    let without_last_byte = head.to_string() + &"b".repeat(65_535);
    let mut clients: Vec<Client> = (0..60)
        .map(|_| {
            let mut client = gateway.client();
            client.send(&without_last_byte);
            client
        })
        .collect();
    assert_eq!(clients[0].receive(), "503 Connection: close");
    assert_eq!(clients[59].request("b"), "400 X-Txn: missing or wrong");
}

#[test]
fn a_part_of_a_request_is_refused_when_a_new_connection_needs_its_descriptor() {
    let mut config = gateway_configuration(unresponsive_server(), &[]);
    config["limits"]["sockets"] = 32.into();
    let gateway = start_gateway(&config);
    let mut clients: Vec<Client> = (0..20)
        .map(|_| {
            let mut client = gateway.client();
            client.send(half_short_body());
            client
        })
        .collect();
    assert_eq!(clients[0].receive(), "503 Connection: close");
    assert_eq!(
        gateway.client().request("GET /ready HTTP/1.1\r\n\r\n"),
        "503"
    );
}
