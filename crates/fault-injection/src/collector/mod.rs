//! A collector that counts what comes to it, by UDP, TCP or TLS, and can be away, slow, or lose datagrams.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::str::FromStr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use harrierdock_ipfix::{DataRecord, MessageReader, ENTERPRISE_NUMBER};
use nanorand::{Rng, WyRand};
use rustls::{ServerConfig, ServerConnection};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Road {
    Udp,
    Tcp,
    Tls,
}

impl FromStr for Road {
    type Err = String;
    fn from_str(text: &str) -> Result<Road, String> {
        match text {
            "udp" => Ok(Road::Udp),
            "tcp" => Ok(Road::Tcp),
            "tls" => Ok(Road::Tls),
            odd => Err(format!("'{odd}' is none of udp, tcp, tls")),
        }
    }
}

/// Kind, build, request class.
pub type Row = (String, u64, String);

/// What one exporter's domain has told.
#[derive(Clone, Default)]
pub struct Domain {
    pub next: Option<u32>,
    pub records: u64,
    /// Records (IPFIX) or messages (v9) that the sequence numbers show to be missing.
    pub gap: u64,
    /// What it last said that it had dropped: attempts, requests.
    pub dropped: [u64; 2],
}

#[derive(Default)]
pub struct Counted {
    pub sums: BTreeMap<Row, u64>,
    pub domains: BTreeMap<u32, Domain>,
    /// Octets by domain and second since the start.
    pub octets: BTreeMap<(u32, u64), u64>,
    pub messages: u64,
    pub faults: u64,
    pub unknown_sets: u64,
    pub lost_here: u64,
    /// Everything that came, for a search.
    pub raw: Vec<u8>,
    pub table: Vec<Told>,
}

pub struct Collector {
    pub road: Road,
    pub address: SocketAddr,
    up: AtomicBool,
    slow: bool,
    loss: f64,
    from: Instant,
    pub counted: Mutex<Counted>,
    tls: Option<Arc<ServerConfig>>,
    over: AtomicBool,
}

/// Records kept for a table, at the most.
const TABLE_MOST: usize = 1_000_000;

impl Counted {
    fn message(&mut self, reader: &mut MessageReader, bytes: &[u8], second: u64) {
        self.raw.extend_from_slice(bytes);
        self.messages += 1;
        let Ok(message) = reader.read(bytes) else {
            self.faults += 1;
            return;
        };
        self.unknown_sets += message.unknown_set_count as u64;
        *self
            .octets
            .entry((message.observation_domain, second))
            .or_default() += bytes.len() as u64;
        let domain = self.domains.entry(message.observation_domain).or_default();
        // A session that begins anew counts from nought.
        let gap = domain
            .next
            .map_or(0, |next| message.sequence_number.wrapping_sub(next));
        domain.gap += u64::from(if message.sequence_number == 0 || gap > u32::MAX / 2 {
            0
        } else {
            gap
        });
        let count = if message.version == 10 {
            message.records.len() as u32
        } else {
            1
        };
        domain.next = Some(message.sequence_number.wrapping_add(count));
        domain.records += message.records.len() as u64;
        for record in &message.records {
            let number = |id| record.number(ENTERPRISE_NUMBER, id);
            if let (Some(a), Some(b)) = (number(17), number(18)) {
                domain.dropped = [a, b];
            }
            let kind = match record.template_id {
                256 => "submission",
                257 => "txn",
                258 => "share",
                _ => continue,
            };
            if self.table.len() < TABLE_MOST {
                self.table
                    .push(told(message.observation_domain, kind, record));
            }
            if kind == "share" {
                continue;
            }
            let row = (
                kind.to_string(),
                number(1).unwrap_or(0),
                record.text(ENTERPRISE_NUMBER, 3).unwrap_or_default(),
            );
            *self.sums.entry(row).or_default() += number(7).unwrap_or(0);
        }
    }
}

/// A record as a row of a table.
pub struct Told {
    pub numbers: [u64; NUMBERS.len()],
    pub texts: [String; TEXTS.len()],
}

pub const NUMBERS: [&str; 11] = [
    "domain", "start_ms", "end_ms", "build", "stage", "count", "second", "late", "time_us",
    "taken", "cap_ppm",
];
pub const TEXTS: [&str; 4] = ["kind", "product", "outcome", "road"];

