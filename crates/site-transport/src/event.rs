//! What the transport reports.

use std::net::SocketAddr;

use harrierdock_site_messages::{GatewayName, PathId};

/// What closed a path, as far as it makes a difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// One end has announced that it closes the path.
    Orderly,
    /// One end did not accept the other one's certificate.
    CredentialsRefused,
    /// Anything else: silence, a fault in the handshake, a restart.
    Lost,
}

/// One event, in the order of occurrence.
#[derive(Debug, PartialEq)]
pub enum TransportEvent {
    /// A path is open: both ends have shown valid certificates.
    Opened {
        /// The path.
        path: PathId,
        /// The gateway at its other end.
        peer: GatewayName,
    },
    /// A path is closed, or one that was to be opened never was.
    Closed {
        /// The path.
        path: PathId,
        /// The gateway at its other end.
        peer: Option<GatewayName>,
        /// What closed it.
        cause: CloseCause,
        /// Why it is closed.
        reason: String,
    },
    /// Somebody was turned away before a path was open.
    Refused {
        /// The address of the other end.
        remote: SocketAddr,
        /// Why.
        reason: String,
    },
    /// A message was received.
    Message {
        /// The path it came on.
        path: PathId,
        /// The message.
        bytes: Vec<u8>,
    },
}
