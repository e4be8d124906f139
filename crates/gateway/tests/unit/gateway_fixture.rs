//! A gateway with a scripted clock, one endpoint and one client. The test's thread runs the event loop.

use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use calloop::EventLoop;
use harrierdock_event_loop::ConnectionId;
use harrierdock_fault_injection::stand_ins::{
    client_request, endpoint_record, gateway_configuration, unresponsive_server,
};
use harrierdock_types::{TimeDelta, Timestamp};

use super::scripted_clock;
use crate::config::gateway::GatewayConfig;
use crate::dispatch::request_table::RequestEntry;
use crate::runtime::gateway::Gateway;
use crate::runtime::startup::listen_on;
use crate::runtime::timer::Timer;

/// Event loop iterations after which a test that waits for an event fails.
const MAX_ITERATIONS: usize = 100;
const END_OF_HEAD: &str = "\r\n\r\n";
/// Longer than a connection must stay idle before reuse, and shorter than the idle timeout.
const IDLE_TIME: Duration = Duration::from_millis(500);
/// The timer of a nonexistent attempt, which does nothing when it fires.
const NOOP_TIMER: Timer = Timer::Attempt(ConnectionId(u64::MAX));
/// The time for bytes to cross a loopback connection on a busy machine.
const ARRIVAL_TIME: Duration = Duration::from_millis(5);
/// How long before the deadline `run_until_deadline` stops. Shorter than any timer's delay.
const MARGIN: TimeDelta = TimeDelta::from_millis(1);
/// The remaining time that the client states in each request.
const TIME_LEFT: Duration = Duration::from_secs(2);

/// The connection that an attempt is sent on.
#[derive(Clone, Copy, Debug)]
pub(super) enum ConnectionUse {
    New,
    Reused,
}

/// One end of a connection, with the received text that is not consumed yet.
pub(super) struct BufferedStream {
    pub(super) stream: TcpStream,
    unread: String,
}

impl BufferedStream {
    pub(super) fn new(stream: TcpStream) -> BufferedStream {
        stream.set_nonblocking(true).unwrap();
        BufferedStream {
            stream,
            unread: String::new(),
        }
    }

