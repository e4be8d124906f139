//! Messages over TCP, with or without TLS.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

use harrierdock_site_transport::Credentials;
use harrierdock_types::{TimeDelta, Timestamp};
use rustls::{ClientConfig, ClientConnection, RootCertStore};
use rustls_pki_types::ServerName;
use socket2::{Domain, Protocol, Socket, Type};

use super::ConnectionError;
use crate::send_queue::SendQueue;
use crate::FlowExportError;

const CONNECT_TIMEOUT: TimeDelta = TimeDelta::from_millis(2000);
/// What was written this recently when a connection breaks may not have arrived.
const IN_DOUBT_WINDOW: TimeDelta = TimeDelta::from_millis(1000);
const READ_BUFFER_OCTETS: usize = 4096;
/// Reads in one round at most, so that a collector that sends without end does not hold the event loop.
const MAX_READS_PER_ROUND: usize = 16;

/// The TLS client configuration of one collector, and the name in its certificate.
pub(crate) struct TlsSettings {
    config: Arc<ClientConfig>,
    server_name: String,
}

impl TlsSettings {
    /// TLS 1.3 with the collector's key files.
    pub(crate) fn new(
        credentials: &Credentials,
        server_name: String,
    ) -> Result<TlsSettings, FlowExportError> {
        let mut roots = RootCertStore::empty();
        for certificate in &credentials.authority {
            roots
                .add(certificate.clone())
                .map_err(FlowExportError::Authority)?;
        }
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_root_certificates(roots)
            .with_client_auth_cert(credentials.chain.clone(), credentials.key.clone_key())?;
        Ok(TlsSettings {
            config: Arc::new(config),
            server_name,
        })
    }

    fn connect(&self) -> Result<ClientConnection, ConnectionError> {
        let server_name = ServerName::try_from(self.server_name.clone())?;
        Ok(ClientConnection::new(self.config.clone(), server_name)?)
    }
}

/// Attempts and requests whose message was written.
struct Written {
    at: Timestamp,
    observation_count: u64,
}

/// A connection over TCP, with or without TLS.
pub(crate) struct StreamConnection {
    socket: TcpStream,
    opened_at: Timestamp,
    is_connected: bool,
    tls: Option<ClientConnection>,
    /// Octets of the front message that are written already.
    written_octets: usize,
    recently_written: VecDeque<Written>,
}

impl StreamConnection {
    pub(crate) fn open(
        now: Timestamp,
        address: SocketAddr,
        tls: Option<&TlsSettings>,
    ) -> Result<StreamConnection, ConnectionError> {
        let socket_type = Type::STREAM.nonblocking().cloexec();
        let socket = Socket::new(
            Domain::for_address(address),
            socket_type,
            Some(Protocol::TCP),
        )?;
        match socket.connect(&address.into()) {
            Err(e) if !is_in_progress(&e) => return Err(e.into()),
            _ => {}
        }
        Ok(StreamConnection {
            socket: socket.into(),
            opened_at: now,
            is_connected: false,
            tls: tls.map(TlsSettings::connect).transpose()?,
            written_octets: 0,
            recently_written: VecDeque::new(),
        })
    }

    /// Moves the connection on, and returns whether messages may be written.
    ///
    /// # Errors
    /// The connection is of no use any more.
    pub(crate) fn poll_ready(&mut self, now: Timestamp) -> Result<bool, ConnectionError> {
        if let Ok(Some(e)) | Err(e) = self.socket.take_error() {
            return Err(e.into());
        }
        if !self.is_connected {
            self.is_connected = self.socket.peer_addr().is_ok();
        }
        if self.is_connected {
            self.read()?;
        }
        let is_handshaking = self.tls.as_ref().is_some_and(|tls| tls.is_handshaking());
        if is_handshaking && self.is_connected {
            self.flush_tls()?;
        }
        let is_ready = self.is_connected && !is_handshaking;
        if !is_ready && now - self.opened_at > CONNECT_TIMEOUT {
            return Err(ConnectionError::ConnectTimeout);
        }
        Ok(is_ready)
    }

    /// Reads and discards what the collector sends; only that it has closed matters.
    fn read(&mut self) -> Result<(), ConnectionError> {
        let mut buffer = [0; READ_BUFFER_OCTETS];
        for _ in 0..MAX_READS_PER_ROUND {
            match self.read_once(&mut buffer)? {
                Ok(0) => return Err(ConnectionError::Closed),
                Ok(_) => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                    return Ok(())
                }
                Err(e) => return Err(e.into()),
            }
        }
        Ok(())
    }

    /// Reads once from the socket. The outer error is that of TLS, the inner one that of the socket.
    fn read_once(&mut self, buffer: &mut [u8]) -> Result<io::Result<usize>, ConnectionError> {
        let Some(tls) = &mut self.tls else {
            return Ok(self.socket.read(buffer));
        };
        let read = tls.read_tls(&mut self.socket);
        if matches!(read, Ok(octets) if octets > 0) {
            tls.process_new_packets()?;
            // What the collector says is of no use.
            let _ = tls.reader().read(buffer);
        }
        Ok(read)
    }

    /// Writes what TLS has for the socket, and returns whether all of it is written.
    fn flush_tls(&mut self) -> Result<bool, ConnectionError> {
        let Some(tls) = &mut self.tls else {
            return Ok(true);
        };
        while tls.wants_write() {
            match tls.write_tls(&mut self.socket) {
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e.into()),
            }
        }
        Ok(true)
    }

    /// Sends queued messages, as many as the socket takes.
    ///
    /// # Errors
    /// The message at the front was not sent in full, and the connection is of no use any more.
    pub(crate) fn send(
        &mut self,
        now: Timestamp,
        queue: &mut SendQueue,
    ) -> Result<(), ConnectionError> {
        while let Some(message) = queue.front() {
            if !self.write(&message.octets)? {
                return Ok(());
            }
            self.recently_written.push_back(Written {
                at: now,
                observation_count: message.observation_count(),
            });
            self.forget_arrived(now);
            queue.pop_sent();
        }
        Ok(())
    }

    fn forget_arrived(&mut self, now: Timestamp) {
        while self
            .recently_written
            .front()
            .is_some_and(|written| now - written.at > IN_DOUBT_WINDOW)
        {
            self.recently_written.pop_front();
        }
    }

    /// Writes a message from where the last write of it ended, and returns whether all of it is written.
    fn write(&mut self, message: &[u8]) -> Result<bool, ConnectionError> {
        if !self.flush_tls()? {
            return Ok(false);
        }
        while self.written_octets < message.len() {
            let rest = &message[self.written_octets..];
            let written = match &mut self.tls {
                Some(tls) => tls.writer().write(rest),
                None => self.socket.write(rest),
            };
            match written {
                Ok(0) => return Ok(false),
                Ok(octets) => self.written_octets += octets,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e.into()),
            }
        }
        if !self.flush_tls()? {
            return Ok(false);
        }
        self.written_octets = 0;
        Ok(true)
    }

    /// How many attempts and requests were written so recently that they may not have arrived.
    pub(crate) fn in_doubt(&self, now: Timestamp) -> u64 {
        self.recently_written
            .iter()
            .filter(|written| now - written.at < IN_DOUBT_WINDOW)
            .map(|written| written.observation_count)
            .sum()
    }
}

fn is_in_progress(error: &io::Error) -> bool {
    error.raw_os_error() == Some(rustix::io::Errno::INPROGRESS.raw_os_error())
}
