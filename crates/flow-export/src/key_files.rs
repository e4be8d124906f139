//! The PEM files of a TLS client.

use std::error::Error as StdError;
use std::io;
use std::path::{Path, PathBuf};

use harrierdock_site_transport::Credentials;
use schemars::JsonSchema;
use serde::Deserialize;
use thiserror::Error;

/// PEM files, relative to the folder of the file that names them.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(description = "PEM files, relative to this file's folder.")]
pub struct KeyFiles {
    /// The certificate of the authority that both sides trust.
    #[schemars(description = "The certificate of the authority that both sites believe.")]
    pub authority: PathBuf,
    /// The gateway's own certificate.
    #[schemars(description = "")]
    pub certificate: PathBuf,
    /// The key of the gateway's own certificate.
    #[schemars(description = "")]
    pub key: PathBuf,
}

/// Why key files cannot be used.
#[derive(Debug, Error)]
pub enum KeyFileError {
    /// A file cannot be read.
    #[error("{field}: {}: {source}", path.display())]
    Unreadable {
        /// The field that names the file.
        field: String,
        /// The file.
        path: PathBuf,
        /// What the system reports.
        #[source]
        source: io::Error,
    },
    /// A file holds no certificate or key that can be used.
    #[error("{field}.{source}")]
    Unusable {
        /// The field that names the three files.
        field: String,
        /// Which of the files it is, and why.
        #[source]
        source: Box<dyn StdError + Send + Sync>,
    },
}

impl KeyFiles {
    /// Reads the three files, which `field` names in the settings, from paths relative to a folder.
    ///
    /// # Errors
    /// The first file that cannot be read or used.
    pub fn read(&self, folder: &Path, field: &str) -> Result<Credentials, KeyFileError> {
        let read_file = |name: &str, file: &Path| {
            let path = folder.join(file);
            std::fs::read(&path).map_err(|source| KeyFileError::Unreadable {
                field: format!("{field}.{name}"),
                path,
                source,
            })
        };
        let authority = read_file("authority", &self.authority)?;
        let certificate = read_file("certificate", &self.certificate)?;
        let key = read_file("key", &self.key)?;
        Credentials::read(&authority, &certificate, &key).map_err(|e| KeyFileError::Unusable {
            field: field.into(),
            source: e.into(),
        })
    }
}
