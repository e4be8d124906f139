//! One QUIC connection: its handshake, and the messages on it. A message is a stream of its own, or a datagram.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use harrierdock_site_messages::{GatewayName, PathId, MAX_MESSAGE_BYTES};
use quinn_proto::{
    Chunks, Connection, ConnectionError, ConnectionEvent, ConnectionHandle, Dir, Endpoint, Event,
    FinishError, ReadError, ReadableError, StreamEvent, StreamId, VarInt, WriteError,
};
use rustls_pki_types::CertificateDer;

use crate::certificate::gateway_name;
use crate::transport::OutgoingDatagrams;
use crate::{HandshakeError, TransportEvent};

/// The most bytes that wait to be sent on a connection.
pub(crate) const MAX_UNSENT_BYTES: usize = 4 << 20;

/// The error codes with which this program closes connections and stops streams.
const CLOSE_ORDERLY: u32 = 0;
const CLOSE_REFUSED: u32 = 1;
const STOP_NO_MESSAGE: u32 = 2;

/// A message on its stream.
struct OutgoingMessage {
    bytes: Bytes,
    sent_bytes: usize,
}

impl OutgoingMessage {
    fn unsent_bytes(&self) -> usize {
        self.bytes.len() - self.sent_bytes
    }
}

pub(crate) struct PathConnection {
    pub(crate) path: PathId,
    connection: Connection,
    /// The gateway that this end has connected to, or that has shown its certificate.
    peer: Option<GatewayName>,
    pub(crate) is_open: bool,
    receiving: HashMap<StreamId, Vec<u8>>,
    /// Messages whose streams take no more bytes for now.
    sending: BTreeMap<StreamId, OutgoingMessage>,
    /// Messages that wait for a stream.
    queued: VecDeque<Bytes>,
    /// The bytes of both.
    unsent_bytes: usize,
}

impl PathConnection {
    pub(crate) fn new(path: PathId, connection: Connection, peer: Option<GatewayName>) -> Self {
        PathConnection {
            path,
            connection,
            peer,
            is_open: false,
            receiving: HashMap::new(),
            sending: BTreeMap::new(),
            queued: VecDeque::new(),
            unsent_bytes: 0,
        }
    }

    pub(crate) fn handle_event(&mut self, event: ConnectionEvent) {
        self.connection.handle_event(event);
    }

    pub(crate) fn next_timeout(&mut self) -> Option<Instant> {
        self.connection.poll_timeout()
    }

    pub(crate) fn handle_timeout(&mut self, now: Instant) {
        self.connection.handle_timeout(now);
    }

    pub(crate) fn is_drained(&self) -> bool {
        self.connection.is_drained()
    }

    pub(crate) fn close_orderly(&mut self, now: Instant, reason: &str) {
        let reason = Bytes::copy_from_slice(reason.as_bytes());
        self.connection
            .close(now, VarInt::from_u32(CLOSE_ORDERLY), reason);
    }

    /// Whether a message fits a datagram.
    pub(crate) fn fits_datagram(&mut self, length: usize) -> bool {
        let max_size = self.connection.datagrams().max_size();
        max_size.is_some_and(|most| length <= most)
    }

    /// Sends a datagram. False if it cannot be.
    pub(crate) fn send_datagram(&mut self, bytes: Vec<u8>) -> bool {
        self.connection.datagrams().send(bytes.into(), true).is_ok()
    }

    /// Queues a message for a stream. False if too much waits already: the other end may take in nothing.
    pub(crate) fn queue_message(&mut self, bytes: Vec<u8>) -> bool {
        if self.unsent_bytes + bytes.len() > MAX_UNSENT_BYTES {
            return false;
        }
        self.unsent_bytes += bytes.len();
        self.queued.push_back(bytes.into());
        true
    }

