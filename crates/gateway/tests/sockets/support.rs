//! Starts the built gateway for a test and provides its clients and stand-ins.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use expect_test::Expect;
pub use harrierdock_fault_injection::stand_ins::*;
pub use rustix::process::Signal;
use rustix::process::{kill_process, Pid};
pub use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};

/// Waits until an idle endpoint connection may be reused: 80 ms at the 1 s connect timeout that the tests configure.
pub fn wait_for_connection_reuse() {
    thread::sleep(Duration::from_millis(120));
}

/// Asserts that the recorded trace equals the expected one.
pub fn assert_trace(trace: &Trace, expected: Expect) {
    expected.assert_eq(&trace.text());
}

/// A gateway process, killed when dropped.
pub struct Gateway {
    pub child: Child,
    pub address: SocketAddr,
    pub gossip_address: Option<SocketAddr>,
    pub log: Receiver<String>,
}

/// Returns a loopback address without a listener, unique to this call and unlikely to be used by another process.
/// No listener is opened to find it: a process that another test spawns at that moment would inherit the descriptor.
pub fn unused_address() -> SocketAddr {
    const PORT: u16 = 8_443;
    static NUMBERS: AtomicU8 = AtomicU8::new(0);
    let number = NUMBERS.fetch_add(1, Ordering::SeqCst);
    let [low, high, ..] = std::process::id().to_le_bytes();
    let host = Ipv4Addr::new(127, 1 + high % 254, low, 1 + number % 254);
    SocketAddr::from((host, PORT))
}

/// Parses the socket address at the end of a log line.
pub fn parse_trailing_address(line: &str) -> Option<SocketAddr> {
    line.rsplit(' ').next()?.parse().ok()
}

pub fn write_config(config: &Value) -> String {
    static NUMBERS: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBERS.fetch_add(1, Ordering::SeqCst);
    let path = format!(
        "{}/config-{}-{number}.json",
        env!("CARGO_TARGET_TMPDIR"),
        std::process::id()
    );
    fs::write(&path, config.to_string()).unwrap();
    path
}

pub fn gateway_command(config: &Value, arguments: &[&str]) -> Command {
    let path = write_config(config);
    let mut command = Command::new(env!("CARGO_BIN_EXE_harrierdock"));
    command
        .args(arguments)
        .env("LB_CONFIG", path)
        .stderr(Stdio::piped())
        .stdout(Stdio::piped());
    command
        .env_remove("LB_NAME")
        .env_remove("LB_LISTEN")
        .env_remove("LB_DISCOVERY");
    command
}

pub fn start_gateway(config: &Value) -> Gateway {
    start_gateway_with(
        config,
        gateway_command(config, &["serve", "--log", "debug"]),
    )
}

/// Spawns a gateway without waiting until it serves; its address is a placeholder.
pub fn spawn_gateway(mut command: Command) -> Gateway {
    let mut child = command.spawn().unwrap();
    let (line_sender, log) = channel();
    let lines = BufReader::new(child.stderr.take().unwrap());
    thread::spawn(move || {
        lines
            .lines()
            .map_while(Result::ok)
            .try_for_each(|l| line_sender.send(l))
    });
    Gateway {
        child,
        address: "127.0.0.1:0".parse().unwrap(),
        gossip_address: None,
        log,
    }
}

pub fn start_gateway_with(config: &Value, command: Command) -> Gateway {
    let mut gateway = spawn_gateway(command);
    if config["peer_listen"].is_string() {
        gateway.gossip_address =
            parse_trailing_address(&gateway.wait_for_log_line("receives gossip on"));
    }
    gateway.address = parse_trailing_address(&gateway.wait_for_log_line("serves on")).unwrap();
    gateway
}

pub fn send_signal(child: &Child, signal: Signal) {
    kill_process(Pid::from_child(child), signal).unwrap();
}

impl Gateway {
    /// Waits for a log line that contains `part`.
    pub fn wait_for_log_line(&self, part: &str) -> String {
        let started_at = Instant::now();
        loop {
            let left = TEST_TIMEOUT.saturating_sub(started_at.elapsed());
            let line = self
                .log
                .recv_timeout(left)
                .unwrap_or_else(|_| panic!("no log line contains {part:?}"));
            assert!(!line.contains("invariant violated: "), "{line}");
            if line.contains(part) {
                return line;
            }
        }
    }

    pub fn client(&self) -> Client {
        Client::new(TcpStream::connect(self.address).unwrap())
    }

    pub fn signal(&self, signal: Signal) {
        send_signal(&self.child, signal);
    }

