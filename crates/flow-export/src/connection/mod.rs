//! The connection to a collector, over datagrams or a stream.

mod stream;
mod udp;

use std::io;

use harrierdock_types::Timestamp;
use thiserror::Error;

pub(crate) use stream::{StreamConnection, TlsSettings};
pub(crate) use udp::{UdpConnection, MAX_DATAGRAMS_PER_ROUND};

/// Why a connection is of no use any more.
#[derive(Debug, Error)]
pub(crate) enum ConnectionError {
    /// The system reports an error.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// TLS failed.
    #[error(transparent)]
    Tls(#[from] rustls::Error),
    /// The collector's name cannot stand in a certificate.
    #[error(transparent)]
    ServerName(#[from] rustls_pki_types::InvalidDnsNameError),
    /// The connection took too long to come up.
    #[error("does not come up")]
    ConnectTimeout,
    /// The collector closed the connection.
    #[error("has closed")]
    Closed,
}

/// A collector's connection.
pub(crate) enum Connection {
    Udp(UdpConnection),
    Stream(Box<StreamConnection>),
    /// Not connected until this point, when it is tried again.
    Backoff(Timestamp),
}

impl Connection {
    /// How many attempts and requests were written lately, and may be lost if the connection ends now.
    pub(crate) fn in_doubt(&self, now: Timestamp) -> u64 {
        match self {
            Connection::Stream(stream) => stream.in_doubt(now),
            Connection::Udp(_) | Connection::Backoff(_) => 0,
        }
    }
}