    /// Writes waiting messages, as far as the other end takes them. True if any was written.
    pub(crate) fn write_messages(&mut self) -> bool {
        self.open_streams();
        let mut progressed = false;
        let mut finished = Vec::new();
        for (id, message) in &mut self.sending {
            let mut stream = self.connection.send_stream(*id);
            while message.unsent_bytes() > 0 {
                match stream.write(&message.bytes[message.sent_bytes..]) {
                    Ok(count) => {
                        message.sent_bytes += count;
                        self.unsent_bytes -= count;
                        progressed = true;
                    }
                    Err(WriteError::Blocked) => break,
                    Err(WriteError::Stopped(_) | WriteError::ClosedStream) => {
                        self.unsent_bytes -= message.unsent_bytes();
                        message.sent_bytes = message.bytes.len();
                    }
                }
            }
            if message.unsent_bytes() == 0 {
                match stream.finish() {
                    Ok(()) | Err(FinishError::Stopped(_) | FinishError::ClosedStream) => {
                        finished.push(*id);
                    }
                }
            }
        }
        for id in &finished {
            self.sending.remove(id);
        }
        progressed || !finished.is_empty()
    }

    fn open_streams(&mut self) {
        while !self.queued.is_empty() {
            let Some(id) = self.connection.streams().open(Dir::Uni) else {
                return;
            };
            if let Some(bytes) = self.queued.pop_front() {
                let message = OutgoingMessage {
                    bytes,
                    sent_bytes: 0,
                };
                self.sending.insert(id, message);
            }
        }
    }

    /// Collects the datagrams that the connection has for the socket, as far as the queue takes them. True if there was any.
    pub(crate) fn collect_datagrams(&mut self, now: Instant, out: &mut OutgoingDatagrams) -> bool {
        let mut progressed = false;
        let mut buffer = Vec::new();
        while !out.is_full() {
            buffer.clear();
            let Some(transmit) = self.connection.poll_transmit(now, 1, &mut buffer) else {
                break;
            };
            out.push(transmit.destination, &buffer[..transmit.size]);
            progressed = true;
        }
        progressed
    }

    /// Passes on what the connection has for its endpoint, and the answers. True if there was any.
    pub(crate) fn exchange_endpoint_events(
        &mut self,
        handle: ConnectionHandle,
        endpoint: &mut Endpoint,
    ) -> bool {
        let mut progressed = false;
        while let Some(event) = self.connection.poll_endpoint_events() {
            if let Some(answer) = endpoint.handle_event(handle, event) {
                self.connection.handle_event(answer);
            }
            progressed = true;
        }
        progressed
    }

    /// Handles what has happened on the connection. True if anything has.
    pub(crate) fn process_events(
        &mut self,
        now: Instant,
        other_site: &str,
        events: &mut VecDeque<TransportEvent>,
    ) -> bool {
        let mut progressed = false;
        while let Some(event) = self.connection.poll() {
            progressed = true;
            match event {
                Event::Connected => match self.authenticate(other_site) {
                    Ok(peer) => self.open(peer, events),
                    Err(error) => self.refuse(now, &error, events),
                },
                Event::ConnectionLost { reason } => self.lose(&reason, events),
                Event::Stream(event) => self.handle_stream_event(event, events),
                Event::DatagramReceived => {
                    while let Some(bytes) = self.connection.datagrams().recv() {
                        events.push_back(TransportEvent::Message {
                            path: self.path,
                            bytes: bytes.into(),
                        });
                    }
                }
                Event::HandshakeDataReady | Event::DatagramsUnblocked => {}
            }
        }
        progressed
    }

