//! What is refused, and why. Messages are parts of one line that names the setting or the file before them.

use harrierdock_site_messages::GatewayName;
use quinn_proto::crypto::rustls::NoInitialCipherSuite;
use rustls::server::VerifierBuilderError;
use rustls_pki_types::pem;
use thiserror::Error;
use x509_parser::error::X509Error;
use x509_parser::nom;

use crate::certificate::MAX_LABEL_LENGTH;
use crate::transport::MAX_CONNECTIONS;

/// A name that cannot be a label of a DNS name.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("'{name}' is no name: 1 to {MAX_LABEL_LENGTH} small letters, digits and inner hyphens")]
pub struct LabelError {
    /// The name.
    pub name: String,
}

/// Why a certificate is of no use.
#[derive(Debug, Error)]
pub enum CertificateError {
    /// The text is no PEM.
    #[error("{0}")]
    Pem(#[source] pem::Error),
    /// The PEM text has no certificate.
    #[error("no certificate in PEM form")]
    Missing,
    /// It is no X.509 certificate.
    #[error("cannot be read: {0}")]
    Malformed(#[source] nom::Err<X509Error>),
    /// Its alternative names cannot be read.
    #[error("cannot be read: {0}")]
    MalformedNames(#[source] X509Error),
    /// It names no gateway, or several.
    #[error("names {count} gateways, not one")]
    NotOneName {
        /// How many DNS names it has.
        count: usize,
    },
    /// Its DNS name is not that of a gateway.
    #[error("names '{name}', which is no gateway")]
    NotAGateway {
        /// The DNS name.
        name: String,
    },
    /// It names a gateway or a site that cannot be.
    #[error(transparent)]
    Label(#[from] LabelError),
}

/// Which of the three PEM texts of a gateway is of no use, and why.
#[derive(Debug, Error)]
pub enum CredentialsError {
    /// The authority's certificate.
    #[error("authority: {0}")]
    Authority(#[source] CertificateError),
    /// The gateway's certificate.
    #[error("certificate: {0}")]
    Certificate(#[source] CertificateError),
    /// The gateway's key.
    #[error("key: {0}")]
    Key(#[source] pem::Error),
}

/// Why an authority cannot be created, or cannot issue a certificate.
#[derive(Debug, Error)]
pub enum AuthorityError {
    /// The gateway or its site has a name that no certificate can have.
    #[error(transparent)]
    Label(#[from] LabelError),
    /// The authority's key cannot be read.
    #[error("the authority's key: {0}")]
    Key(#[source] rcgen::Error),
    /// The authority's certificate cannot be read.
    #[error("the authority's certificate: {0}")]
    Certificate(#[source] rcgen::Error),
    /// The certificate or its key cannot be made.
    #[error("{0}")]
    Generate(#[source] rcgen::Error),
}

/// Why a transport cannot use its credentials.
#[derive(Debug, Error)]
pub enum SetupError {
    /// The authority's certificate cannot be trusted.
    #[error("authority: {0}")]
    Authority(#[source] rustls::Error),
    /// No verifier can be made of the authority's certificates.
    #[error("authority: {0}")]
    Verifier(#[source] VerifierBuilderError),
    /// The gateway's certificate and key do not fit together.
    #[error("certificate and key: {0}")]
    CertificateAndKey(#[source] rustls::Error),
    /// TLS 1.3 is not provided.
    #[error("{0}")]
    Protocol(#[source] rustls::Error),
    /// TLS has no cipher suite that QUIC needs.
    #[error("{0}")]
    CipherSuite(#[source] NoInitialCipherSuite),
}

/// Why a connection cannot even be tried.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConnectError {
    /// There are as many connections as there may be.
    #[error("{MAX_CONNECTIONS} connections already")]
    TooManyConnections,
    /// QUIC refuses the address or the name.
    #[error("{0}")]
    Refused(#[source] quinn_proto::ConnectError),
}

/// Why the other end of a connection is turned away after its handshake.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// It has shown no certificate.
    #[error("certificate shows no certificate")]
    NoCertificate,
    /// Its certificate names no gateway.
    #[error("certificate {0}")]
    Certificate(#[source] CertificateError),
    /// Its certificate names a gateway of another site.
    #[error("certificate names {gateway}, no gateway of {other_site}")]
    WrongSite {
        /// The gateway that it names.
        gateway: GatewayName,
        /// The site whose gateways are accepted.
        other_site: String,
    },
}
