//! One QUIC connection: from its handshake to its end, with the datagrams on it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use harrierdock_site_messages::{GatewayName, PathId};
use quinn_proto::{
    Connection, ConnectionError, ConnectionEvent, ConnectionHandle, Endpoint, Event,
    TransportErrorCode, VarInt,
};
use rustls_pki_types::CertificateDer;

use crate::certificate::gateway_name;
use crate::streams::MessageStreams;
use crate::transport::OutgoingDatagrams;
use crate::{CloseCause, HandshakeError, TransportEvent};

/// The error codes with which this program closes connections.
const CLOSE_ORDERLY: u32 = 0;
const CLOSE_REFUSED: u32 = 1;
/// The TLS alerts (RFC 8446, section 6) by which an end refuses a certificate: bad_certificate to certificate_unknown,
/// unknown_ca, access_denied, decrypt_error for a wrong signature, certificate_required.
const CERTIFICATE_ALERTS: [u8; 9] = [42, 43, 44, 45, 46, 48, 49, 51, 116];

pub(crate) struct PathConnection {
    pub(crate) path: PathId,
    connection: Connection,
    /// The gateway that this end has connected to, or that has shown its certificate.
    peer: Option<GatewayName>,
    pub(crate) is_open: bool,
    streams: MessageStreams,
}

impl PathConnection {
    pub(crate) fn new(path: PathId, connection: Connection, peer: Option<GatewayName>) -> Self {
        PathConnection {
            path,
            connection,
            peer,
            is_open: false,
            streams: MessageStreams::default(),
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

    /// Queues a message for a stream. False if too much waits already.
    pub(crate) fn queue_message(&mut self, bytes: Vec<u8>) -> bool {
        self.streams.queue(bytes)
    }

    /// Writes waiting messages, as far as the other end takes them. True if any was written.
    pub(crate) fn write_messages(&mut self) -> bool {
        self.streams.write(&mut self.connection)
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
                Event::Stream(event) => {
                    for bytes in self.streams.handle_event(&mut self.connection, event) {
                        events.push_back(self.message(bytes));
                    }
                }
                Event::DatagramReceived => {
                    while let Some(bytes) = self.connection.datagrams().recv() {
                        events.push_back(self.message(bytes.into()));
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
        let cause = close_cause(reason);
        let reason = reason.to_string();
        events.push_back(if was_open || peer.is_some() {
            TransportEvent::Closed {
                path: self.path,
                peer,
                cause,
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
            cause: CloseCause::Orderly,
            reason: "closed here".into(),
        })
    }

    fn message(&self, bytes: Vec<u8>) -> TransportEvent {
        TransportEvent::Message {
            path: self.path,
            bytes,
        }
    }

    fn remote(&self) -> SocketAddr {
        self.connection.remote_address()
    }
}

/// What closed a connection, by the codes that both ends know.
fn close_cause(error: &ConnectionError) -> CloseCause {
    let refuses_certificate = |code: TransportErrorCode| {
        let mut alerts = CERTIFICATE_ALERTS.into_iter();
        alerts.any(|alert| code == TransportErrorCode::crypto(alert))
    };
    match error {
        ConnectionError::ApplicationClosed(close)
            if close.error_code == VarInt::from_u32(CLOSE_ORDERLY) =>
        {
            CloseCause::Orderly
        }
        ConnectionError::ApplicationClosed(close)
            if close.error_code == VarInt::from_u32(CLOSE_REFUSED) =>
        {
            CloseCause::CredentialsRefused
        }
        ConnectionError::TransportError(error) if refuses_certificate(error.code) => {
            CloseCause::CredentialsRefused
        }
        ConnectionError::ConnectionClosed(close) if refuses_certificate(close.error_code) => {
            CloseCause::CredentialsRefused
        }
        _ => CloseCause::Lost,
    }
}
