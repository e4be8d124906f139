//! A flow collector that counts what it receives by UDP, TCP or TLS. It can be stopped, read slowly, or drop datagrams.
//!
//! It has a thread for its listener and one for each stream. All of them stop on [`Collector::stop`].

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

/// How long a read blocks before the thread checks whether the collector is stopped.
const DATAGRAM_READ_TIMEOUT: Duration = Duration::from_millis(20);
const STREAM_READ_TIMEOUT: Duration = Duration::from_millis(50);
const ACCEPT_INTERVAL: Duration = Duration::from_millis(5);
/// How long a slow collector pauses after each octet.
const SLOW_READ_INTERVAL: Duration = Duration::from_secs(1);
const LARGEST_DATAGRAM_BYTES: usize = 65_536;
const STREAM_BUFFER_BYTES: usize = 16 * 1024;
const LOSS_SEED: u64 = 7;

/// Why a collector couldn't start, or its counts can't be read.
#[derive(Debug, Error)]
pub enum CollectorError {
    /// The collector can't listen.
    #[error("{address}: {source}")]
    Listen {
        /// The address in [`CollectorOptions`].
        address: SocketAddr,
        /// The error from the operating system.
        source: io::Error,
    },
    /// A thread panicked while it held the counts.
    #[error("a collector thread panicked while it held the counts")]
    CountsPoisoned,
}

/// How a collector listens, and which faults it injects.
pub struct CollectorOptions {
    /// The address to listen on; with port 0 the system picks the port.
    pub listen: SocketAddr,
    /// The transport protocol of the flow messages.
    pub transport: CollectorTransport,
    /// The collector reads one octet per second from a stream, and writes to the exporter after each.
    pub is_slow: bool,
    /// The share of datagrams that it drops, from 0 to 1.
    pub loss_ratio: f64,
    /// The server's TLS configuration; `None` unless the transport is TLS.
    pub tls: Option<Arc<ServerConfig>>,
}

/// A running collector.
pub struct Collector {
    address: SocketAddr,
    options: CollectorOptions,
    started: Instant,
    counts: Mutex<Counts>,
    is_running: AtomicBool,
    is_stopped: AtomicBool,
}

/// The collector's socket.
enum Listener {
    Datagrams(UdpSocket),
    Streams(TcpListener),
}

impl Collector {
    /// Listens, and counts messages in background threads until [`stop`](Collector::stop).
    ///
    /// # Errors
    ///
    /// The address can't be bound.
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

    /// The address it listens on, with the port that the system picked.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Locks the counts. The collector's threads wait while the guard is held.
    ///
    /// # Errors
    ///
    /// A thread panicked while it held the counts.
    pub fn counts(&self) -> Result<MutexGuard<'_, Counts>, CollectorError> {
        self.counts
            .lock()
            .map_err(|_| CollectorError::CountsPoisoned)
    }

    /// Simulates an outage: while not running, the collector drops datagrams and closes its streams and their listener.
    pub fn set_running(&self, is_running: bool) {
        self.is_running.store(is_running, Ordering::SeqCst);
    }

    /// Stops all threads of the collector; returns without waiting for them.
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

    /// Drops datagrams while the collector isn't running. The socket stays open, so exporters get no ICMP port unreachable.
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

    /// Reads from a stream until the exporter closes it, or the collector stops or isn't running. The latter two are checked
    /// after a read without data, so that octets already received are counted. A slow collector stops without this wait.
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
                // Exporters must tolerate a collector that writes to them, although the protocol forbids it.
                let _ = stream.write(b"?");
                thread::sleep(SLOW_READ_INTERVAL);
                if self.is_stopped() {
                    return;
                }
            }
            self.count_complete_messages(&mut reader, &mut received);
        }
    }

    /// Counts the messages received completely, and leaves an incomplete one in `received`.
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
