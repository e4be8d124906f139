//! `harrierdock keys`: a private authority and the certificates of gateways, as files.

use std::fs;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use harrierdock_site_messages::GatewayName;
use harrierdock_site_transport::{
    create_authority, describe_certificates, issue_certificate, CertificatePair, Validity,
};

/// Certificates count from a little before now, so that sites whose clocks differ believe them at once.
const BEFORE: Duration = Duration::from_secs(3600);
const AUTHORITY: &str = "authority";

fn valid_for(days: u32) -> Validity {
    let now = SystemTime::now();
    Validity {
        from: now - BEFORE,
        until: now + Duration::from_secs(u64::from(days) * 86_400),
    }
}

/// Writes a new file; one that stands there stays as it is.
fn write(path: &Path, text: &str, mode: u32) -> Result<(), String> {
    let mut options = fs::OpenOptions::new();
    let file = options.write(true).create_new(true).mode(mode).open(path);
    let wrong = |e: std::io::Error| format!("{}: {e}", path.display());
    file.map_err(wrong)?
        .write_all(text.as_bytes())
        .map_err(wrong)
}

fn write_pair(folder: &Path, name: &str, pair: &CertificatePair) -> Result<Vec<PathBuf>, String> {
    let paths = [
        folder.join(format!("{name}.pem")),
        folder.join(format!("{name}.key")),
    ];
    // The key first: without it the certificate is of no use.
    write(&paths[1], &pair.key, 0o600)?;
    write(&paths[0], &pair.certificate, 0o644)?;
    Ok(paths.to_vec())
}

fn said(paths: &[PathBuf]) -> String {
    paths
        .iter()
        .map(|p| p.display().to_string())
        .collect::<Vec<_>>()
        .join("\n")
}

/// Makes an authority in the folder. Gives back the files written, a line each.
pub fn make_authority(folder: &Path, name: &str, days: u32) -> Result<String, String> {
    fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let pair = create_authority(name, valid_for(days)).map_err(|e| e.to_string())?;
    Ok(said(&write_pair(folder, AUTHORITY, &pair)?))
}

/// Issues a certificate to each gateway, named `SITE/GATEWAY`, by the folder's authority.
pub fn issue_all(folder: &Path, gateways: &[String], days: u32) -> Result<String, String> {
    let read = |ending: &str| {
        let path = folder.join(format!("{AUTHORITY}.{ending}"));
        fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))
    };
    let by = CertificatePair {
        certificate: read("pem")?,
        key: read("key")?,
    };
    let validity = valid_for(days);
    let mut written = Vec::new();
    for gateway in gateways {
        let (site, name) = gateway
            .split_once('/')
            .ok_or_else(|| format!("'{gateway}' is not SITE/GATEWAY"))?;
        let party = GatewayName {
            site: site.into(),
            gateway: name.into(),
        };
        let pair = issue_certificate(&by, &party, validity).map_err(|e| e.to_string())?;
        written.extend(write_pair(folder, &format!("{site}-{name}"), &pair)?);
    }
    Ok(said(&written))
}

/// What the certificates in a file say.
pub fn show_file(path: &Path) -> Result<String, String> {
    let wrong = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let pem = fs::read(path).map_err(|e| wrong(&e))?;
    describe_certificates(&pem, SystemTime::now())
        .map(|text| text.trim_end().to_string())
        .map_err(|e| wrong(&e))
}
