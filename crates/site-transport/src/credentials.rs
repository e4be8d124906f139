//! The certificates and private key that a gateway uses for connections to the other site.

use harrierdock_site_messages::GatewayName;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};

use crate::certificate::{gateway_name, read_certificates};
use crate::CredentialsError;

/// A gateway's own certificate chain and key, and the authority that it trusts.
pub struct Credentials {
    /// The certificates of the trusted authority.
    pub authority: Vec<CertificateDer<'static>>,
    /// The gateway's certificate, followed by any intermediate certificates up to the authority.
    pub chain: Vec<CertificateDer<'static>>,
    /// The gateway's private key.
    pub key: PrivateKeyDer<'static>,
    /// The gateway that the certificate identifies.
    pub gateway: GatewayName,
}

impl Credentials {
    /// Parses three PEM texts (RFC 7468): the authority's certificate, the gateway's certificate and the gateway's key.
    ///
    /// # Errors
    /// One of the three cannot be parsed, or the certificate does not identify a gateway.
    pub fn read(
        authority: &[u8],
        certificate: &[u8],
        key: &[u8],
    ) -> Result<Credentials, CredentialsError> {
        let chain = read_certificates(certificate).map_err(CredentialsError::Certificate)?;
        Ok(Credentials {
            authority: read_certificates(authority).map_err(CredentialsError::Authority)?,
            gateway: gateway_name(&chain[0]).map_err(CredentialsError::Certificate)?,
            chain,
            key: PrivateKeyDer::from_pem_slice(key).map_err(CredentialsError::Key)?,
        })
    }
}
