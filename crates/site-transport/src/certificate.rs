//! Certificates (X.509, RFC 5280). A gateway is named by the one DNS name of its certificate:
//! `gateway.site.harrierdock.internal`.

use std::fmt::Write;
use std::time::SystemTime;

use harrierdock_site_messages::GatewayName;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::CertificateDer;
use x509_parser::certificate::Validity;
use x509_parser::prelude::{FromDer, GeneralName, X509Certificate};

use crate::{CertificateError, LabelError};

/// What follows the names of a gateway and its site in a certificate.
const DOMAIN_SUFFIX: &str = ".harrierdock.internal";
/// The longest label of a DNS name (RFC 1035, 2.3.4).
pub(crate) const MAX_LABEL_LENGTH: usize = 63;
const SECONDS_PER_DAY: i64 = 86_400;

/// Checks that a name can be a label of a DNS name: small letters, digits and inner hyphens.
///
/// # Errors
/// It cannot.
pub fn check_label(name: &str) -> Result<(), LabelError> {
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    let is_label = !name.is_empty()
        && name.len() <= MAX_LABEL_LENGTH
        && name.bytes().all(is_allowed)
        && !name.starts_with('-')
        && !name.ends_with('-');
    if is_label {
        Ok(())
    } else {
        Err(LabelError { name: name.into() })
    }
}

/// The DNS name by which a certificate names a gateway.
pub(crate) fn dns_name(gateway: &GatewayName) -> String {
    format!("{}.{}{DOMAIN_SUFFIX}", gateway.gateway, gateway.site)
}

/// The certificates of a PEM text (RFC 7468), at least one.
pub(crate) fn read_certificates(
    pem: &[u8],
) -> Result<Vec<CertificateDer<'static>>, CertificateError> {
    let certificates: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    let certificates = certificates.map_err(CertificateError::Pem)?;
    if certificates.is_empty() {
        return Err(CertificateError::Missing);
    }
    Ok(certificates)
}

fn parse<'a>(certificate: &'a CertificateDer) -> Result<X509Certificate<'a>, CertificateError> {
    let (_, parsed) =
        X509Certificate::from_der(certificate).map_err(CertificateError::Malformed)?;
    Ok(parsed)
}

/// The gateway that a certificate names.
pub(crate) fn gateway_name(certificate: &CertificateDer) -> Result<GatewayName, CertificateError> {
    let parsed = parse(certificate)?;
    let extension = parsed
        .subject_alternative_name()
        .map_err(CertificateError::MalformedNames)?;
    let names = extension.iter().flat_map(|e| &e.value.general_names);
    let dns_names: Vec<&str> = names
        .filter_map(|name| match name {
            GeneralName::DNSName(name) => Some(*name),
            _ => None,
        })
        .collect();
    let [name] = dns_names[..] else {
        return Err(CertificateError::NotOneName {
            count: dns_names.len(),
        });
    };
    let labels = name
        .strip_suffix(DOMAIN_SUFFIX)
        .and_then(|labels| labels.split_once('.'));
    let (gateway, site) =
        labels.ok_or_else(|| CertificateError::NotAGateway { name: name.into() })?;
    check_label(gateway)?;
    check_label(site)?;
    Ok(GatewayName {
        site: site.into(),
        gateway: gateway.into(),
    })
}

/// Describes the certificates of a PEM text for operators, a line for each property, with their validity at this time.
///
/// # Errors
/// A certificate cannot be read.
pub fn describe_certificates(pem: &[u8], now: SystemTime) -> Result<String, CertificateError> {
    let unix_seconds = now
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |d| d.as_secs() as i64);
    let mut text = String::new();
    for certificate in read_certificates(pem)? {
        let parsed = parse(&certificate)?;
        let subject = if parsed.is_ca() {
            format!("authority    {}", parsed.subject())
        } else {
            match gateway_name(&certificate) {
                Ok(gateway) => format!("gateway      {gateway}"),
                Err(error) => format!("gateway      none: {error}"),
            }
        };
        let validity = parsed.validity();
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{subject}\nissuer       {}\nnot before   {}\nnot after    {}\nstate        {}",
            parsed.issuer(),
            validity.not_before,
            validity.not_after,
            validity_state(validity, unix_seconds),
        );
    }
    Ok(text)
}

fn validity_state(validity: &Validity, unix_seconds: i64) -> String {
    if unix_seconds < validity.not_before.timestamp() {
        "not yet valid".to_string()
    } else if unix_seconds > validity.not_after.timestamp() {
        "expired".to_string()
    } else {
        let days = (validity.not_after.timestamp() - unix_seconds) / SECONDS_PER_DAY;
        format!("valid, {days} days left")
    }
}