fn told(domain: u32, kind: &str, record: &DataRecord) -> Told {
    let own = |id| record.number(ENTERPRISE_NUMBER, id).unwrap_or(0);
    let text = |id| record.text(ENTERPRISE_NUMBER, id).unwrap_or_default();
    let point = |id| record.number(0, id).unwrap_or(0);
    let sums = [
        own(1),
        own(2),
        own(7),
        own(8),
        own(9),
        own(10),
        own(14),
        own(13),
    ];
    let mut numbers = [
        u64::from(domain),
        point(152),
        point(153),
        0,
        0,
        0,
        0,
        0,
        0,
        0,
        0,
    ];
    numbers[3..].copy_from_slice(&sums);
    Told {
        numbers,
        texts: [kind.into(), text(3), text(4), text(5)],
    }
}

impl Collector {
    /// Listens, and counts in threads of its own until `stop`.
    pub fn start(
        listen: SocketAddr,
        road: Road,
        slow: bool,
        loss: f64,
        tls: Option<Arc<ServerConfig>>,
    ) -> Result<Arc<Collector>, String> {
        let wrong = |e: std::io::Error| format!("{listen}: {e}");
        let (up, over) = (AtomicBool::new(true), AtomicBool::new(false));
        let mut collector = Collector {
            road,
            address: listen,
            up,
            slow,
            loss,
            from: Instant::now(),
            counted: Mutex::default(),
            tls,
            over,
        };
        if road == Road::Udp {
            let socket = UdpSocket::bind(listen).map_err(wrong)?;
            collector.address = socket.local_addr().map_err(wrong)?;
            socket
                .set_read_timeout(Some(Duration::from_millis(20)))
                .map_err(wrong)?;
            let collector = Arc::new(collector);
            let own = collector.clone();
            thread::spawn(move || own.datagrams(&socket));
            return Ok(collector);
        }
        let listener = TcpListener::bind(listen).map_err(wrong)?;
        collector.address = listener.local_addr().map_err(wrong)?;
        listener.set_nonblocking(true).map_err(wrong)?;
        let collector = Arc::new(collector);
        let own = collector.clone();
        thread::spawn(move || own.listen(listener));
        Ok(collector)
    }

    pub fn turn(&self, up: bool) -> Result<(), String> {
        self.up.store(up, Ordering::SeqCst);
        Ok(())
    }

    pub fn stop(&self) {
        self.over.store(true, Ordering::SeqCst);
    }

    fn is_up(&self) -> bool {
        self.up.load(Ordering::SeqCst)
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    fn count(&self, reader: &mut MessageReader, bytes: &[u8]) {
        let second = self.from.elapsed().as_secs();
        if let Ok(mut counted) = self.counted.lock() {
            counted.message(reader, bytes, second);
        }
    }

    /// While it is away nobody answers; the system's word that the port is closed is not imitated.
    fn datagrams(&self, socket: &UdpSocket) {
        let (mut readers, mut chance) = (
            BTreeMap::<SocketAddr, MessageReader>::new(),
            WyRand::new_seed(7),
        );
        let mut bytes = vec![0; 65_536];
        while !self.is_over() {
            let Ok((size, from)) = socket.recv_from(&mut bytes) else {
                continue;
            };
            if !self.is_up() || chance.generate::<f64>() < self.loss {
                if let Ok(mut counted) = self.counted.lock() {
                    counted.lost_here += 1;
                }
                continue;
            }
            self.count(readers.entry(from).or_default(), &bytes[..size]);
        }
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        while !self.is_over() {
            if !self.is_up() {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
                if let Some(listener) = &listener {
                    let _ = listener.set_nonblocking(true);
                }
            }
            if let Some(Ok((stream, _))) = listener.as_ref().map(TcpListener::accept) {
                let own = self.clone();
                thread::spawn(move || own.stream(stream));
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Reads what has come before it goes away, so that what was taken counts as taken.
    fn stream(&self, mut stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(50)));
        let mut tls = self
            .tls
            .clone()
            .and_then(|config| ServerConnection::new(config).ok());
        let (mut reader, mut held) = (MessageReader::default(), Vec::new());
        let mut bytes = vec![0; if self.slow { 1 } else { 16 * 1024 }];
        loop {
            let read = match &mut tls {
                Some(tls) => rustls::Stream::new(tls, &mut stream).read(&mut bytes),
                None => stream.read(&mut bytes),
            };
            match read {
                Ok(0) => return,
                Ok(count) => held.extend_from_slice(&bytes[..count]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    if self.is_over() || !self.is_up() {
                        return;
                    }
                }
                Err(_) => return,
            }
            if self.slow {
                // It talks back as well, which nobody asked it for.
                let _ = stream.write(b"?");
                thread::sleep(Duration::from_secs(1));
                if self.is_over() {
                    return;
                }
            }
            while let Ok(Some(length)) = MessageReader::message_length(&held) {
                if held.len() < length {
                    break;
                }
                let message: Vec<u8> = held.drain(..length).collect();
                self.count(&mut reader, &message);
            }
        }
    }
}