    /// Whether the other end has closed the connection and no bytes are left to read.
    pub(super) fn is_closed(&self) -> bool {
        match self.stream.peek(&mut [0]) {
            Ok(size) => size == 0,
            Err(e) => e.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Consumes one complete message, which must have no body. Returns `None` if no complete message has arrived.
    pub(super) fn take_message(&mut self) -> Option<String> {
        let mut bytes = [0; 4096];
        match self.stream.read(&mut bytes) {
            Ok(size) => self.unread += std::str::from_utf8(&bytes[..size]).unwrap(),
            Err(e) => assert_eq!(e.kind(), ErrorKind::WouldBlock, "{e}"),
        }
        let end = self.unread.find(END_OF_HEAD)? + END_OF_HEAD.len();
        let rest = self.unread.split_off(end);
        Some(std::mem::replace(&mut self.unread, rest))
    }
}

/// A gateway with its event loop, its endpoint and its client.
pub(super) struct GatewayFixture {
    pub(super) gateway: Gateway,
    event_loop: EventLoop<'static, Gateway>,
    endpoint: TcpListener,
    upstream: Option<BufferedStream>,
    client: BufferedStream,
}

impl GatewayFixture {
    /// Starts a gateway with one endpoint in its list, and connects a client.
    pub(super) fn start() -> GatewayFixture {
        let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
        endpoint.set_nonblocking(true).unwrap();
        let config = read_config(endpoint.local_addr().unwrap());
        let event_loop = EventLoop::try_new().unwrap();
        let listener = listen_on(config.listen).unwrap();
        let mut gateway = Gateway::start(&config, listener, None, &event_loop).unwrap();
        gateway.context.io.clock = scripted_clock::clock();
        let address = gateway.downstream.local_address().unwrap();
        GatewayFixture {
            gateway,
            event_loop,
            endpoint,
            upstream: None,
            client: BufferedStream::new(TcpStream::connect(address).unwrap()),
        }
    }

    /// Starts a gateway whose next attempt will use a new or a reused connection.
    pub(super) fn with_next_attempt_on(connection: ConnectionUse) -> GatewayFixture {
        let mut fixture = GatewayFixture::start();
        if let ConnectionUse::Reused = connection {
            fixture.send_request("a1");
            fixture.wait_for_attempt();
            fixture.respond("200 OK");
            assert_eq!(fixture.wait_for_answer(), "200");
            scripted_clock::advance(IDLE_TIME);
        }
        fixture
    }

    /// Sends an idempotent request from the client.
    pub(super) fn send_request(&mut self, id: &str) {
        let time_left_ms = u32::try_from(TIME_LEFT.as_millis()).unwrap();
        let request = client_request("draft", id, time_left_ms);
        self.client.stream.write_all(request.as_bytes()).unwrap();
    }

    /// Runs the event loop until the endpoint receives a request, and returns the request's head.
    pub(super) fn wait_for_attempt(&mut self) -> String {
        self.run_until("an attempt", |fixture| {
            if let Some(upstream) = fixture.accept_upstream() {
                check_unread_bytes_at_pause(&upstream.stream);
                fixture.upstream = Some(upstream);
            }
            fixture.upstream.as_mut()?.take_message()
        })
    }

    /// Sends the endpoint's response to its latest attempt. `status` may include header lines after the status.
    pub(super) fn respond(&mut self, status: &str) {
        self.respond_with_body(status, "");
    }

    /// Sends the endpoint's response with a body to its latest attempt.
    pub(super) fn respond_with_body(&mut self, status: &str, body: &str) {
        let upstream = self.upstream.as_mut().unwrap();
        let length = body.len();
        let response = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}");
        upstream.stream.write_all(response.as_bytes()).unwrap();
        thread::sleep(ARRIVAL_TIME);
    }

    /// Advances the clock to `overdue_at` of the only request.
    pub(super) fn advance_to_overdue(&self) {
        self.advance_to(self.request().overdue_at);
    }

    /// Advances the clock to just before the deadline of the only request, and handles all timers due by then.
    pub(super) fn run_until_deadline(&mut self) {
        self.advance_to(self.request().deadline - MARGIN);
        self.gateway.run_iteration(&mut self.event_loop);
    }

    /// Advances the clock to the next timer's deadline. Does nothing if that deadline has passed or no timer is set.
    pub(super) fn advance_to_next_timer(&self) {
        let context = &self.gateway.context;
        let next = context.timers.next_deadline();
        self.advance_to(next.map_or(context.now(), |next| next.max(context.now())));
    }

    /// The address that the gateway listens on.
    pub(super) fn address(&self) -> SocketAddr {
        self.gateway.downstream.local_address().unwrap()
    }

    /// Accepts a connection from the gateway to the endpoint, if one is pending.
    pub(super) fn accept_upstream(&self) -> Option<BufferedStream> {
        let (stream, _) = self.endpoint.accept().ok()?;
        Some(BufferedStream::new(stream))
    }

    /// Runs one iteration of the event loop. Sets an expired timer, so that the iteration does not wait for events.
    pub(super) fn run_iteration_without_waiting(&mut self) {
        let now = self.gateway.context.now();
        let timers = &mut self.gateway.context.timers;
        timers.set(now, NOOP_TIMER);
        self.gateway.run_iteration(&mut self.event_loop);
    }

    fn advance_to(&self, time: Timestamp) {
        let ahead = time - self.gateway.context.now();
        scripted_clock::advance(Duration::from_micros(ahead.0 as u64));
    }

    /// Runs the event loop until the client receives an answer, and returns the answer's status.
    pub(super) fn wait_for_answer(&mut self) -> String {
        let head = self.run_until("an answer", |fixture| fixture.client.take_message());
        head.split(' ').nth(1).unwrap().to_string()
    }

    /// Runs the event loop until the client has received this many bytes after the head of an answer, and returns them.
    pub(super) fn wait_for_body(&mut self, bytes: usize) -> String {
        self.run_until("the body of an answer", |fixture| {
            let mut received = vec![0; bytes];
            let client = &mut fixture.client;
            if let Ok(size) = client.stream.read(&mut received) {
                client.unread += std::str::from_utf8(&received[..size]).unwrap();
            }
            (client.unread.len() >= bytes).then(|| std::mem::take(&mut client.unread))
        })
    }

    /// The only unanswered request.
    pub(super) fn request(&self) -> &RequestEntry {
        let requests = &self.gateway.dispatcher.requests;
        let id = requests.unanswered().next();
        requests.get(id.expect("no request is unanswered")).unwrap()
    }

    fn run_until<T>(
        &mut self,
        awaited: &str,
        mut poll: impl FnMut(&mut GatewayFixture) -> Option<T>,
    ) -> T {
        for _ in 0..MAX_ITERATIONS {
            if let Some(value) = poll(self) {
                return value;
            }
            self.gateway.run_iteration(&mut self.event_loop);
        }
        panic!("{awaited} did not arrive within {MAX_ITERATIONS} iterations");
    }
}

/// Makes the next pause of the clock check whether the endpoint has received unread bytes.
fn check_unread_bytes_at_pause(stream: &TcpStream) {
    let stream = stream.try_clone().unwrap();
    scripted_clock::check_at_pause(move || {
        thread::sleep(ARRIVAL_TIME);
        stream.peek(&mut [0]).is_ok_and(|size| size > 0)
    });
}

fn read_config(endpoint: SocketAddr) -> GatewayConfig {
    static NEXT_NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
    let members = [endpoint_record("s-1", endpoint, "ready", 41)];
    let config = gateway_configuration(unresponsive_server(), &members);
    let file = format!("harrierdock-unit-{}-{number}.json", std::process::id());
    let path = std::env::temp_dir().join(file);
    fs::write(&path, config.to_string()).unwrap();
    let parsed = GatewayConfig::read(Some(path.clone())).unwrap();
    fs::remove_file(path).unwrap();
    parsed
}
