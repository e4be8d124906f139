//! A connection over TCP, with or without TLS.

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
/// Messages written within this time before a connection breaks may not have arrived.
const IN_DOUBT_WINDOW: TimeDelta = TimeDelta::from_millis(1000);
const READ_BUFFER_OCTETS: usize = 4096;
/// The maximum number of reads per round, so that a collector that sends endlessly does not block the event loop.
const MAX_READS_PER_ROUND: usize = 16;

/// The TLS client configuration for one collector, and the name expected in its certificate.
pub(crate) struct TlsSettings {
    config: Arc<ClientConfig>,
    server_name: String,
}

impl TlsSettings {
    /// Creates a TLS 1.3 configuration with the certificates and key for the collector.
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

/// The number of attempts and requests in a written message.
struct WrittenMessage {
    written_at: Timestamp,
    observation_count: u64,
}

/// A connection over TCP, with or without TLS.
pub(crate) struct StreamConnection {
    socket: TcpStream,
    opened_at: Timestamp,
    is_connected: bool,
    tls: Option<ClientConnection>,
    /// Octets of the first queued message that are already written.
    written_octets: usize,
    recently_written: VecDeque<WrittenMessage>,
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

    /// Drives connecting and the TLS handshake. Returns whether messages can be written.
    ///
    /// # Errors
    /// The connection failed.
    pub(crate) fn poll_ready(&mut self, now: Timestamp) -> Result<bool, ConnectionError> {
        if let Ok(Some(e)) | Err(e) = self.socket.take_error() {
            return Err(e.into());
        }
        if !self.is_connected {
            self.is_connected = self.socket.peer_addr().is_ok();
        }
        if self.is_connected {
            self.read_and_discard()?;
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

    /// Reads to detect a close by the collector. The received data is discarded.
    fn read_and_discard(&mut self) -> Result<(), ConnectionError> {
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

    /// Reads once from the socket. The outer error comes from TLS, the inner one from the socket.
    fn read_once(&mut self, buffer: &mut [u8]) -> Result<io::Result<usize>, ConnectionError> {
        let Some(tls) = &mut self.tls else {
            return Ok(self.socket.read(buffer));
        };
        let read = tls.read_tls(&mut self.socket);
        if matches!(read, Ok(octets) if octets > 0) {
            tls.process_new_packets()?;
            // Data from the collector is discarded.
            let _ = tls.reader().read(buffer);
        }
        Ok(read)
    }

    /// Writes pending TLS output to the socket. Returns whether all of it is written.
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

    /// Sends queued messages until the socket would block.
    ///
    /// # Errors
    /// The connection failed. The first queued message was not sent completely.
    pub(crate) fn send(
        &mut self,
        now: Timestamp,
        queue: &mut SendQueue,
    ) -> Result<(), ConnectionError> {
        while let Some(message) = queue.front() {
            if !self.write(&message.octets)? {
                return Ok(());
            }
            self.recently_written.push_back(WrittenMessage {
                written_at: now,
                observation_count: message.observation_count(),
            });
            self.prune_recently_written(now);
            queue.pop_sent();
        }
        Ok(())
    }

    fn prune_recently_written(&mut self, now: Timestamp) {
        while self
            .recently_written
            .front()
            .is_some_and(|message| now - message.written_at > IN_DOUBT_WINDOW)
        {
            self.recently_written.pop_front();
        }
    }

    /// Writes the unwritten rest of a message. Returns whether all of it is written.
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

    /// Returns the attempts and requests written so recently that they may not have arrived.
    pub(crate) fn in_doubt(&self, now: Timestamp) -> u64 {
        self.recently_written
            .iter()
            .filter(|message| now - message.written_at < IN_DOUBT_WINDOW)
            .map(|message| message.observation_count)
            .sum()
    }
}

fn is_in_progress(error: &io::Error) -> bool {
    error.raw_os_error() == Some(rustix::io::Errno::INPROGRESS.raw_os_error())
}
