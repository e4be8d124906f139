//! The encrypted link between the gateways of two sites: mutual TLS 1.3 (RFC 8446) in QUIC (RFC 9000, 9001,
//! datagrams by RFC 9221), as a state machine. Datagrams and points in time go in; datagrams and what was heard
//! come out. Nothing here opens a socket or a file, and nothing knows what a letter says.

pub mod keys;
mod transport;

pub use keys::Credentials;
pub use transport::{PathId, SiteTransport, TransportEvent};
