//! The PEM files of TLS connections.

use std::error::Error as StdError;
use std::io;
use std::path::{Path, PathBuf};

use harrierdock_site_transport::Credentials;
use schemars::JsonSchema;
use serde::Deserialize;
use thiserror::Error;

/// PEM files; relative paths start at the folder of the extension file.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct KeyFiles {
    /// Certificate of the authority that both sides of a connection trust.
    pub authority: PathBuf,
    /// Certificate of this gateway.
    #[schemars(description = "")]
    pub certificate: PathBuf,
    /// Private key of `certificate`.
    #[schemars(description = "")]
    pub key: PathBuf,
}

/// Why key files cannot be used.
#[derive(Debug, Error)]
pub enum KeyFileError {
    /// A file is unreadable.
    #[error("{field}: {}: {source}", path.display())]
    Unreadable {
        /// The settings field that holds the path.
        field: String,
        /// The path, joined with the folder.
        path: PathBuf,
        /// The error of the read.
        #[source]
        source: io::Error,
    },
    /// A file holds no valid certificate or key.
    #[error("{field}.{source}")]
    Unusable {
        /// The settings field of the three files.
        field: String,
        /// The error, which starts with the name of the invalid file's field.
        #[source]
        source: Box<dyn StdError + Send + Sync>,
    },
}

impl KeyFiles {
    /// Reads the three files, relative to `folder`. `field` is the settings field, for error messages.
    ///
    /// # Errors
    /// The first unreadable or invalid file.
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
