//! A flow collector that counts what it gets by UDP, TCP or TLS, and can be stopped, slow, or lose datagrams.
//!
//! It owns its listener and a thread for each stream; both end with [`Collector::stop`].

mod counts;
mod record;
mod transport;

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use harrierdock_ipfix::MessageReader;
use nanorand::{Rng, WyRand};
use rustls::{ServerConfig, ServerConnection};
use thiserror::Error;

pub use counts::{Counts, DomainCounts, RecordKey};
pub use record::{CollectedRecord, NUMBER_COLUMNS, TEXT_COLUMNS};
pub use transport::{CollectorTransport, UnknownTransport};

/// How long a read waits before the thread looks whether the collector is stopped.
const DATAGRAM_READ_TIMEOUT: Duration = Duration::from_millis(20);
const STREAM_READ_TIMEOUT: Duration = Duration::from_millis(50);
const ACCEPT_INTERVAL: Duration = Duration::from_millis(5);
/// How long a slow collector takes for each octet.
const SLOW_READ_INTERVAL: Duration = Duration::from_secs(1);
const LARGEST_DATAGRAM_BYTES: usize = 65_536;
const STREAM_BUFFER_BYTES: usize = 16 * 1024;
const LOSS_SEED: u64 = 7;

/// Why a collector can't be used.
#[derive(Debug, Error)]
pub enum CollectorError {
    /// It can't listen.
    #[error("{address}: {source}")]
    Listen {
        /// Where it was to listen.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// A thread panicked while it counted.
    #[error("poisoned lock: another task failed inside")]
    CountsPoisoned,
}

/// How a collector listens and what it does wrong.
pub struct CollectorOptions {
    /// Where it listens; port 0 for any port.
    pub listen: SocketAddr,
    /// The protocol.
    pub transport: CollectorTransport,
    /// It reads one octet a second, and writes to the exporter as well.
    pub is_slow: bool,
    /// The share of datagrams that it loses.
    pub loss_ratio: f64,
    /// Its end of TLS, where the transport needs one.
    pub tls: Option<Arc<ServerConfig>>,
}

/// A collector that listens.
pub struct Collector {
    address: SocketAddr,
    options: CollectorOptions,
    started: Instant,
    counts: Mutex<Counts>,
    is_running: AtomicBool,
    is_stopped: AtomicBool,
}

/// The socket of a collector, by its transport.
enum Listener {
    Datagrams(UdpSocket),
    Streams(TcpListener),
}

impl Collector {
    /// Listens, and counts in threads of its own until [`stop`](Collector::stop).
    ///
    /// # Errors
    ///
    /// The address is not to be had.
    pub fn start(options: CollectorOptions) -> Result<Arc<Collector>, CollectorError> {
        let (listener, address) = listen(&options).map_err(|source| CollectorError::Listen {
            address: options.listen,
            source,
        })?;
        let collector = Arc::new(Collector {
            address,
            options,
            started: Instant::now(),
            counts: Mutex::default(),
            is_running: AtomicBool::new(true),
            is_stopped: AtomicBool::new(false),
        });
        let shared = collector.clone();
        match listener {
            Listener::Datagrams(socket) => {
                thread::spawn(move || shared.receive_datagrams(&socket));
            }
            Listener::Streams(listener) => {
                thread::spawn(move || shared.accept_streams(listener));
            }
        }
        Ok(collector)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it has counted so far; nothing is counted while this is held.
    ///
    /// # Errors
    ///
    /// A thread panicked while it counted.
    pub fn counts(&self) -> Result<MutexGuard<'_, Counts>, CollectorError> {
        self.counts
            .lock()
            .map_err(|_| CollectorError::CountsPoisoned)
    }

    /// Takes it away from its exporters, or gives it back to them.
    pub fn set_running(&self, is_running: bool) {
        self.is_running.store(is_running, Ordering::SeqCst);
    }

