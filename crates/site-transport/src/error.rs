//! Errors of the transport and its credentials. The caller prefixes each message with the setting or file it concerns.

use harrierdock_site_messages::GatewayName;
use quinn_proto::crypto::rustls::NoInitialCipherSuite;
use rustls::server::VerifierBuilderError;
use rustls_pki_types::pem;
use thiserror::Error;
use x509_parser::error::X509Error;
use x509_parser::nom;

use crate::certificate::MAX_LABEL_LENGTH;
use crate::transport::MAX_CONNECTIONS;

/// A site or gateway name that is not a valid DNS label.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("'{name}' is no name: 1 to {MAX_LABEL_LENGTH} small letters, digits and inner hyphens")]
pub struct LabelError {
    /// The invalid name.
    pub name: String,
}

/// A certificate that is unusable.
#[derive(Debug, Error)]
pub enum CertificateError {
    /// The text is not valid PEM.
    #[error("{0}")]
    Pem(#[source] pem::Error),
    /// The PEM text contains no certificate.
    #[error("no certificate in PEM form")]
    Missing,
    /// The data is not an X.509 certificate.
    #[error("cannot be read: {0}")]
    Malformed(#[source] nom::Err<X509Error>),
    /// The subject alternative names cannot be parsed.
    #[error("cannot be read: {0}")]
    MalformedNames(#[source] X509Error),
    /// The certificate does not have exactly one DNS name.
    #[error("names {count} gateways, not one")]
    NotOneName {
        /// Number of DNS names in the certificate.
        count: usize,
    },
    /// The DNS name does not have the form of a gateway's name.
    #[error("names '{name}', which is no gateway")]
    NotAGateway {
        /// The DNS name of the certificate.
        name: String,
    },
    /// The gateway or site part of the DNS name is invalid.
    #[error(transparent)]
    Label(#[from] LabelError),
}

/// One of a gateway's three PEM texts is unusable.
#[derive(Debug, Error)]
pub enum CredentialsError {
    /// The authority's certificate is unusable.
    #[error("authority: {0}")]
    Authority(#[source] CertificateError),
    /// The gateway's certificate is unusable.
    #[error("certificate: {0}")]
    Certificate(#[source] CertificateError),
    /// The gateway's private key cannot be parsed.
    #[error("key: {0}")]
    Key(#[source] pem::Error),
}

/// An authority cannot be created, or cannot issue a certificate.
#[derive(Debug, Error)]
pub enum AuthorityError {
    /// The gateway or site name is not a valid DNS label.
    #[error(transparent)]
    Label(#[from] LabelError),
    /// The authority's key cannot be parsed.
    #[error("the authority's key: {0}")]
    Key(#[source] rcgen::Error),
    /// The authority's certificate cannot be parsed.
    #[error("the authority's certificate: {0}")]
    Certificate(#[source] rcgen::Error),
    /// The certificate or its key cannot be generated.
    #[error("{0}")]
    Generate(#[source] rcgen::Error),
}

/// The transport cannot be configured with its credentials.
#[derive(Debug, Error)]
pub enum SetupError {
    /// The authority's certificate cannot be used as a trust anchor.
    #[error("authority: {0}")]
    Authority(#[source] rustls::Error),
    /// The client certificate verifier cannot be built from the authority's certificates.
    #[error("authority: {0}")]
    Verifier(#[source] VerifierBuilderError),
    /// The gateway's certificate and key do not match.
    #[error("certificate and key: {0}")]
    CertificateAndKey(#[source] rustls::Error),
    /// The crypto provider does not support TLS 1.3.
    #[error("{0}")]
    Protocol(#[source] rustls::Error),
    /// The crypto provider lacks the initial cipher suite that QUIC requires.
    #[error("{0}")]
    CipherSuite(#[source] NoInitialCipherSuite),
}

/// A connection attempt failed before anything was sent.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConnectError {
    /// The connection limit is reached.
    #[error("connection limit of {MAX_CONNECTIONS} reached")]
    TooManyConnections,
    /// QUIC rejected the address or the server name.
    #[error("{0}")]
    Refused(#[source] quinn_proto::ConnectError),
}

/// The peer's certificate is rejected after a completed handshake.
///
/// Its text is sent to the peer as the close reason of the connection and therefore stays stable. This includes the texts of
/// [`CertificateError`] and [`LabelError`], which it contains.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The peer presented no certificate.
    #[error("certificate shows no certificate")]
    NoCertificate,
    /// The peer's certificate does not identify a gateway. `Pem` and `Missing` don't occur here, because QUIC passes the certificate
    /// in DER form.
    #[error("certificate {0}")]
    Certificate(#[source] CertificateError),
    /// The peer's certificate identifies a gateway of a site other than the expected one.
    #[error("certificate names {gateway}, no gateway of {other_site}")]
    WrongSite {
        /// The gateway that the certificate identifies.
        gateway: GatewayName,
        /// The only site whose gateways are accepted.
        other_site: String,
    },
}
