//! Clients that connect while a gateway waits for its configuration. The configuration is a named pipe that the test writes
//! later, which fixes the order of events.

use std::fs::{self, File, OpenOptions};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::os::unix::fs::OpenOptionsExt;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use rustix::fs::{mkfifoat, Mode, OFlags, CWD};
use socket2::SockRef;

use crate::support::*;

/// How long a test withholds the configuration where time has to pass.
pub const DELAY: Duration = Duration::from_millis(400);
/// How far the remaining time sent to an endpoint may differ from the actual one.
pub const SLACK: Duration = Duration::from_millis(150);
/// The shortest time from SIGTERM until the platform may kill the process. The longest timeout of a request class here is 3 s.
const EARLIEST_KILL: Duration = Duration::from_millis(3_700);
/// Number of clients that connect before the configuration is written.
const CLIENTS: usize = 200;
/// Number of endpoints; enough that hardly any request is rejected for lack of capacity.
const ENDPOINTS: usize = 50;

/// A gateway that has opened its configuration and waits for its contents.
pub struct StartingGateway {
    pub gateway: Gateway,
    pub address: SocketAddr,
    path: String,
    pipe: File,
}

impl StartingGateway {
    /// Starts a gateway with this address in `LB_LISTEN` and returns once it has opened its configuration.
    pub fn new(address: SocketAddr) -> StartingGateway {
        let command = gateway_command(&json!({}), &["serve", "--log", "debug"]);
        StartingGateway::spawn(address, command)
    }

    fn spawn(address: SocketAddr, mut command: Command) -> StartingGateway {
        let path = named_pipe();
        command
            .env("LB_CONFIG", &path)
            .env("LB_LISTEN", address.to_string());
        let mut gateway = spawn_gateway(command);
        gateway.address = address;
        let pipe = open_for_writing(&path, &mut gateway);
        StartingGateway {
            gateway,
            address,
            path,
            pipe,
        }
    }

    pub fn client(&self) -> Client {
        connect(self.address)
    }

    /// Writes the configuration, and replaces the pipe by a file of the same contents for a later reload.
    pub fn configure(mut self, config: &Value) -> Gateway {
        let text = config.to_string();
        let file = write_config(config);
        fs::rename(file, &self.path).unwrap();
        self.pipe.write_all(text.as_bytes()).unwrap();
        self.gateway
    }
}

fn connect(address: SocketAddr) -> Client {
    let stream = TcpStream::connect(address);
    Client::new(stream.unwrap_or_else(|e| panic!("cannot connect to the gateway: {e}")))
}

/// Makes a named pipe and returns its path.
fn named_pipe() -> String {
    let path = write_config(&json!({}));
    fs::remove_file(&path).unwrap();
    mkfifoat(CWD, &path, Mode::RUSR | Mode::WUSR).unwrap();
    path
}

/// Opens the write end of a pipe once the gateway has opened the read end.
fn open_for_writing(path: &str, gateway: &mut Gateway) -> File {
    let flags = OFlags::NONBLOCK.bits().try_into().unwrap();
    let started_at = Instant::now();
    loop {
        // Fails until a reader has opened the pipe.
        if let Ok(pipe) = OpenOptions::new()
            .write(true)
            .custom_flags(flags)
            .open(path)
        {
            return pipe;
        }
        if gateway.child.try_wait().unwrap().is_some() {
            let lines: Vec<String> = gateway.log.iter().collect();
            panic!("the gateway exited without reading {path}: {lines:?}");
        }
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "the gateway does not open {path}"
        );
        thread::sleep(Duration::from_millis(1));
    }
}

/// The configuration of a gateway with this listen address and one endpoint.
pub fn configuration_at(address: SocketAddr, endpoint: SocketAddr) -> Value {
    let record = endpoint_record("s-1", endpoint, "ready", 41);
    let mut config = gateway_configuration(unresponsive_server(), &[record]);
    config["listen"] = json!(address);
    config
}

