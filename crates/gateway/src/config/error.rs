//! Errors in the configuration and in the extension file. Each message is one line with the file, the field and the reason.

use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::path::PathBuf;

use harrierdock_config::SettingsError;
use harrierdock_flow_export::{KeyFileError, SettingsError as FlowSettingsError};
use harrierdock_site_messages::GatewayName;
use harrierdock_site_transport::LabelError;
use thiserror::Error;

use super::lease::LeaseConfigError;

/// The configuration is invalid.
#[derive(Debug, Error)]
pub(crate) enum ConfigError {
    /// Neither the command line nor the environment names a file.
    #[error("no configuration: LB_CONFIG is not set")]
    NoPath,
    /// `LB_LISTEN` does not contain a socket address.
    #[error("LB_LISTEN {text}: {source}")]
    ListenVariable {
        /// The variable's value, as set.
        text: String,
        /// Why the value is not a socket address.
        source: AddrParseError,
    },
    /// The configuration or the extension file cannot be read or parsed.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Why the file cannot be read or parsed.
        source: FileError,
    },
    /// The policy settings are invalid.
    #[error("{}: settings.{source}", path.display())]
    Settings {
        /// Path of the file.
        path: PathBuf,
        /// The invalid field below `settings`, and the reason.
        source: Box<SettingsError>,
    },
    /// The extension file is invalid.
    #[error("{}: {source}", path.display())]
    ExtensionFile {
        /// Path of the file.
        path: PathBuf,
        /// The invalid field, and the reason.
        source: Box<ExtensionError>,
    },
    /// The extension settings are invalid. The path of their file is not known here.
    #[error(transparent)]
    Extension(Box<ExtensionError>),
}

impl From<ExtensionError> for ConfigError {
    fn from(error: ExtensionError) -> ConfigError {
        ConfigError::Extension(Box::new(error))
    }
}

/// A file cannot be read or parsed.
#[derive(Debug, Error)]
pub(crate) enum FileError {
    /// The file cannot be read.
    #[error("{0}")]
    Unreadable(#[from] io::Error),
    /// The file is not valid JSON.
    #[error("{0}")]
    NotJson(#[from] serde_json::Error),
    /// The top-level JSON value is not an object.
    #[error("not an object")]
    NotAnObject,
    /// A field is missing, unknown, or has the wrong type.
    #[error("{0}")]
    Field(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// The file and the environment set different addresses to listen on.
    #[error("listen: {in_file} differs from LB_LISTEN {listening_on}")]
    ListenDiffers {
        /// Address in the file.
        in_file: String,
        /// Address in `LB_LISTEN`, already bound.
        listening_on: SocketAddr,
    },
}

/// The extension is invalid or does not match the configuration.
#[derive(Debug, Error)]
pub(crate) enum ExtensionError {
    /// The lease settings are invalid.
    #[error(transparent)]
    Lease(#[from] LeaseConfigError),
    /// The flow export settings are invalid.
    #[error(transparent)]
    Flows(#[from] FlowSettingsError),
    /// A key file cannot be read or parsed.
    #[error(transparent)]
    Keys(#[from] KeyFileError),
    /// The site settings are invalid.
    #[error("sites.{field}: {source}")]
    Site {
        /// Path of the field below `sites`.
        field: String,
        /// Why the field is invalid.
        source: SiteError,
    },
}

/// A field of the site settings is invalid.
#[derive(Debug, Error)]
pub(crate) enum SiteError {
    /// A name cannot be stored in a certificate.
    #[error("{0}")]
    Label(#[from] LabelError),
    /// Both sites have the same name.
    #[error("'{site}' is this site's own name")]
    OwnSite {
        /// The name that both sites have.
        site: String,
    },
    /// The list of gateways of the other site is empty.
    #[error("must contain at least one gateway")]
    NoGateways,
    /// The configuration has no request class of this name.
    #[error("'{class}' is not a request class of the configuration")]
    UnknownClass {
        /// The class name in the extension file.
        class: String,
    },
    /// The certificate was issued to another gateway.
    #[error("the certificate is for {named}, not for {own}")]
    ForeignCertificate {
        /// Gateway named in the certificate.
        named: GatewayName,
        /// Name of this gateway in the settings.
        own: GatewayName,
    },
}
