//! `harrierdock keys`: a private authority and the certificates of gateways, as files.

use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use harrierdock_site_messages::GatewayName;
use harrierdock_site_transport::{
    create_authority, describe_certificates, issue_certificate, AuthorityError, CertificateError,
    CertificatePair, Validity,
};
use thiserror::Error;

/// Certificates are valid from a little before now, so that sites whose clocks differ accept them at once.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(3600);
const SECONDS_PER_DAY: u64 = 86_400;
const AUTHORITY_NAME: &str = "authority";
const CERTIFICATE_EXTENSION: &str = "pem";
const KEY_EXTENSION: &str = "key";
/// Only its owner may read a key.
const KEY_MODE: u32 = 0o600;
const CERTIFICATE_MODE: u32 = 0o644;

/// Why keys cannot be made or shown.
#[derive(Debug, Error)]
pub(crate) enum KeysError {
    /// A file cannot be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A certificate cannot be made.
    #[error(transparent)]
    Authority(#[from] AuthorityError),
    /// A gateway's name is not of its form.
    #[error("'{name}' is not SITE/GATEWAY")]
    NotAGateway {
        /// The name.
        name: String,
    },
    /// Certificates cannot be read.
    #[error("{}: {source}", path.display())]
    Certificates {
        /// The file.
        path: PathBuf,
        /// Why.
        source: CertificateError,
    },
}

fn file_error(path: &Path) -> impl Fn(io::Error) -> KeysError + '_ {
    |source| KeysError::File {
        path: path.into(),
        source,
    }
}

fn valid_for(days: u32) -> Validity {
    let now = SystemTime::now();
    Validity {
        from: now - CLOCK_TOLERANCE,
        until: now + Duration::from_secs(u64::from(days) * SECONDS_PER_DAY),
    }
}

/// Writes a new file. One that exists already stays as it is, and is an error.
fn write_new(path: &Path, text: &str, mode: u32) -> Result<(), KeysError> {
    let mut options = OpenOptions::new();
    options.write(true).create_new(true).mode(mode);
    let mut file = options.open(path).map_err(file_error(path))?;
    file.write_all(text.as_bytes()).map_err(file_error(path))
}

fn write_pair(
    folder: &Path,
    name: &str,
    pair: &CertificatePair,
) -> Result<Vec<PathBuf>, KeysError> {
    let certificate_path = folder.join(format!("{name}.{CERTIFICATE_EXTENSION}"));
    let key_path = folder.join(format!("{name}.{KEY_EXTENSION}"));
    // The key first: without it the certificate is of no use.
    write_new(&key_path, &pair.key, KEY_MODE)?;
    write_new(&certificate_path, &pair.certificate, CERTIFICATE_MODE)?;
    Ok(vec![certificate_path, key_path])
}

fn path_lines(paths: &[PathBuf]) -> String {
    let lines: Vec<String> = paths
        .iter()
        .map(|path| path.display().to_string())
        .collect();
    lines.join("\n")
}

/// Makes an authority in a folder. Returns the files written, a line each.
///
/// # Errors
///
/// A file exists already or cannot be written.
pub(crate) fn make_authority(folder: &Path, name: &str, days: u32) -> Result<String, KeysError> {
    fs::create_dir_all(folder).map_err(file_error(folder))?;
    let pair = create_authority(name, valid_for(days))?;
    Ok(path_lines(&write_pair(folder, AUTHORITY_NAME, &pair)?))
}

/// Issues a certificate to each gateway, named `SITE/GATEWAY`, by the folder's authority. Returns the files written, a line
/// each.
///
/// # Errors
///
/// There is no authority, a name is not of its form, or a file exists already or cannot be written.
pub(crate) fn issue_all(
    folder: &Path,
    gateways: &[String],
    days: u32,
) -> Result<String, KeysError> {
    let authority = CertificatePair {
        certificate: read_authority(folder, CERTIFICATE_EXTENSION)?,
        key: read_authority(folder, KEY_EXTENSION)?,
    };
    let validity = valid_for(days);
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
        None => Err(KeysError::NotAGateway { name: text.into() }),
    }
}

/// Describes the certificates in a file.
///
/// # Errors
///
/// The file cannot be read, or holds no certificates.
pub(crate) fn show_file(path: &Path) -> Result<String, KeysError> {
    let pem = fs::read(path).map_err(file_error(path))?;
    let text = describe_certificates(&pem, SystemTime::now()).map_err(|source| {
        KeysError::Certificates {
            path: path.into(),
            source,
        }
    })?;
    Ok(text.trim_end().to_string())
}
