//! Reads certificates (X.509, RFC 5280). A gateway's certificate has exactly one DNS name, which identifies the gateway:
//! `gateway.site.harrierdock.internal`.

use std::fmt::Write;
use std::time::SystemTime;

use harrierdock_site_messages::GatewayName;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::CertificateDer;
use x509_parser::certificate::Validity;
use x509_parser::prelude::{FromDer, GeneralName, X509Certificate};

use crate::{CertificateError, LabelError};

/// Domain of the DNS names in gateway certificates.
const DOMAIN_SUFFIX: &str = ".harrierdock.internal";
/// Maximum length of a DNS label in octets (RFC 1035, 2.3.4).
pub(crate) const MAX_LABEL_LENGTH: usize = 63;
const SECONDS_PER_DAY: i64 = 86_400;

/// Checks that a name is a valid DNS label: lowercase letters, digits and inner hyphens.
///
/// # Errors
/// The name is empty, too long, or contains other characters.
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

/// The DNS name of a gateway in its certificate.
pub(crate) fn dns_name(gateway: &GatewayName) -> String {
    format!("{}.{}{DOMAIN_SUFFIX}", gateway.gateway, gateway.site)
}

/// Reads all certificates of a PEM text (RFC 7468). A text without certificates is an error.
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

fn parse_certificate<'a>(
    certificate: &'a CertificateDer,
) -> Result<X509Certificate<'a>, CertificateError> {
    let (_, parsed) =
        X509Certificate::from_der(certificate).map_err(CertificateError::Malformed)?;
    Ok(parsed)
}

/// Returns the gateway that a certificate identifies.
pub(crate) fn gateway_name(certificate: &CertificateDer) -> Result<GatewayName, CertificateError> {
    let parsed = parse_certificate(certificate)?;
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

/// Describes each certificate of a PEM text for operators: one line per property, including whether it is valid at `now`.
///
/// # Errors
/// The text contains no certificate, or one that cannot be parsed.
pub fn describe_certificates(pem: &[u8], now: SystemTime) -> Result<String, CertificateError> {
    let now_unix_seconds = now
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |d| d.as_secs() as i64);
    let mut text = String::new();
    for certificate in read_certificates(pem)? {
        let parsed = parse_certificate(&certificate)?;
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
            validity_state(validity, now_unix_seconds),
        );
    }
    Ok(text)
}

fn validity_state(validity: &Validity, now_unix_seconds: i64) -> String {
    if now_unix_seconds < validity.not_before.timestamp() {
        "not yet valid".to_string()
    } else if now_unix_seconds > validity.not_after.timestamp() {
        "expired".to_string()
    } else {
        let days = (validity.not_after.timestamp() - now_unix_seconds) / SECONDS_PER_DAY;
        format!("valid, {days} days left")
    }
}