/// Starts an endpoint that records the id and remaining milliseconds of each request, and answers it.
pub fn endpoint_recording_remaining_time(trace: &Trace) -> SocketAddr {
    let seen = trace.clone();
    serve_requests(move |request| {
        let field = |name| request.field(name).unwrap_or("none").to_string();
        seen.record(format!("{} {}", field("X-Txn"), field("X-Remaining-Ms")));
        request.respond("200 OK", "answer")
    })
}

/// The remaining time that the gateway sent to the endpoint with a request.
pub fn read_remaining_time(trace: &Trace, id: &str) -> Duration {
    let text = trace.text();
    let prefix = format!("{id} ");
    let sent = text.lines().find_map(|line| line.strip_prefix(&prefix));
    Duration::from_millis(sent.unwrap().parse().unwrap())
}

// Guards against binding the listener only after the configuration is read: earlier clients would be refused.
#[test]
fn a_client_that_connects_before_the_configuration_is_written_is_answered() {
    let one = endpoint("one", &Trace::default(), &[EndpointBehavior::Succeed]);
    let starting = StartingGateway::new(unused_address());
    let mut client = starting.client();
    client.send(client_request("lodge", "a1", 9_000));
    let mut check = starting.client();
    check.send("GET /ready HTTP/1.1\r\n\r\n");
    let config = configuration_at(starting.address, one);
    let gateway = starting.configure(&config);
    assert_eq!(client.receive(), "200 one settled a1");
    assert_eq!(check.receive(), "200");
    let again = gateway.client().request("GET /ready HTTP/1.1\r\n\r\n");
    assert_eq!(again, "200");
}

// Guards against binding the listener only after the extension file is read, although its address is known.
#[test]
fn a_client_that_connects_before_the_extension_file_is_written_is_answered() {
    let one = endpoint("one", &Trace::default(), &[EndpointBehavior::Succeed]);
    let address = unused_address();
    let config = configuration_at(address, one);
    let path = named_pipe();
    let mut gateway = spawn_gateway(gateway_command(&config, &["serve", "--with", &path]));
    let mut pipe = open_for_writing(&path, &mut gateway);
    let mut client = connect(address);
    client.send(client_request("lodge", "a1", 9_000));
    pipe.write_all(b"{}").unwrap();
    drop(pipe);
    assert_eq!(client.receive(), "200 one settled a1");
}

// Guards against a short accept queue, and against a start that accepts only some of the queued clients.
#[test]
fn many_clients_that_connect_before_the_configuration_is_written_are_answered() {
    let trace = Trace::default();
    let one = endpoint("one", &trace, &[EndpointBehavior::Succeed]);
    let starting = StartingGateway::new(unused_address());
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| starting.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(client_request("lodge", &format!("a{number}"), 9_000));
    }
    let records: Vec<Value> = (0..ENDPOINTS)
        .map(|number| endpoint_record(&format!("s-{number}"), one, "ready", 41))
        .collect();
    let mut config = gateway_configuration(unresponsive_server(), &records);
    config["listen"] = json!(starting.address);
    // Client connections may use a third of the descriptors.
    config["limits"]["sockets"] = json!(1024);
    let _gateway = starting.configure(&config);
    let mut served = 0;
    for (number, client) in clients.iter_mut().enumerate() {
        match client.receive() {
            answer if answer == format!("200 one settled a{number}") => served += 1,
            // The policy may shed some of this load, and then sends no attempt.
            answer => assert_eq!(answer, "503 Retry-After: 1.5", "a{number}"),
        }
    }
    assert!(served > CLIENTS / 2, "{served} of {CLIENTS} succeeded");
    assert_eq!(
        trace.count("one."),
        served,
        "one attempt per successful request"
    );
}

/// Closes a client's connection with a TCP reset.
fn close_by_reset(client: Client) {
    SockRef::from(client.0.get_ref())
        .set_linger(Some(Duration::ZERO))
        .unwrap();
}

