//! Keys and certificates (X.509, RFC 5280): reading them, checking whom they name, and a small private
//! authority. A gateway is named by one DNS name in its certificate: `gateway.site.harrierdock.internal`.

use std::fmt::Write;
use std::time::SystemTime;

use harrierdock_site_messages::GatewayName;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use x509_parser::prelude::{FromDer, GeneralName, X509Certificate};

/// What follows a gateway's name and its site's in a certificate.
const SUFFIX: &str = ".harrierdock.internal";
/// The longest label of a DNS name (RFC 1035, 2.3.4).
const LABEL_MOST: usize = 63;

/// What a gateway shows, and whom it believes.
pub struct Credentials {
    pub authority: Vec<CertificateDer<'static>>,
    pub chain: Vec<CertificateDer<'static>>,
    pub key: PrivateKeyDer<'static>,
    /// Whom the certificate names.
    pub party: GatewayName,
}

impl Credentials {
    /// Reads PEM texts (RFC 7468): the authority's certificate, the gateway's, and the gateway's key.
    ///
    /// # Errors
    /// Says which of the three cannot be read, and why.
    pub fn read(authority: &[u8], certificate: &[u8], key: &[u8]) -> Result<Credentials, String> {
        let chain = certificates(certificate).map_err(|e| format!("certificate: {e}"))?;
        Ok(Credentials {
            authority: certificates(authority).map_err(|e| format!("authority: {e}"))?,
            party: party(&chain[0]).map_err(|e| format!("certificate: {e}"))?,
            chain,
            key: PrivateKeyDer::from_pem_slice(key).map_err(|e| format!("key: {e}"))?,
        })
    }

    /// The same once more; keys are not cloned by accident.
    pub fn copy(&self) -> Credentials {
        Credentials {
            authority: self.authority.clone(),
            chain: self.chain.clone(),
            key: self.key.clone_key(),
            party: self.party.clone(),
        }
    }
}

fn certificates(pem: &[u8]) -> Result<Vec<CertificateDer<'static>>, String> {
    let all: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    let all = all.map_err(|e| e.to_string())?;
    if all.is_empty() {
        return Err("no certificate in PEM form".into());
    }
    Ok(all)
}

/// Whether a name can be a label: small letters, digits and inner hyphens.
///
/// # Errors
/// Says what is wrong with it.
pub fn label(name: &str) -> Result<(), String> {
    let plain = name
        .bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
    if name.is_empty()
        || name.len() > LABEL_MOST
        || !plain
        || name.starts_with('-')
        || name.ends_with('-')
    {
        return Err(format!(
            "'{name}' is no name: 1 to {LABEL_MOST} small letters, digits and inner hyphens"
        ));
    }
    Ok(())
}

/// The DNS name by which a certificate names a gateway.
pub fn dns_name(party: &GatewayName) -> String {
    format!("{}.{}{SUFFIX}", party.gateway, party.site)
}

/// Whom a certificate names.
///
/// # Errors
/// Says what it names instead, or that it cannot be read.
pub fn party(certificate: &CertificateDer) -> Result<GatewayName, String> {
    let (_, parsed) =
        X509Certificate::from_der(certificate).map_err(|e| format!("cannot be read: {e}"))?;
    let names = parsed
        .subject_alternative_name()
        .map_err(|e| format!("cannot be read: {e}"))?;
    let names = names.into_iter().flat_map(|n| &n.value.general_names);
    let dns: Vec<&str> = names
        .filter_map(|n| {
            if let GeneralName::DNSName(name) = n {
                Some(*name)
            } else {
                None
            }
        })
        .collect();
    let [name] = dns[..] else {
        return Err(format!("names {} gateways, not one", dns.len()));
    };
    let parts = name.strip_suffix(SUFFIX).and_then(|n| n.split_once('.'));
    let (gateway, site) = parts.ok_or_else(|| format!("names '{name}', which is no gateway"))?;
    label(gateway).and(label(site))?;
    Ok(GatewayName {
        site: site.into(),
        gateway: gateway.into(),
    })
}

/// A certificate and its key, as PEM.
pub struct Pair {
    pub certificate: String,
    pub key: String,
}

fn valid(params: &mut CertificateParams, from: SystemTime, until: SystemTime) {
    (params.not_before, params.not_after) = (from.into(), until.into());
}

/// Makes a private authority (a self-signed certificate that may sign others).
///
/// # Errors
/// Says why none could be made.
pub fn authority(name: &str, from: SystemTime, until: SystemTime) -> Result<Pair, String> {
    let make = || -> Result<Pair, rcgen::Error> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(Vec::<String>::new())?;
        params.distinguished_name.push(DnType::CommonName, name);
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        valid(&mut params, from, until);
        Ok(Pair {
            certificate: params.self_signed(&key)?.pem(),
            key: key.serialize_pem(),
        })
    };
    make().map_err(|e| e.to_string())
}

/// Issues a gateway's certificate, signed by the authority.
///
/// # Errors
/// Says which name is none, or why the authority cannot sign.
pub fn issue(
    authority: &Pair,
    party: &GatewayName,
    from: SystemTime,
    until: SystemTime,
) -> Result<Pair, String> {
    label(&party.site).and(label(&party.gateway))?;
    let signer =
        KeyPair::from_pem(&authority.key).map_err(|e| format!("the authority's key: {e}"))?;
    let issuer = Issuer::from_ca_cert_pem(&authority.certificate, signer)
        .map_err(|e| format!("the authority's certificate: {e}"))?;
    let make = || -> Result<Pair, rcgen::Error> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(vec![dns_name(party)])?;
        params
            .distinguished_name
            .push(DnType::CommonName, party.to_string());
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        params.use_authority_key_identifier_extension = true;
        valid(&mut params, from, until);
        Ok(Pair {
            certificate: params.signed_by(&key, &issuer)?.pem(),
            key: key.serialize_pem(),
        })
    };
    make().map_err(|e| e.to_string())
}

/// What a certificate says, a line for each thing, and whether it is valid at this time.
///
/// # Errors
/// Says why it cannot be read.
pub fn show(pem: &[u8], now: SystemTime) -> Result<String, String> {
    let mut text = String::new();
    for der in certificates(pem)? {
        let (_, parsed) =
            X509Certificate::from_der(&der).map_err(|e| format!("cannot be read: {e}"))?;
        let names = match (parsed.is_ca(), party(&der)) {
            (true, _) => format!("authority    {}", parsed.subject()),
            (_, Ok(party)) => format!("gateway      {party}"),
            (_, Err(e)) => format!("gateway      none: {e}"),
        };
        let unix = now
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |d| d.as_secs() as i64);
        let validity = parsed.validity();
        let days = (validity.not_after.timestamp() - unix) / 86_400;
        let state = if unix < validity.not_before.timestamp() {
            "not yet valid".to_string()
        } else if unix > validity.not_after.timestamp() {
            "expired".to_string()
        } else {
            format!("valid, {days} days left")
        };
        // Writing to a text cannot fail.
        let _ = writeln!(
            text,
            "{names}\nissuer       {}\nnot before   {}\nnot after    {}\nstate        {state}",
            parsed.issuer(),
            validity.not_before,
            validity.not_after,
        );
    }
    Ok(text)
}
