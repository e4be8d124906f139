//! `harrierdock keys`: files of a private certificate authority and of gateway certificates.

use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use harrierdock_site_messages::GatewayName;
use harrierdock_site_transport::{
    create_authority, describe_certificates, issue_certificate, AuthorityError, CertificateAndKey,
    CertificateError, Validity,
};
use thiserror::Error;

/// Certificates are valid from this long before their creation, so that a site with a slower clock accepts them at once.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(3600);
const SECONDS_PER_DAY: u64 = 86_400;
const AUTHORITY_NAME: &str = "authority";
const CERTIFICATE_EXTENSION: &str = "pem";
const KEY_EXTENSION: &str = "key";
/// Only the owner may read a key file.
const KEY_MODE: u32 = 0o600;
const CERTIFICATE_MODE: u32 = 0o644;

/// A `keys` command failed.
#[derive(Debug, Error)]
pub(crate) enum KeysError {
    /// A file cannot be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A certificate cannot be created.
    #[error(transparent)]
    Authority(#[from] AuthorityError),
    /// A gateway name is not of the form `SITE/GATEWAY`.
    #[error("'{name}' is not SITE/GATEWAY")]
    InvalidGatewayName {
        /// Name given on the command line.
        name: String,
    },
    /// A file holds no readable certificates.
    #[error("{}: {source}", path.display())]
    Certificates {
        /// Path of the file.
        path: PathBuf,
        /// Reason reported by the certificate parser.
        source: CertificateError,
    },
}

fn file_error(path: &Path) -> impl Fn(io::Error) -> KeysError + '_ {
    |source| KeysError::File {
        path: path.into(),
        source,
    }
}

fn validity_from_now(days: u32) -> Validity {
    let now = SystemTime::now();
    Validity {
        from: now - CLOCK_TOLERANCE,
        until: now + Duration::from_secs(u64::from(days) * SECONDS_PER_DAY),
    }
}

/// Creates a file. Fails without changing it if it exists.
fn write_new_file(path: &Path, text: &str, mode: u32) -> Result<(), KeysError> {
    let mut options = OpenOptions::new();
    options.write(true).create_new(true).mode(mode);
    let mut file = options.open(path).map_err(file_error(path))?;
    file.write_all(text.as_bytes()).map_err(file_error(path))
}

fn write_pair(
    folder: &Path,
    name: &str,
    pair: &CertificateAndKey,
) -> Result<Vec<PathBuf>, KeysError> {
    let certificate_path = folder.join(format!("{name}.{CERTIFICATE_EXTENSION}"));
    let key_path = folder.join(format!("{name}.{KEY_EXTENSION}"));
    // The key is written first, as the certificate is of no use without it.
    write_new_file(&key_path, &pair.key, KEY_MODE)?;
    write_new_file(&certificate_path, &pair.certificate, CERTIFICATE_MODE)?;
    Ok(vec![certificate_path, key_path])
}

fn path_lines(paths: &[PathBuf]) -> String {
    let lines: Vec<String> = paths
        .iter()
        .map(|path| path.display().to_string())
        .collect();
    lines.join("\n")
}

/// Creates an authority in `folder`. Returns the paths of the new files, one per line.
///
/// # Errors
///
/// A file exists already or cannot be written.
pub(crate) fn create_authority_files(
    folder: &Path,
    name: &str,
    days: u32,
) -> Result<String, KeysError> {
    fs::create_dir_all(folder).map_err(file_error(folder))?;
    let pair = create_authority(name, validity_from_now(days))?;
    Ok(path_lines(&write_pair(folder, AUTHORITY_NAME, &pair)?))
}

/// Issues a certificate for each gateway (`SITE/GATEWAY`), signed by the authority in `folder`. Returns the paths of the new
/// files, one per line.
///
/// # Errors
///
/// The authority cannot be read, a gateway name is invalid, or a file exists already or cannot be written.
pub(crate) fn issue_gateway_certificates(
    folder: &Path,
    gateways: &[String],
    days: u32,
) -> Result<String, KeysError> {
    let authority = CertificateAndKey {
        certificate: read_authority(folder, CERTIFICATE_EXTENSION)?,
        key: read_authority(folder, KEY_EXTENSION)?,
    };
    let validity = validity_from_now(days);
    let mut written = Vec::new();
    for text in gateways {
        let gateway = parse_gateway(text)?;
        let pair = issue_certificate(&authority, &gateway, validity)?;
        let name = format!("{}-{}", gateway.site, gateway.gateway);
        written.extend(write_pair(folder, &name, &pair)?);
    }
    Ok(path_lines(&written))
}

fn read_authority(folder: &Path, extension: &str) -> Result<String, KeysError> {
    let path = folder.join(format!("{AUTHORITY_NAME}.{extension}"));
    fs::read_to_string(&path).map_err(file_error(&path))
}

fn parse_gateway(text: &str) -> Result<GatewayName, KeysError> {
    match text.split_once('/') {
        Some((site, gateway)) => Ok(GatewayName {
            site: site.into(),
            gateway: gateway.into(),
        }),
        None => Err(KeysError::InvalidGatewayName { name: text.into() }),
    }
}

/// Describes the certificates in a PEM file.
///
/// # Errors
///
/// The file cannot be read, or contains no certificates.
pub(crate) fn describe_file(path: &Path) -> Result<String, KeysError> {
    let pem = fs::read(path).map_err(file_error(path))?;
    let text = describe_certificates(&pem, SystemTime::now()).map_err(|source| {
        KeysError::Certificates {
            path: path.into(),
            source,
        }
    })?;
    Ok(text.trim_end().to_string())
}