// Guards against an attempt for a client that disconnected in the accept queue, and against a start that fails on it.
#[test]
fn no_attempt_is_sent_for_a_client_that_disconnects_before_the_configuration_is_written() {
    let trace = Trace::default();
    let one = endpoint("one", &trace, &[EndpointBehavior::Succeed]);
    let starting = StartingGateway::new(unused_address());
    let mut leaving = starting.client();
    leaving.send(client_request("lodge", "a1", 9_000));
    drop(leaving);
    let mut resetting = starting.client();
    resetting.send(client_request("lodge", "b1", 9_000));
    close_by_reset(resetting);
    let mut staying = starting.client();
    staying.send(client_request("lodge", "a2", 9_000));
    let config = configuration_at(starting.address, one);
    let gateway = starting.configure(&config);
    assert_eq!(staying.receive(), "200 one settled a2");
    let next = gateway
        .client()
        .request(client_request("lodge", "a3", 9_000));
    assert_eq!(next, "200 one settled a3");
    wait_for_connection_reuse();
    let text = trace.text();
    let is_sent = text.contains("request a1") || text.contains("request b1");
    assert!(!is_sent, "an attempt was sent: {text}");
}

// Guards against a signal that terminates the process while clients wait for its configuration to be read.
#[test]
fn clients_are_answered_when_sigterm_precedes_the_configuration() {
    let one = endpoint("one", &Trace::default(), &[EndpointBehavior::Succeed]);
    let starting = StartingGateway::new(unused_address());
    let mut before = starting.client();
    before.send(client_request("lodge", "a1", 9_000));
    starting.gateway.signal(Signal::TERM);
    let mut after = starting.client();
    after.send(client_request("lodge", "a2", 9_000));
    let config = configuration_at(starting.address, one);
    let mut gateway = starting.configure(&config);
    assert_eq!(before.receive(), "200 Connection: close one settled a1");
    assert_eq!(after.receive(), "200 Connection: close one settled a2");
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

// Guards against counting the shutdown time from the end of startup instead of from SIGTERM: responses would then arrive after
// the platform kills the process.
#[test]
fn answers_precede_the_earliest_kill_when_sigterm_precedes_the_configuration() {
    let one = endpoint("one", &Trace::default(), &[EndpointBehavior::Unresponsive]);
    let starting = StartingGateway::new(unused_address());
    let mut client = starting.client();
    client.send(client_request("lodge", "a1", 60_000));
    let signalled_at = Instant::now();
    starting.gateway.signal(Signal::TERM);
    thread::sleep(DELAY);
    let config = configuration_at(starting.address, one);
    let _gateway = starting.configure(&config);
    assert_eq!(client.receive(), "502 Connection: close");
    let answered_after = signalled_at.elapsed();
    assert!(answered_after < EARLIEST_KILL, "{answered_after:?}");
}

// Guards against SIGHUP terminating the process, or being handled before the configuration is read.
#[test]
fn clients_are_answered_when_sighup_precedes_the_configuration() {
    let one = endpoint("one", &Trace::default(), &[EndpointBehavior::Succeed]);
    let starting = StartingGateway::new(unused_address());
    let mut before = starting.client();
    before.send(client_request("lodge", "a1", 9_000));
    starting.gateway.signal(Signal::HUP);
    let mut after = starting.client();
    after.send(client_request("lodge", "a2", 9_000));
    let config = configuration_at(starting.address, one);
    let mut gateway = starting.configure(&config);
    assert_eq!(before.receive(), "200 one settled a1");
    assert_eq!(after.receive(), "200 one settled a2");
    gateway.wait_for_log_line("reloading the configuration");
    let next = before.request(client_request("lodge", "a3", 9_000));
    assert_eq!(next, "200 one settled a3");
    assert_eq!(gateway.child.try_wait().unwrap(), None);
}

/// Whether the gateway closes or resets the connection before it sends anything.
fn is_closed_by_peer(mut client: Client) -> bool {
    match client.0.read(&mut [0; 1]) {
        Ok(count) => count == 0,
        Err(e) => e.kind() == ErrorKind::ConnectionReset,
    }
}

/// Starts a gateway with an invalid configuration while a client waits. Returns its log.
fn run_failing_start(config: &Value, address: SocketAddr) -> String {
    let command = gateway_command(&json!({}), &["serve"]);
    let starting = StartingGateway::spawn(address, command);
    let mut client = starting.client();
    client.send(client_request("lodge", "a1", 9_000));
    let path = starting.path.clone();
    let mut gateway = starting.configure(config);
    assert_eq!(gateway.wait_for_exit(), Some(2));
    assert!(
        is_closed_by_peer(client),
        "the client's connection stays open"
    );
    let next = TcpStream::connect(address).map_err(|e| e.kind());
    assert_eq!(next.unwrap_err(), ErrorKind::ConnectionRefused);
    let lines: Vec<String> = gateway.log.iter().collect();
    lines.join("\n").replace(&path, "PATH")
}

// Guards against a failed start that leaves clients waiting, leaves its listener open, or logs more than one line.
#[test]
fn a_failed_start_closes_the_connections_in_the_accept_queue() {
    // Fails while the configuration is read, then after the listener and other parts are open.
    let refused = run_failing_start(&json!([]), unused_address());
    assert_eq!(refused, "harrierdock: PATH: not an object");
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = unused_address();
    let mut config = configuration_at(address, unresponsive_server());
    config["peer_listen"] = json!(socket.local_addr().unwrap());
    let refused = run_failing_start(&config, address);
    let expected =
        "harrierdock: cannot open the gossip socket: Address already in use (os error 98)";
    assert_eq!(refused, expected);
}

// Guards against a gateway that listens on one address before it reads its configuration and on another one afterwards.
#[test]
fn an_address_that_differs_from_lb_listen_fails_the_start() {
    let (listen, variable) = (unused_address(), unused_address());
    let config = configuration_at(listen, unresponsive_server());
    let mut command = gateway_command(&config, &["serve"]);
    command.env("LB_LISTEN", variable.to_string());
    let path = write_config(&config);
    command.env("LB_CONFIG", &path);
    let mut gateway = spawn_gateway(command);
    assert_eq!(gateway.wait_for_exit(), Some(2));
    let lines: Vec<String> = gateway.log.iter().collect();
    let expected =
        format!("harrierdock: {path}: listen: {listen} differs from LB_LISTEN {variable}");
    assert_eq!(lines, [expected]);
}

// Guards against ignoring the duration of startup: the endpoint would work for a client that no longer waits.
#[test]
fn time_spent_waiting_for_the_start_is_deducted_from_the_remaining_time() {
    let trace = Trace::default();
    let one = endpoint_recording_remaining_time(&trace);
    let starting = StartingGateway::new(unused_address());
    let mut client = starting.client();
    let written_at = Instant::now();
    client.send(client_request("lodge", "a1", 2_000));
    thread::sleep(DELAY);
    let config = configuration_at(starting.address, one);
    let _gateway = starting.configure(&config);
    trace.wait_for("a1 ", 1);
    let waited = written_at.elapsed();
    assert!(waited >= DELAY, "the client did not wait: {waited:?}");
    let left = Duration::from_millis(2_000).saturating_sub(waited);
    let sent = read_remaining_time(&trace, "a1");
    assert!(sent <= left + SLACK, "{sent:?} sent, {left:?} left");
    assert_eq!(client.receive(), "200 answer");
}

// Guards against deducting time from a client that did not wait: a startup without clients is not time in the accept queue.
#[test]
fn a_client_that_connects_after_a_start_without_clients_keeps_its_full_time() {
    let trace = Trace::default();
    let one = endpoint_recording_remaining_time(&trace);
    let starting = StartingGateway::new(unused_address());
    thread::sleep(DELAY);
    let config = configuration_at(starting.address, one);
    let gateway = starting.configure(&config);
    gateway.wait_for_log_line("serves on");
    thread::sleep(DELAY);
    // The request arrives before the connection is accepted, like that of a client that waited.
    gateway.suspend();
    let mut client = gateway.client();
    client.send(client_request("lodge", "a1", 5_000));
    gateway.signal(Signal::CONT);
    assert_eq!(client.receive(), "200 answer");
    let sent = read_remaining_time(&trace, "a1");
    let granted = Duration::from_millis(5_000);
    assert!(sent >= granted - SLACK, "{sent:?} sent");
}
