//! What is refused in the configuration and in the extension file. Each message is one line that names the file, the field and
//! the reason.

use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::path::PathBuf;

use harrierdock_config::SettingsError;
use harrierdock_flow_export::{KeyFileError, SettingsError as FlowSettingsError};
use harrierdock_site_messages::GatewayName;
use harrierdock_site_transport::LabelError;
use thiserror::Error;

use super::lease::LeaseConfigError;

/// Why the configuration is refused.
#[derive(Debug, Error)]
pub(crate) enum ConfigError {
    /// No file is named.
    #[error("no configuration: LB_CONFIG is not set")]
    NoPath,
    /// The environment's address to listen on is none.
    #[error("LB_LISTEN {text}: {source}")]
    ListenVariable {
        /// What it holds.
        text: String,
        /// Why.
        source: AddrParseError,
    },
    /// A file is refused as a whole.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: FileError,
    },
    /// The platform's settings are refused.
    #[error("{}: settings.{source}", path.display())]
    Settings {
        /// The file.
        path: PathBuf,
        /// Why.
        source: Box<SettingsError>,
    },
    /// The extension file does not fit.
    #[error("{}: {source}", path.display())]
    ExtensionFile {
        /// The file.
        path: PathBuf,
        /// Why.
        source: Box<ExtensionError>,
    },
    /// The extension does not fit.
    #[error(transparent)]
    Extension(Box<ExtensionError>),
}

impl From<ExtensionError> for ConfigError {
    fn from(error: ExtensionError) -> ConfigError {
        ConfigError::Extension(Box::new(error))
    }
}

/// Why a file is refused as a whole.
#[derive(Debug, Error)]
pub(crate) enum FileError {
    /// It cannot be read.
    #[error("{0}")]
    Unreadable(#[from] io::Error),
    /// It is not JSON.
    #[error("{0}")]
    NotJson(#[from] serde_json::Error),
    /// It is JSON, but not an object.
    #[error("not an object")]
    NotAnObject,
    /// A field is missing, unknown, or not of its type.
    #[error("{0}")]
    Field(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// It names another address to listen on than the environment.
    #[error("listen: {named} differs from LB_LISTEN {listening_on}")]
    ListenDiffers {
        /// The file's.
        named: String,
        /// The environment's.
        listening_on: SocketAddr,
    },
}

/// Why the extension is refused beside the configuration.
#[derive(Debug, Error)]
pub(crate) enum ExtensionError {
    /// The lease settings do not fit.
    #[error(transparent)]
    Lease(#[from] LeaseConfigError),
    /// The flow export settings do not fit.
    #[error(transparent)]
    Flows(#[from] FlowSettingsError),
    /// Key files cannot be used.
    #[error(transparent)]
    Keys(#[from] KeyFileError),
    /// The site settings do not fit.
    #[error("sites.{field}: {source}")]
    Site {
        /// The field.
        field: String,
        /// Why.
        source: SiteError,
    },
}

/// Why a field of the site settings is refused.
#[derive(Debug, Error)]
pub(crate) enum SiteError {
    /// A name is not one that a certificate can hold.
    #[error("{0}")]
    Label(#[from] LabelError),
    /// Both sites have one name.
    #[error("'{site}' is this site's own name")]
    OwnSite {
        /// The name.
        site: String,
    },
    /// No gateway of the other site is named.
    #[error("names none, and one at least is needed to begin")]
    NoGateways,
    /// A request class is not configured.
    #[error("'{class}' is no product of the configuration")]
    UnknownClass {
        /// Its name.
        class: String,
    },
    /// The certificate is another gateway's.
    #[error("names {named}, not {own}")]
    ForeignCertificate {
        /// Whom the certificate names.
        named: GatewayName,
        /// This gateway.
        own: GatewayName,
    },
}
