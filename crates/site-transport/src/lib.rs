//! Encrypted transport between gateways of two sites: mutual TLS 1.3 (RFC 8446) over QUIC (RFC 9000 and 9001, datagrams per
//! RFC 9221), as a state machine without I/O.
//!
//! The caller passes in UDP datagrams and the current time, and takes out datagrams and [`TransportEvent`]s. This crate opens
//! no sockets or files, and treats messages as opaque bytes.

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
