//! The transport protocols of flow export.

use std::str::FromStr;

use thiserror::Error;

/// How flow messages reach a collector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CollectorTransport {
    /// One message per datagram.
    Udp,
    /// A stream of messages.
    Tcp,
    /// A stream of messages over TLS, with certificates on both sides.
    Tls,
}

const NAMES: [(CollectorTransport, &str); 3] = [
    (CollectorTransport::Udp, "udp"),
    (CollectorTransport::Tcp, "tcp"),
    (CollectorTransport::Tls, "tls"),
];

impl CollectorTransport {
    /// The transport's name on the command line and in a gateway's settings.
    pub fn name(self) -> &'static str {
        NAMES
            .iter()
            .find(|(transport, _)| *transport == self)
            .map_or("", |(_, name)| name)
    }
}

/// A name is none of the transport names.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("'{name}' is not a transport: expected udp, tcp or tls")]
pub struct UnknownTransport {
    /// The unknown name.
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
