//! The extension file (`--with`): settings beyond the platform's configuration. Existing files fix the names in the `rename`
//! attributes, so some differ from the Rust names.

use std::path::{Path, PathBuf};

use harrierdock_flow_export::FlowExportSettings;
use schemars::JsonSchema;
use serde::Deserialize;

use super::error::{ConfigError, ExtensionError, FileError};
use super::lease::{FleetContext, LeaseConfig, LeaseConfigError};
use super::sites::SiteSettings;

/// Descriptors for the transport's socket, the control socket and its connections.
const SITE_DESCRIPTORS: usize = 6;
/// Descriptors for the connection of a rollout command and for the previous one, which may still be closing.
const LEASE_DESCRIPTORS: usize = 2;

/// Settings beyond the platform's configuration. All fields are optional; `{}` has the same effect as no file.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename = "With")]
pub(crate) struct ExtensionConfig {
    /// Another site that requests may be forwarded to.
    pub(crate) sites: Option<SiteSettings>,
    /// Export of flow records.
    pub(crate) flows: Option<FlowExportSettings>,
    /// Leases, each held by one gateway at a time.
    #[serde(rename = "fleet")]
    pub(crate) leases: Option<LeaseConfig>,
    /// Folder of the file. Relative paths in the file start from this folder.
    #[serde(skip)]
    folder: PathBuf,
}

impl ExtensionConfig {
    /// Reads the file at `path`. Without a path, returns an empty configuration.
    ///
    /// # Errors
    ///
    /// The file cannot be read or parsed.
    pub(crate) fn read(path: Option<&Path>) -> Result<ExtensionConfig, ConfigError> {
        let Some(path) = path else {
            return Ok(ExtensionConfig::default());
        };
        let extension = parse(path).map_err(|source| ConfigError::File {
            path: path.into(),
            source,
        })?;
        let folder = path.parent().map(Path::to_path_buf).unwrap_or_default();
        Ok(ExtensionConfig {
            folder,
            ..extension
        })
    }

    /// Checks the flow export and site settings against the name of this gateway and the request classes in the configuration.
    ///
    /// # Errors
    ///
    /// A field is invalid, or a key file cannot be read or parsed.
    pub(crate) fn check(&self, name: &str, classes: &[&str]) -> Result<(), ExtensionError> {
        if let Some(flows) = &self.flows {
            flows.validate()?;
            flows.check_key_files(&self.folder)?;
        }
        match &self.sites {
            Some(sites) => sites.check(name, classes, &self.folder),
            None => Ok(()),
        }
    }

    /// Checks the flow export settings without their key files.
    ///
    /// # Errors
    ///
    /// A field is invalid.
    pub(crate) fn check_flows(&self) -> Result<(), ExtensionError> {
        if let Some(flows) = &self.flows {
            flows.validate()?;
        }
        Ok(())
    }

    /// Checks the lease settings against the configuration.
    ///
    /// # Errors
    ///
    /// A field is invalid or does not match the configuration.
    pub(crate) fn check_leases(&self, fleet: &FleetContext<'_>) -> Result<(), LeaseConfigError> {
        match &self.leases {
            Some(leases) => leases.parameters(fleet).map(|_| ()),
            None => Ok(()),
        }
    }

    /// Counts the descriptors to reserve for the configured features.
    pub(crate) fn reserved_descriptors(&self) -> usize {
        let sites = self.sites.as_ref().map_or(0, |_| SITE_DESCRIPTORS);
        let flows = self
            .flows
            .as_ref()
            .map_or(0, FlowExportSettings::descriptor_count);
        let leases = self.leases.as_ref().map_or(0, |_| LEASE_DESCRIPTORS);
        sites + flows + leases
    }

    /// Returns the folder of the file, from which relative paths in the file start.
    pub(crate) fn folder(&self) -> &Path {
        &self.folder
    }

    /// Resolves a path in the file against the folder of the file.
    pub(crate) fn resolve_path(&self, path: &Path) -> PathBuf {
        self.folder.join(path)
    }
}

fn parse(path: &Path) -> Result<ExtensionConfig, FileError> {
    let text = std::fs::read_to_string(path)?;
    let mut reader = serde_json::Deserializer::from_str(&text);
    let extension = serde_path_to_error::deserialize(&mut reader)?;
    reader.end()?;
    Ok(extension)
}

/// Returns the JSON schema of the extension file (draft 2020-12).
pub(crate) fn schema() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(ExtensionConfig)).unwrap_or_default()
}
