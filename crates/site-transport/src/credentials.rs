//! The credentials of one gateway.

use harrierdock_site_messages::GatewayName;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};

use crate::certificate::{gateway_name, read_certificates};
use crate::CredentialsError;

/// What a gateway shows, and whom it trusts.
pub struct Credentials {
    /// The certificates of the authority, whose signatures are trusted.
    pub authority: Vec<CertificateDer<'static>>,
    /// The gateway's certificate, and those that lead from it to the authority.
    pub chain: Vec<CertificateDer<'static>>,
    /// The gateway's private key.
    pub key: PrivateKeyDer<'static>,
    /// The gateway that the certificate names.
    pub gateway: GatewayName,
}

impl Credentials {
    /// Reads three PEM texts (RFC 7468): the authority's certificate, the gateway's certificate, and the gateway's key.
    ///
    /// # Errors
    /// One of the three cannot be read, or the certificate names no gateway.
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
