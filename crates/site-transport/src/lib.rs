//! The encrypted transport between gateways of two sites: mutual TLS 1.3 (RFC 8446) in QUIC (RFC 9000 and 9001, datagrams by
//! RFC 9221) as a state machine.
//!
//! UDP datagrams and points in time go in; datagrams and [`TransportEvent`]s come out. Nothing here opens a socket or a file, and
//! nothing knows what a message says.

#![warn(missing_docs, unreachable_pub)]

mod authority;
mod certificate;
mod connection;
mod credentials;
mod error;
mod event;
mod streams;
mod tls;
mod transport;

pub use authority::{create_authority, issue_certificate, CertificateAndKey, Validity};
pub use certificate::{check_label, describe_certificates};
pub use credentials::Credentials;
pub use error::{
    AuthorityError, CertificateError, ConnectError, CredentialsError, HandshakeError, LabelError,
    SetupError,
};
pub use event::{CloseCause, TransportEvent};
pub use harrierdock_site_messages::PathId;
pub use transport::{Delivery, SiteTransport};
