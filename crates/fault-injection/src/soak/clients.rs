//! Clients with blocking sockets. Each sends its requests over one connection as long as the gateway keeps it open.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use nanorand::WyRand;
use socket2::{Domain, Socket, Type};

use super::records::{HalfCloseAnswer, RefusedConnection, RequestOutcome, RequestRecord};
use super::requests::RequestPlan;
use crate::stand_ins::client_request;

/// How long a client waits for an answer after the request's deadline.
const MAX_WAIT_AFTER_DEADLINE: Duration = Duration::from_secs(3);
/// Time limit for establishing a connection.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// The pause before a client without a connection tries to connect again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(5);
/// A slow reader reads this many bytes at a time, with this pause and this receive buffer.
const SLOW_READ_BYTES: usize = 2_048;
const SLOW_READ_PAUSE: Duration = Duration::from_millis(10);
const SLOW_RECEIVE_BUFFER_BYTES: usize = 4_096;
const READ_BYTES: usize = 65_536;
/// How long an idle client keeps its connection.
const IDLE_DURATION: Duration = Duration::from_millis(800);

/// Where a gateway listens, and whether clients open new connections to it.
#[derive(Clone, Copy, Debug)]
pub(super) struct GatewayAccess {
    pub(super) address: SocketAddr,
    pub(super) accepts_connections: bool,
    /// When clients stop opening new connections during a shutdown; `None` outside a shutdown.
    pub(super) accepts_until: Option<Instant>,
}

/// State that all clients share.
pub(super) struct SharedState {
    pub(super) started_at: Instant,
    pub(super) access: Vec<Mutex<GatewayAccess>>,
    pub(super) requests: Mutex<Vec<RequestRecord>>,
    pub(super) refused_connections: Mutex<Vec<RefusedConnection>>,
    pub(super) ends_at: Instant,
    last_id: AtomicU64,
    seed: u64,
}

impl SharedState {
    pub(super) fn new(seed: u64, access: Vec<GatewayAccess>, duration: Duration) -> SharedState {
        let started_at = Instant::now();
        SharedState {
            started_at,
            access: access.into_iter().map(Mutex::new).collect(),
            requests: Mutex::default(),
            refused_connections: Mutex::default(),
            ends_at: started_at + duration,
            last_id: AtomicU64::new(0),
            seed,
        }
    }

    /// The time since the start of the soak.
    pub(super) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Changes whether clients open new connections to a gateway.
    pub(super) fn update_access(&self, gateway: usize, change: impl FnOnce(&mut GatewayAccess)) {
        change(&mut self.access[gateway].lock().expect("no client panics"));
    }

