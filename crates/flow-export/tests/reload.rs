//! Reloads of the settings: a new observation domain, and the counts kept.

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};

use harrierdock_config::Names;
use harrierdock_flow_export::{ExporterSetup, FinishedAttempt, FlowExportSettings, FlowExporter};
use harrierdock_types::{AttemptOutcome, BuildId, ClassId, EndpointId, TimeDelta, Timestamp};
use serde_json::json;

/// The position of an IPFIX message's observation domain.
const DOMAIN_OCTETS: std::ops::Range<usize> = 12..16;
const TIMEOUT: Duration = Duration::from_secs(20);

fn settings(
    address: SocketAddr,
    transport: &str,
    domain: u32,
    octets_per_second: u32,
) -> FlowExportSettings {
    let collector = json!({"name": "c", "address": address, "road": transport, "octets_a_second": octets_per_second});
    let settings = json!({"domain": domain, "active_ms": 1000, "collectors": [collector]});
    serde_json::from_value(settings).unwrap()
}

/// An exporter, with a clock that advances only in `export_attempt`.
struct Exporter {
    exporter: FlowExporter,
    now: Timestamp,
}

impl Exporter {
    fn open(settings: &FlowExportSettings) -> Exporter {
        let now = Timestamp(1_000_000);
        let setup = ExporterSetup {
            settings,
            folder: Path::new("."),
            latency_objectives: vec![TimeDelta::from_millis(500)],
            seed: 7,
        };
        let exporter = FlowExporter::open(now, setup).unwrap();
        Exporter { exporter, now }
    }

    fn reload(&mut self, settings: &FlowExportSettings) {
        let folder = Path::new(".");
        self.exporter
            .reload(self.now, Some(settings), folder)
            .unwrap();
    }

    /// Records an attempt, and exports it 1200 ms later.
    fn export_attempt(&mut self) {
        let attempt = FinishedAttempt {
            class: ClassId(0),
            build: BuildId(41),
            endpoint: EndpointId(0),
            outcome: AttemptOutcome::Succeeded,
            duration: TimeDelta::from_millis(30),
            is_retry: false,
            is_inbound: false,
            request_octets: 2,
            response_octets: 2,
        };
        self.exporter.record_attempt(self.now, &attempt);
        self.now = self.now + TimeDelta::from_millis(1_200);
        self.exporter.export(self.now, &Names::default(), false);
    }

    /// Exports attempts until `result` returns a value.
    fn export_until<T>(&mut self, mut result: impl FnMut() -> Option<T>) -> T {
        let start = Instant::now();
        loop {
            self.export_attempt();
            if let Some(result) = result() {
                return result;
            }
            assert!(start.elapsed() < TIMEOUT, "no result within {TIMEOUT:?}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn in_doubt(&mut self) -> u64 {
        let summary = self.exporter.close(self.now, &Names::default());
        summary.collectors[0].in_doubt
    }
}

fn domain_of(message: &[u8]) -> u32 {
    u32::from_be_bytes(message[DOMAIN_OCTETS].try_into().unwrap())
}

/// Accepts the next connection, and returns it with the domain of its first message.
fn accept_and_read_domain(exporter: &mut Exporter, listener: &TcpListener) -> (TcpStream, u32) {
    listener.set_nonblocking(true).unwrap();
    let mut stream = exporter.export_until(|| listener.accept().ok()).0;
    stream.set_nonblocking(true).unwrap();
    let mut header = [0; 16];
    exporter.export_until(|| stream.read_exact(&mut header).ok());
    (stream, domain_of(&header))
}

#[test]
fn a_reloaded_domain_applies_to_an_otherwise_unchanged_collector() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    let address = socket.local_addr().unwrap();
    let mut exporter = Exporter::open(&settings(address, "udp", 1, 16_384));
    let export_and_read_domain = |exporter: &mut Exporter| {
        exporter.export_attempt();
        let mut message = [0; 2_000];
        let length = socket.recv(&mut message).unwrap();
        domain_of(&message[..length])
    };
    assert_eq!(export_and_read_domain(&mut exporter), 1);
    // Discards other datagrams of the first export.
    socket.set_nonblocking(true).unwrap();
    while socket.recv(&mut [0; 2_000]).is_ok() {}
    socket.set_nonblocking(false).unwrap();
    exporter.reload(&settings(address, "udp", 2, 16_384));
    assert_eq!(export_and_read_domain(&mut exporter), 2);
}

#[test]
fn a_reloaded_domain_applies_to_every_later_session() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut exporter = Exporter::open(&settings(address, "tcp", 1, 16_384));
    assert_eq!(accept_and_read_domain(&mut exporter, &listener).1, 1);
    exporter.reload(&settings(address, "tcp", 2, 20_000));
    for session in 0..2 {
        let (stream, domain) = accept_and_read_domain(&mut exporter, &listener);
        assert_eq!(domain, 2, "session {session}");
        drop(stream);
    }
}

#[test]
fn a_reload_keeps_the_in_doubt_count() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut exporter = Exporter::open(&settings(address, "tcp", 1, 16_384));
    let (_stream, _) = accept_and_read_domain(&mut exporter, &listener);
    // The message written last may be lost when the reload closes the connection.
    exporter.export_attempt();
    exporter.reload(&settings(address, "tcp", 1, 20_000));
    assert!(exporter.in_doubt() > 0);
}