    /// Ends its threads.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
    }

    fn is_running(&self) -> bool {
        self.is_running.load(Ordering::SeqCst)
    }

    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::SeqCst)
    }

    fn count_message(&self, reader: &mut MessageReader, octets: &[u8]) {
        let second = self.started.elapsed().as_secs();
        if let Ok(mut counts) = self.counts.lock() {
            counts.add_message(reader, octets, second);
        }
    }

    /// Nobody answers while it isn't running; the system's report that the port is closed is not imitated.
    fn receive_datagrams(&self, socket: &UdpSocket) {
        let mut readers = BTreeMap::<SocketAddr, MessageReader>::new();
        let mut rng = WyRand::new_seed(LOSS_SEED);
        let mut buffer = vec![0; LARGEST_DATAGRAM_BYTES];
        while !self.is_stopped() {
            let Ok((size, sender)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            if !self.is_running() || rng.generate::<f64>() < self.options.loss_ratio {
                if let Ok(mut counts) = self.counts.lock() {
                    counts.dropped_datagrams += 1;
                }
                continue;
            }
            self.count_message(readers.entry(sender).or_default(), &buffer[..size]);
        }
    }

    fn accept_streams(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        while !self.is_stopped() {
            if !self.is_running() {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
                if let Some(listener) = &listener {
                    let _ = listener.set_nonblocking(true);
                }
            }
            if let Some(Ok((stream, _))) = listener.as_ref().map(TcpListener::accept) {
                let shared = self.clone();
                thread::spawn(move || shared.read_stream(stream));
            }
            thread::sleep(ACCEPT_INTERVAL);
        }
    }

    /// Reads what has come before it closes a stream, so that what was received is counted.
    fn read_stream(&self, mut stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_read_timeout(Some(STREAM_READ_TIMEOUT));
        let tls_config = self.options.tls.clone();
        let mut tls = tls_config.and_then(|config| ServerConnection::new(config).ok());
        let mut reader = MessageReader::default();
        let mut received = Vec::new();
        let buffer_bytes = if self.options.is_slow {
            1
        } else {
            STREAM_BUFFER_BYTES
        };
        let mut buffer = vec![0; buffer_bytes];
        loop {
            let read = match &mut tls {
                Some(tls) => rustls::Stream::new(tls, &mut stream).read(&mut buffer),
                None => stream.read(&mut buffer),
            };
            match read {
                Ok(0) => return,
                Ok(count) => received.extend_from_slice(&buffer[..count]),
                Err(error) if is_timeout(&error) => {
                    if self.is_stopped() || !self.is_running() {
                        return;
                    }
                }
                Err(_) => return,
            }
            if self.options.is_slow {
                // Exporters must cope with a collector that writes to them, which no protocol allows.
                let _ = stream.write(b"?");
                thread::sleep(SLOW_READ_INTERVAL);
                if self.is_stopped() {
                    return;
                }
            }
            self.count_complete_messages(&mut reader, &mut received);
        }
    }

    /// Counts the messages that have come whole, and keeps the rest.
    fn count_complete_messages(&self, reader: &mut MessageReader, received: &mut Vec<u8>) {
        while let Ok(Some(length)) = MessageReader::message_length(received) {
            if received.len() < length {
                break;
            }
            let message: Vec<u8> = received.drain(..length).collect();
            self.count_message(reader, &message);
        }
    }
}

fn listen(options: &CollectorOptions) -> io::Result<(Listener, SocketAddr)> {
    if options.transport == CollectorTransport::Udp {
        let socket = UdpSocket::bind(options.listen)?;
        let address = socket.local_addr()?;
        socket.set_read_timeout(Some(DATAGRAM_READ_TIMEOUT))?;
        return Ok((Listener::Datagrams(socket), address));
    }
    let listener = TcpListener::bind(options.listen)?;
    let address = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    Ok((Listener::Streams(listener), address))
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