    /// The gateway that the other end's certificate names. Its signature was verified in the handshake.
    fn authenticate(&self, other_site: &str) -> Result<GatewayName, HandshakeError> {
        let identity = self.connection.crypto_session().peer_identity();
        let chain = identity.and_then(|any| any.downcast::<Vec<CertificateDer<'static>>>().ok());
        let certificate = chain.as_ref().and_then(|chain| chain.first());
        let certificate = certificate.ok_or(HandshakeError::NoCertificate)?;
        let gateway = gateway_name(certificate).map_err(HandshakeError::Certificate)?;
        if gateway.site != other_site {
            return Err(HandshakeError::WrongSite {
                gateway,
                other_site: other_site.into(),
            });
        }
        Ok(gateway)
    }

    fn open(&mut self, peer: GatewayName, events: &mut VecDeque<TransportEvent>) {
        self.is_open = true;
        self.peer = Some(peer.clone());
        events.push_back(TransportEvent::Opened {
            path: self.path,
            peer,
        });
    }

    /// Tells the other end why it is turned away, and closes the connection.
    fn refuse(
        &mut self,
        now: Instant,
        error: &HandshakeError,
        events: &mut VecDeque<TransportEvent>,
    ) {
        let reason = error.to_string();
        self.connection.close(
            now,
            VarInt::from_u32(CLOSE_REFUSED),
            Bytes::from(reason.clone().into_bytes()),
        );
        events.push_back(TransportEvent::Refused {
            remote: self.remote(),
            reason,
        });
        self.peer = None;
    }

    fn lose(&mut self, reason: &ConnectionError, events: &mut VecDeque<TransportEvent>) {
        let was_open = std::mem::take(&mut self.is_open);
        let peer = self.peer.take();
        let orderly = matches!(reason, ConnectionError::ApplicationClosed(close)
            if close.error_code == VarInt::from_u32(CLOSE_ORDERLY));
        let reason = reason.to_string();
        events.push_back(if was_open || peer.is_some() {
            TransportEvent::Closed {
                path: self.path,
                peer,
                orderly,
                reason,
            }
        } else {
            TransportEvent::Refused {
                remote: self.remote(),
                reason,
            }
        });
    }

    /// What to report once nothing is left of the connection, if its end was not reported before: this end has closed it.
    pub(crate) fn closed_here(&mut self) -> Option<TransportEvent> {
        if !self.is_open && self.peer.is_none() {
            return None;
        }
        Some(TransportEvent::Closed {
            path: self.path,
            peer: self.peer.take(),
            orderly: true,
            reason: "closed here".into(),
        })
    }

    fn remote(&self) -> SocketAddr {
        self.connection.remote_address()
    }

    fn handle_stream_event(&mut self, event: StreamEvent, events: &mut VecDeque<TransportEvent>) {
        match event {
            StreamEvent::Opened { dir: Dir::Uni } => {
                while let Some(id) = self.connection.streams().accept(Dir::Uni) {
                    self.receiving.insert(id, Vec::new());
                    self.read_stream(id, events);
                }
            }
            StreamEvent::Readable { id } => self.read_stream(id, events),
            StreamEvent::Stopped { id, .. } => {
                if let Some(message) = self.sending.remove(&id) {
                    self.unsent_bytes -= message.unsent_bytes();
                }
            }
            StreamEvent::Opened { dir: Dir::Bi }
            | StreamEvent::Writable { .. }
            | StreamEvent::Finished { .. }
            | StreamEvent::Available { .. } => {}
        }
    }

    fn read_stream(&mut self, id: StreamId, events: &mut VecDeque<TransportEvent>) {
        let Some(message) = self.receiving.get_mut(&id) else {
            return;
        };
        let mut stream = self.connection.recv_stream(id);
        let is_over = match stream.read(true) {
            Ok(mut chunks) => {
                let is_over = read_chunks(&mut chunks, message);
                // Timeouts and datagrams are polled after every event in any case.
                let _ = chunks.finalize();
                is_over
            }
            Err(ReadableError::ClosedStream | ReadableError::IllegalOrderedRead) => true,
        };
        if !is_over {
            return;
        }
        let message = self.receiving.remove(&id).unwrap_or_default();
        if message.is_empty() {
            // The stream may be gone already.
            let _ = self
                .connection
                .recv_stream(id)
                .stop(VarInt::from_u32(STOP_NO_MESSAGE));
        } else {
            events.push_back(TransportEvent::Message {
                path: self.path,
                bytes: message,
            });
        }
    }
}

/// Reads what has come of a message. True if nothing more comes; a message that is too long, or was reset, is then empty.
fn read_chunks(chunks: &mut Chunks, message: &mut Vec<u8>) -> bool {
    loop {
        match chunks.next(MAX_MESSAGE_BYTES) {
            Ok(Some(chunk)) if message.len() + chunk.bytes.len() <= MAX_MESSAGE_BYTES => {
                message.extend_from_slice(&chunk.bytes);
            }
            Ok(Some(_)) | Err(ReadError::Reset(_)) => {
                message.clear();
                return true;
            }
            Ok(None) => return true,
            Err(ReadError::Blocked) => return false,
        }
    }
}