    fn connect(&self, gateway: usize, plan: &RequestPlan) -> Option<ClientConnection> {
        let access = *self.access[gateway].lock().expect("no client panics");
        let is_before_limit = access
            .accepts_until
            .is_none_or(|until| Instant::now() < until);
        if !access.accepts_connections || !is_before_limit {
            return None;
        }
        let connection = ClientConnection::open(access.address, plan.reads_slowly);
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

/// The use of a request's connection before the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionUse {
    /// The connection carried an earlier answer.
    Reused,
    /// The connection is new.
    New,
    /// The connection is new, and its client tried to connect since the gateway was spawned.
    Startup,
}

/// Runs a client until the end of the soak.
pub(super) fn run_client(shared: &SharedState, gateway: usize, mut rng: WyRand) {
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

/// Runs one client of a connection burst that sends one request and waits for the answer.
pub(super) fn run_requesting_client(shared: &SharedState, gateway: usize) {
    let plan = RequestPlan::for_burst();
    if let Some(mut connection) = shared.connect(gateway, &plan) {
        send_request(shared, gateway, &mut connection, &plan, ConnectionUse::New);
    }
}

/// Runs one client of a connection burst that connects and sends nothing.
pub(super) fn run_idle_client(shared: &SharedState, gateway: usize) {
    if let Some(connection) = shared.connect(gateway, &RequestPlan::for_burst()) {
        thread::sleep(IDLE_DURATION);
        drop(connection);
    }
}

/// Sends a request and records its outcome. Returns whether the connection can be reused.
pub(super) fn send_request(
    shared: &SharedState,
    gateway: usize,
    connection: &mut ClientConnection,
    plan: &RequestPlan,
    connection_use: ConnectionUse,
) -> bool {
    let id = shared.next_id();
    let deadline_ms = plan.deadline.as_millis() as u32;
    let text = client_request(plan.class.name(), &id, deadline_ms);
    let is_startup_client = connection_use == ConnectionUse::Startup;
    let is_written = connection.write(&text, plan);
    // A startup client must get its answer once it is connected, even if the write fails.
    if !is_written && !is_startup_client {
        return false;
    }
    let written_at = shared.now();
    let response = connection.read_response(plan);
    let at = shared.now();
    let outcome = match &response {
        Response::Abandoned if plan.half_closes_after.is_some() => {
            connection.read_after_half_close(at, plan, &id)
        }
        Response::Complete { body, is_success } => RequestOutcome::Answered {
            at,
            is_matching: is_matching_answer(body, *is_success, &id),
        },
        Response::Truncated { received_bytes } => RequestOutcome::Unanswered {
            at,
            received_bytes: *received_bytes,
        },
        Response::Abandoned => RequestOutcome::ClientClosed { at },
    };
    shared.record(RequestRecord {
        id,
        gateway,
        class: plan.class,
        written_at,
        deadline: plan.deadline,
        is_connection_reused: connection_use == ConnectionUse::Reused,
        is_startup_client,
        reads_slowly: plan.reads_slowly || connection.reads_slowly,
        outcome,
    });
    matches!(response, Response::Complete { .. }) && connection.is_reusable
}

/// Whether an answer belongs to this request. An endpoint's answer starts with the request's id; error answers contain no id
/// and always match.
fn is_matching_answer(body: &str, is_success: bool, id: &str) -> bool {
    !is_success || body.split(' ').next() == Some(id)
}

/// The response to a request, as far as the client received it.
enum Response {
    Complete {
        body: String,
        is_success: bool,
    },
    /// The connection ended, or the time to wait passed, before the response was complete.
    Truncated {
        received_bytes: usize,
    },
    /// The client stopped waiting early, as its [`RequestPlan`] demands.
    Abandoned,
}

pub(super) struct ClientConnection {
    stream: TcpStream,
    reads_slowly: bool,
    /// Bytes received since the last request was sent.
    received: Vec<u8>,
    /// Whether the connection can be reused after the last answer.
    is_reusable: bool,
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

    /// Wraps a connected socket.
    pub(super) fn new(socket: Socket, reads_slowly: bool) -> ClientConnection {
        ClientConnection {
            stream: socket.into(),
            reads_slowly,
            received: Vec::new(),
            is_reusable: true,
        }
    }

    /// Writes a request in the planned pieces. Returns whether the whole request was written.
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
        let stops_after = plan.closes_after.or(plan.half_closes_after);
        let wait = stops_after.unwrap_or(plan.deadline + MAX_WAIT_AFTER_DEADLINE);
        match self.read_for(wait) {
            Some(response) => response,
            None if stops_after.is_some() => Response::Abandoned,
            None => self.truncated_response(),
        }
    }

    /// Shuts down the sending side and keeps reading. `at` is the time of the shutdown for the record.
    fn read_after_half_close(
        &mut self,
        at: Duration,
        plan: &RequestPlan,
        id: &str,
    ) -> RequestOutcome {
        // If the connection has ended already, the read below returns no answer.
        let _ = self.stream.shutdown(Shutdown::Write);
        let answer = match self.read_for(plan.deadline + MAX_WAIT_AFTER_DEADLINE) {
            Some(Response::Complete { body, is_success })
                if is_matching_answer(&body, is_success, id) =>
            {
                HalfCloseAnswer::Matching
            }
            Some(Response::Complete { .. }) => HalfCloseAnswer::Mismatched,
            _ => HalfCloseAnswer::None,
        };
        RequestOutcome::HalfClosed { at, answer }
    }

    /// Reads until the response is complete or the connection ends. `None` if neither happens within `wait`.
    fn read_for(&mut self, wait: Duration) -> Option<Response> {
        let deadline = Instant::now() + wait;
        let part_bytes = if self.reads_slowly {
            SLOW_READ_BYTES
        } else {
            READ_BYTES
        };
        let mut part = vec![0; part_bytes];
        loop {
            if let Some(response) = self.parse_response() {
                return Some(response);
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() || self.stream.set_read_timeout(Some(remaining)).is_err() {
                return None;
            }
            match self.stream.read(&mut part) {
                Ok(0) => return Some(self.truncated_response()),
                Ok(count) => self.received.extend_from_slice(&part[..count]),
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) =>
                {
                    return None;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Some(self.truncated_response()),
            }
            if self.reads_slowly {
                thread::sleep(SLOW_READ_PAUSE);
            }
        }
    }

    fn truncated_response(&self) -> Response {
        Response::Truncated {
            received_bytes: self.received.len(),
        }
    }

    /// Returns the response once it is complete. Gateways state the length of every response.
    fn parse_response(&mut self) -> Option<Response> {
        let received = &self.received;
        let head_length = received.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&received[..head_length]).to_ascii_lowercase();
        let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
        let length: usize = field("content-length:")?.trim().parse().ok()?;
        let body = received.get(head_length..head_length + length)?;
        let is_reusable = field("connection:").map(str::trim) != Some("close");
        let response = Response::Complete {
            body: String::from_utf8_lossy(body).into_owned(),
            is_success: head.starts_with("http/1.1 200"),
        };
        self.is_reusable = is_reusable;
        Some(response)
    }
}
