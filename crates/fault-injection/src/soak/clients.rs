//! Clients with blocking sockets: each uses one connection for request after request, as long as the gateway keeps it open.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use nanorand::WyRand;
use socket2::{Domain, Socket, Type};

use super::records::{HalfCloseAnswer, RefusedConnection, RequestEnd, RequestRecord};
use super::requests::RequestPlan;
use crate::stand_ins::client_request;

/// How long after its deadline a client waits for an answer at the most.
const PATIENCE: Duration = Duration::from_secs(3);
/// How long a connection may take to come up.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a client without a connection waits before it tries again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(5);
/// How a slow reader reads.
const SLOW_READ_BYTES: usize = 2_048;
const SLOW_READ_PAUSE: Duration = Duration::from_millis(10);
const SLOW_RECEIVE_BUFFER_BYTES: usize = 4_096;
const READ_BYTES: usize = 65_536;
/// How long a silent client keeps its connection.
const SILENCE: Duration = Duration::from_millis(800);

/// Where a gateway listens, and whether new connections are made to it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Admission {
    pub(super) address: SocketAddr,
    pub(super) is_admitted: bool,
    /// Until when new connections still come, in a shutdown.
    pub(super) until: Option<Instant>,
}

/// What all clients share.
pub(super) struct Shared {
    pub(super) started_at: Instant,
    pub(super) admissions: Vec<Mutex<Admission>>,
    pub(super) requests: Mutex<Vec<RequestRecord>>,
    pub(super) refused_connections: Mutex<Vec<RefusedConnection>>,
    pub(super) ends_at: Instant,
    last_id: AtomicU64,
    seed: u64,
}

impl Shared {
    pub(super) fn new(seed: u64, admissions: Vec<Admission>, duration: Duration) -> Shared {
        let started_at = Instant::now();
        Shared {
            started_at,
            admissions: admissions.into_iter().map(Mutex::new).collect(),
            requests: Mutex::default(),
            refused_connections: Mutex::default(),
            ends_at: started_at + duration,
            last_id: AtomicU64::new(0),
            seed,
        }
    }

    /// The time since the start.
    pub(super) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Changes how new connections are made to a gateway.
    pub(super) fn set_admission(&self, gateway: usize, change: impl FnOnce(&mut Admission)) {
        change(&mut self.admissions[gateway].lock().expect("no client panics"));
    }

    fn connect(&self, gateway: usize, plan: &RequestPlan) -> Option<ClientConnection> {
        let admission = *self.admissions[gateway].lock().expect("no client panics");
        let is_open = admission.until.is_none_or(|until| Instant::now() < until);
        if !admission.is_admitted || !is_open {
            return None;
        }
        let connection = ClientConnection::open(admission.address, plan.reads_slowly);
        if connection.is_none() {
            let mut refused = self.refused_connections.lock().expect("no client panics");
            refused.push(RefusedConnection {
                gateway,
                at: self.now(),
            });
        }
        connection
    }

    fn next_id(&self) -> String {
        let number = self.last_id.fetch_add(1, Ordering::Relaxed);
        format!("{:x}-{number:x}", self.seed)
    }

    fn record(&self, request: RequestRecord) {
        let mut requests = self.requests.lock().expect("no client panics");
        requests.push(request);
    }
}

/// What a request's connection was used for before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionUse {
    /// It carried an answer.
    Reused,
    /// It is new.
    New,
    /// It is new, and was tried from the spawn of its gateway on.
    Start,
}

/// Plays a client until the soak ends.
pub(super) fn run_client(shared: &Shared, gateway: usize, mut rng: WyRand) {
    let mut connection: Option<ClientConnection> = None;
    while Instant::now() < shared.ends_at {
        let plan = RequestPlan::draw(&mut rng);
        let connection_use = match connection {
            Some(_) => ConnectionUse::Reused,
            None => ConnectionUse::New,
        };
        let Some(mut open) = connection.take().or_else(|| shared.connect(gateway, &plan)) else {
            thread::sleep(RECONNECT_PAUSE);
            continue;
        };
        if send_request(shared, gateway, &mut open, &plan, connection_use) {
            connection = Some(open);
        }
        thread::sleep(plan.pause);
    }
}

/// Plays one client of a crowd that connects, sends one request and waits for the answer.
pub(super) fn run_asking_client(shared: &Shared, gateway: usize) {
    let plan = RequestPlan::of_crowd();
    if let Some(mut connection) = shared.connect(gateway, &plan) {
        send_request(shared, gateway, &mut connection, &plan, ConnectionUse::New);
    }
}

/// Plays one client of a crowd that connects and says nothing.
pub(super) fn run_silent_client(shared: &Shared, gateway: usize) {
    if let Some(connection) = shared.connect(gateway, &RequestPlan::of_crowd()) {
        thread::sleep(SILENCE);
        drop(connection);
    }
}

