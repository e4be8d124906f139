//! A private certificate authority: creates its root certificate and issues gateway certificates.

use std::time::SystemTime;

use harrierdock_site_messages::GatewayName;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};

use crate::certificate::{check_label, dns_name};
use crate::AuthorityError;

/// A certificate and its private key, both PEM-encoded.
pub struct CertificateAndKey {
    /// The certificate, PEM-encoded.
    pub certificate: String,
    /// The private key, PEM-encoded.
    pub key: String,
}

/// The validity period of a certificate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Validity {
    /// Start of the period (`notBefore`).
    pub from: SystemTime,
    /// End of the period (`notAfter`).
    pub until: SystemTime,
}

impl Validity {
    fn apply(self, params: &mut CertificateParams) {
        params.not_before = self.from.into();
        params.not_after = self.until.into();
    }
}

/// Creates an authority: a self-signed certificate that may sign gateway certificates, but no further authorities.
///
/// # Errors
/// The key or the certificate cannot be generated.
pub fn create_authority(
    name: &str,
    validity: Validity,
) -> Result<CertificateAndKey, AuthorityError> {
    let create = || -> Result<CertificateAndKey, rcgen::Error> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(Vec::<String>::new())?;
        params.distinguished_name.push(DnType::CommonName, name);
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        validity.apply(&mut params);
        Ok(CertificateAndKey {
            certificate: params.self_signed(&key)?.pem(),
            key: key.serialize_pem(),
        })
    };
    create().map_err(AuthorityError::Generate)
}

/// Issues a gateway's certificate, signed by the authority.
///
/// # Errors
/// The site or gateway name is not a valid DNS label, or the authority cannot sign.
pub fn issue_certificate(
    authority: &CertificateAndKey,
    gateway: &GatewayName,
    validity: Validity,
) -> Result<CertificateAndKey, AuthorityError> {
    check_label(&gateway.site)?;
    check_label(&gateway.gateway)?;
    let signing_key = KeyPair::from_pem(&authority.key).map_err(AuthorityError::Key)?;
    let issuer = Issuer::from_ca_cert_pem(&authority.certificate, signing_key)
        .map_err(AuthorityError::Certificate)?;
    let issue = || -> Result<CertificateAndKey, rcgen::Error> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(vec![dns_name(gateway)])?;
        params
            .distinguished_name
            .push(DnType::CommonName, gateway.to_string());
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        params.use_authority_key_identifier_extension = true;
        validity.apply(&mut params);
        Ok(CertificateAndKey {
            certificate: params.signed_by(&key, &issuer)?.pem(),
            key: key.serialize_pem(),
        })
    };
    issue().map_err(AuthorityError::Generate)
}
