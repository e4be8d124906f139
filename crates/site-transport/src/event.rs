//! Events that the transport reports to its caller.

use std::net::SocketAddr;

use harrierdock_site_messages::{GatewayName, PathId};

/// Why a path was closed, as far as callers need to distinguish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// One end closed the path deliberately.
    Orderly,
    /// One end rejected the other end's certificate.
    CredentialsRefused,
    /// Any other cause: idle timeout, failed handshake, restart of the peer.
    Lost,
}

/// One event. The transport reports events in the order in which they occur.
#[derive(Debug, PartialEq)]
pub enum TransportEvent {
    /// A path is open: both ends presented valid certificates.
    Opened {
        /// The path that opened.
        path: PathId,
        /// The gateway at the other end.
        peer: GatewayName,
    },
    /// A path was closed, or an attempt to open it failed.
    Closed {
        /// The path that closed or failed to open.
        path: PathId,
        /// The gateway at the other end, if it is known.
        peer: Option<GatewayName>,
        /// Who closed the path, or that it was lost.
        cause: CloseCause,
        /// Description of the cause, for the log.
        reason: String,
    },
    /// An inbound connection failed in its handshake, or this end refused the peer after the handshake.
    Refused {
        /// UDP address of the other end.
        remote: SocketAddr,
        /// Description of the cause, for the log.
        reason: String,
    },
    /// A message was received.
    Message {
        /// The path on which the message arrived.
        path: PathId,
        /// The whole message, still encoded.
        bytes: Vec<u8>,
    },
    /// A message was discarded because it is longer than `MAX_MESSAGE_BYTES`.
    MessageTooLong {
        /// The path on which the message arrived.
        path: PathId,
    },
}