/// Sends a request and records how it ends. Returns whether the connection can be used again.
pub(super) fn send_request(
    shared: &Shared,
    gateway: usize,
    connection: &mut ClientConnection,
    plan: &RequestPlan,
    connection_use: ConnectionUse,
) -> bool {
    let id = shared.next_id();
    let deadline_ms = plan.deadline.as_millis() as u32;
    let text = client_request(plan.class.name(), &id, deadline_ms);
    let is_in_start = connection_use == ConnectionUse::Start;
    let is_written = connection.write(&text, plan);
    // A client of a start is owed its answer from when its connection came up.
    if !is_written && !is_in_start {
        return false;
    }
    let written_at = shared.now();
    let response = connection.read_response(plan);
    let at = shared.now();
    let end = match &response {
        Response::NotAwaited if plan.half_closes_after.is_some() => {
            connection.read_after_half_close(at, plan, &id)
        }
        Response::Whole { body, is_success } => RequestEnd::Answered {
            at,
            is_own: is_own_answer(body, *is_success, &id),
        },
        Response::Cut { received_bytes } => RequestEnd::Unanswered {
            at,
            received_bytes: *received_bytes,
        },
        Response::NotAwaited => RequestEnd::Left { at },
    };
    shared.record(RequestRecord {
        id,
        gateway,
        class: plan.class,
        written_at,
        deadline: plan.deadline,
        is_connection_reused: connection_use == ConnectionUse::Reused,
        is_in_start,
        reads_slowly: plan.reads_slowly || connection.reads_slowly,
        end,
    });
    matches!(response, Response::Whole { .. }) && connection.is_kept
}

/// Whether an answer was made for this request. Endpoints begin theirs with its id; other answers hold none.
fn is_own_answer(body: &str, is_success: bool, id: &str) -> bool {
    !is_success || body.split(' ').next() == Some(id)
}

/// What came back for a request.
enum Response {
    Whole { body: String, is_success: bool },
    Cut { received_bytes: usize },
    NotAwaited,
}

pub(super) struct ClientConnection {
    stream: TcpStream,
    reads_slowly: bool,
    /// What has come since the last request.
    received: Vec<u8>,
    /// Whether the last answer keeps the connection.
    is_kept: bool,
}

impl ClientConnection {
    fn open(address: SocketAddr, reads_slowly: bool) -> Option<ClientConnection> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None).ok()?;
        if reads_slowly {
            socket
                .set_recv_buffer_size(SLOW_RECEIVE_BUFFER_BYTES)
                .ok()?;
        }
        socket
            .connect_timeout(&address.into(), CONNECT_TIMEOUT)
            .ok()?;
        socket.set_tcp_nodelay(true).ok()?;
        Some(ClientConnection::new(socket, reads_slowly))
    }

    /// On a socket that is connected.
    pub(super) fn new(socket: Socket, reads_slowly: bool) -> ClientConnection {
        ClientConnection {
            stream: socket.into(),
            reads_slowly,
            received: Vec::new(),
            is_kept: true,
        }
    }

    /// Writes a request in its pieces. False if the connection does not take it whole.
    fn write(&mut self, text: &str, plan: &RequestPlan) -> bool {
        let piece_bytes = text.len().div_ceil(plan.pieces);
        for (index, piece) in text.as_bytes().chunks(piece_bytes).enumerate() {
            if index > 0 {
                thread::sleep(plan.piece_pause);
            }
            if self.stream.write_all(piece).is_err() {
                return false;
            }
        }
        true
    }

    fn read_response(&mut self, plan: &RequestPlan) -> Response {
        self.received.clear();
        let stops_after = plan.leaves_after.or(plan.half_closes_after);
        let wait = stops_after.unwrap_or(plan.deadline + PATIENCE);
        match self.read_for(wait) {
            Some(response) => response,
            None if stops_after.is_some() => Response::NotAwaited,
            None => self.cut(),
        }
    }

    /// Ends the writing side at this moment, and reads on.
    fn read_after_half_close(&mut self, at: Duration, plan: &RequestPlan, id: &str) -> RequestEnd {
        // A connection that has ended already gives no answer below.
        let _ = self.stream.shutdown(Shutdown::Write);
        let answer = match self.read_for(plan.deadline + PATIENCE) {
            Some(Response::Whole { body, is_success }) if is_own_answer(&body, is_success, id) => {
                HalfCloseAnswer::Own
            }
            Some(Response::Whole { .. }) => HalfCloseAnswer::Foreign,
            _ => HalfCloseAnswer::None,
        };
        RequestEnd::HalfClosed { at, answer }
    }

    /// Reads until the response is whole or the connection has ended. None if neither comes in this time.
    fn read_for(&mut self, wait: Duration) -> Option<Response> {
        let give_up_at = Instant::now() + wait;
        let part_bytes = if self.reads_slowly {
            SLOW_READ_BYTES
        } else {
            READ_BYTES
        };
        let mut part = vec![0; part_bytes];
        loop {
            if let Some(response) = self.parse() {
                return Some(response);
            }
            let remaining = give_up_at.saturating_duration_since(Instant::now());
            if remaining.is_zero() || self.stream.set_read_timeout(Some(remaining)).is_err() {
                return None;
            }
            match self.stream.read(&mut part) {
                Ok(0) => return Some(self.cut()),
                Ok(count) => self.received.extend_from_slice(&part[..count]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return None;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Some(self.cut()),
            }
            if self.reads_slowly {
                thread::sleep(SLOW_READ_PAUSE);
            }
        }
    }

    fn cut(&self) -> Response {
        Response::Cut {
            received_bytes: self.received.len(),
        }
    }

    /// The response, once it is whole. Gateways state the length of each.
    fn parse(&mut self) -> Option<Response> {
        let received = &self.received;
        let head_length = received.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&received[..head_length]).to_ascii_lowercase();
        let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
        let length: usize = field("content-length:")?.trim().parse().ok()?;
        let body = received.get(head_length..head_length + length)?;
        let is_kept = field("connection:").map(str::trim) != Some("close");
        let response = Response::Whole {
            body: String::from_utf8_lossy(body).into_owned(),
            is_success: head.starts_with("http/1.1 200"),
        };
        self.is_kept = is_kept;
        Some(response)
    }
}
