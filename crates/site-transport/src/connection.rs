//! One QUIC connection: its handshake, peer authentication, datagrams and close.

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
use crate::streams::{MessageStreams, ReceivedMessage};
use crate::transport::OutgoingDatagrams;
use crate::{CloseCause, HandshakeError, TransportEvent};

/// Application error codes (QUIC) with which gateways close connections.
const CLOSE_ORDERLY: u32 = 0;
const CLOSE_REFUSED: u32 = 1;
/// TLS alerts (RFC 8446, section 6) that reject a certificate: bad_certificate to certificate_unknown, unknown_ca,
/// access_denied, decrypt_error (wrong signature), certificate_required.
const CERTIFICATE_ALERTS: [u8; 9] = [42, 43, 44, 45, 46, 48, 49, 51, 116];

/// The QUIC connection of one path.
pub(crate) struct PathConnection {
    pub(crate) path: PathId,
    connection: Connection,
    /// The gateway that this end connects to, or that has authenticated. `None` for an inbound connection in its handshake, and
    /// after the connection was refused or lost.
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

    /// Whether a message of this length in bytes fits into a datagram.
    pub(crate) fn fits_datagram(&mut self, length: usize) -> bool {
        let max_size = self.connection.datagrams().max_size();
        max_size.is_some_and(|max_length| length <= max_length)
    }

    /// Queues a datagram for sending. Returns false if it is too large or the peer accepts no datagrams.
    pub(crate) fn send_datagram(&mut self, bytes: Vec<u8>) -> bool {
        self.connection.datagrams().send(bytes.into(), true).is_ok()
    }

    /// Queues a message for a stream. Returns false if the send buffer is full.
    pub(crate) fn queue_message(&mut self, bytes: Vec<u8>) -> bool {
        self.streams.queue(bytes)
    }

    /// Writes queued messages as far as flow control permits. Returns true if any bytes were written or a message was finished.
    pub(crate) fn write_messages(&mut self) -> bool {
        self.streams.write(&mut self.connection)
    }

    /// Moves outgoing datagrams into the socket queue until it is full. Returns true if any datagram was moved.
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

    /// Passes the connection's events to its QUIC endpoint, and the responses back. Returns true if any event was pending.
    pub(crate) fn exchange_endpoint_events(
        &mut self,
        handle: ConnectionHandle,
        endpoint: &mut Endpoint,
    ) -> bool {
        let mut progressed = false;
        while let Some(event) = self.connection.poll_endpoint_events() {
            if let Some(response) = endpoint.handle_event(handle, event) {
                self.connection.handle_event(response);
            }
            progressed = true;
        }
        progressed
    }

    /// Handles the connection's pending events and reports them to the caller. Returns true if any event was pending.
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
                    Ok(peer) => self.report_opened(peer, events),
                    Err(error) => self.refuse(now, &error, events),
                },
                Event::ConnectionLost { reason } => self.report_lost(&reason, events),
                Event::Stream(event) => {
                    for message in self.streams.handle_event(&mut self.connection, event) {
                        events.push_back(match message {
                            ReceivedMessage::Complete(bytes) => self.message_event(bytes),
                            ReceivedMessage::TooLong => {
                                TransportEvent::MessageTooLong { path: self.path }
                            }
                        });
                    }
                }
                Event::DatagramReceived => {
                    while let Some(bytes) = self.connection.datagrams().recv() {
                        events.push_back(self.message_event(bytes.into()));
                    }
                }
                Event::HandshakeDataReady | Event::DatagramsUnblocked => {}
            }
        }
        progressed
    }

    /// Returns the gateway that the peer's certificate identifies. The handshake has verified the certificate's signature.
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

    fn report_opened(&mut self, peer: GatewayName, events: &mut VecDeque<TransportEvent>) {
        self.is_open = true;
        self.peer = Some(peer.clone());
        events.push_back(TransportEvent::Opened {
            path: self.path,
            peer,
        });
    }

    /// Closes the connection because the peer is not accepted, and sends the text of the error to the peer.
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
            remote: self.remote_address(),
            reason,
        });
        self.peer = None;
    }

    fn report_lost(&mut self, reason: &ConnectionError, events: &mut VecDeque<TransportEvent>) {
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
                remote: self.remote_address(),
                reason,
            }
        });
    }

    /// Returns the event for a drained connection that this end closed; `None` if its close was already reported.
    pub(crate) fn take_local_close_event(&mut self) -> Option<TransportEvent> {
        if !self.is_open && self.peer.is_none() {
            return None;
        }
        Some(TransportEvent::Closed {
            path: self.path,
            peer: self.peer.take(),
            cause: CloseCause::Orderly,
            reason: "closed locally".into(),
        })
    }

    fn message_event(&self, bytes: Vec<u8>) -> TransportEvent {
        TransportEvent::Message {
            path: self.path,
            bytes,
        }
    }

    fn remote_address(&self) -> SocketAddr {
        self.connection.remote_address()
    }
}

/// Classifies a connection error by its error code.
fn close_cause(error: &ConnectionError) -> CloseCause {
    let is_certificate_alert = |code: TransportErrorCode| {
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
        ConnectionError::TransportError(error) if is_certificate_alert(error.code) => {
            CloseCause::CredentialsRefused
        }
        ConnectionError::ConnectionClosed(close) if is_certificate_alert(close.error_code) => {
            CloseCause::CredentialsRefused
        }
        _ => CloseCause::Lost,
    }
}
