//! The transport protocols on which a collector listens.

use std::str::FromStr;

use thiserror::Error;

/// How flow messages reach a collector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CollectorTransport {
    /// One message in a datagram.
    Udp,
    /// Messages in a stream.
    Tcp,
    /// Messages in a stream, with TLS in both directions.
    Tls,
}

const NAMES: [(CollectorTransport, &str); 3] = [
    (CollectorTransport::Udp, "udp"),
    (CollectorTransport::Tcp, "tcp"),
    (CollectorTransport::Tls, "tls"),
];

impl CollectorTransport {
    /// Its name on the command line and in a gateway's settings.
    pub fn name(self) -> &'static str {
        NAMES
            .iter()
            .find(|(transport, _)| *transport == self)
            .map_or("", |(_, name)| name)
    }
}

/// No transport has this name.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("'{name}' is none of udp, tcp, tls")]
pub struct UnknownTransport {
    /// What was given.
    pub name: String,
}

impl FromStr for CollectorTransport {
    type Err = UnknownTransport;

    fn from_str(text: &str) -> Result<CollectorTransport, UnknownTransport> {
        NAMES
            .iter()
            .find(|(_, name)| *name == text)
            .map(|(transport, _)| *transport)
            .ok_or_else(|| UnknownTransport { name: text.into() })
    }
}
