//! The connection to a collector, over UDP or a stream.

mod stream;
mod udp;

use std::io;

use harrierdock_types::Timestamp;
use thiserror::Error;

pub(crate) use stream::{StreamConnection, TlsSettings};
pub(crate) use udp::{UdpConnection, MAX_DATAGRAMS_PER_ROUND};

/// Why a connection failed.
#[derive(Debug, Error)]
pub(crate) enum ConnectionError {
    /// An error of the operating system.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A TLS error.
    #[error(transparent)]
    Tls(#[from] rustls::Error),
    /// The collector's `server_name` is neither a DNS name nor an IP address.
    #[error(transparent)]
    ServerName(#[from] rustls_pki_types::InvalidDnsNameError),
    /// The connection was not established in time.
    #[error("connection timed out")]
    ConnectTimeout,
    /// The collector closed the connection.
    #[error("closed by the collector")]
    Closed,
}

/// A collector's connection.
pub(crate) enum Connection {
    Udp(UdpConnection),
    Stream(Box<StreamConnection>),
    /// Disconnected; the next connection attempt is at this time.
    Backoff(Timestamp),
}

impl Connection {
    /// Returns the attempts and requests written recently, which may be lost if the connection is closed now.
    pub(crate) fn in_doubt(&self, now: Timestamp) -> u64 {
        match self {
            Connection::Stream(stream) => stream.in_doubt(now),
            Connection::Udp(_) | Connection::Backoff(_) => 0,
        }
    }
}