    /// The most memory that the process has used so far.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        status
            .lines()
            .find_map(|l| l.strip_prefix("VmHWM:")?.trim().strip_suffix(" kB"))
            .and_then(|kb| kb.parse().ok())
            .unwrap()
    }

    /// Suspends the process with SIGSTOP and returns once it is stopped. SIGCONT resumes it.
    pub fn suspend(&self) {
        self.signal(Signal::STOP);
        let started_at = Instant::now();
        let stat = format!("/proc/{}/stat", self.child.id());
        // The state follows the program name, which is in parentheses.
        while !fs::read_to_string(&stat).unwrap().contains(") T ") {
            assert!(
                started_at.elapsed() < TEST_TIMEOUT,
                "the gateway is not suspended"
            );
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Waits until the process exits and returns its exit code, or `None` if a signal terminated it.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let started_at = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(
                started_at.elapsed() < TEST_TIMEOUT,
                "the gateway does not exit"
            );
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Shuts the gateway down and returns the final values of the named counters.
    pub fn shut_down_and_read_counts(mut self, names: &[&str]) -> String {
        self.signal(Signal::TERM);
        let counts = self.wait_for_log_line("counts:");
        assert_eq!(self.child.wait().unwrap().code(), Some(0));
        let is_named = |part: &&str| names.iter().any(|n| part.starts_with(&format!("{n}=")));
        counts
            .split(' ')
            .filter(is_named)
            .collect::<Vec<_>>()
            .join(" ")
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Client(pub BufReader<TcpStream>);

impl Client {
    pub fn new(stream: TcpStream) -> Client {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Client(BufReader::new(stream))
    }

    pub fn send(&mut self, text: impl AsRef<[u8]>) {
        self.0.get_mut().write_all(text.as_ref()).unwrap();
    }

    /// Receives the next response and returns its status, `Retry-After`, `Connection` and body.
    pub fn receive(&mut self) -> String {
        let Some((head, body)) = read_message(&mut self.0) else {
            return "closed".into();
        };
        let fields = |name: &str| {
            head.lines()
                .find_map(|l| l.strip_prefix(name))
                .map(|v| format!(" {name}{v}"))
        };
        let fields = [fields("Retry-After: "), fields("Connection: ")]
            .into_iter()
            .flatten()
            .collect::<String>();
        format!("{}{fields} {body}", &head[9..12])
            .trim_end()
            .to_string()
    }

    pub fn request(&mut self, text: impl AsRef<[u8]>) -> String {
        self.send(text);
        self.receive()
    }
}

/// Starts a rollout platform that answers votes with `answers` in order and streams the lines sent to the channel. Sends
/// `keepalive` lines between them, or none if it is `None`.
pub fn start_platform(
    trace: &Trace,
    answers: &'static [&'static str],
    keepalive: Option<&'static str>,
) -> (SocketAddr, Sender<String>) {
    let ((line_sender, lines), trace) = (channel(), trace.clone());
    let (lines, votes) = (Mutex::new(lines), AtomicUsize::new(0));
    let address = serve_requests(move |request| {
        if request.head.starts_with("GET /apis/fleet/events") {
            trace.record("platform: events");
            return request.stream_lines(&lines, keepalive);
        }
        trace.record(format!("platform: {}", request.body));
        match answers.get(votes.fetch_add(1, Ordering::SeqCst)) {
            Some(&"no response") => request.stream.read(&mut [0; 1]).is_err(),
            Some(&"close") => false,
            Some(status) => request.respond(status, r#"{"error":"any"}"#),
            None => request.respond("200 OK", &rollout_update(42, 0, "trial").to_string()),
        }
    });
    (address, line_sender)
}

/// The head of a response without an end, whose body is sent with `write_chunk`.
pub const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Sends a chunk of a body. Returns whether the write succeeded.
pub fn write_chunk(stream: &mut TcpStream, text: &str) -> bool {
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    stream.write_all(chunk.as_bytes()).is_ok()
}

/// Connects until the listener's accept queue is full, so that the next connection attempt hangs.
pub fn fill_accept_queue(address: SocketAddr) -> Vec<TcpStream> {
    let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
    std::iter::from_fn(connect).collect()
}

/// Binds an endpoint with a full accept queue, so that the next connection attempt hangs.
pub fn endpoint_with_full_queue() -> (TcpListener, Vec<TcpStream>) {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    listener
        .bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
        .unwrap();
    listener.listen(0).unwrap();
    let listener = TcpListener::from(listener);
    let queue = fill_accept_queue(listener.local_addr().unwrap());
    (listener, queue)
}
