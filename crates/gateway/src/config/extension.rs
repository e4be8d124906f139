//! The extension file that `--with` names: what an installation has beyond the platform's configuration.

use std::path::{Path, PathBuf};

use harrierdock_flow_export::FlowExportSettings;
use schemars::JsonSchema;
use serde::Deserialize;

use super::error::{ConfigError, ExtensionError, FileError};
use super::lease::{FleetContext, LeaseConfig, LeaseConfigError};
use super::sites::SiteSettings;

/// The transport's socket, the control socket and its connections.
const SITE_DESCRIPTORS: usize = 6;
/// A rollout command, and one before it that is being closed.
const LEASE_DESCRIPTORS: usize = 2;

/// What an installation has beyond the platform's configuration. All of it is optional.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename = "With")]
#[schemars(
    description = "What an installation has beyond the platform's configuration. Without the file, or with nothing in it, the\ngateway is what it is without."
)]
pub(crate) struct ExtensionConfig {
    /// Another site that requests may be forwarded to.
    #[schemars(description = "Another site that requests may cross to.")]
    pub(crate) sites: Option<SiteSettings>,
    /// Flow export.
    pub(crate) flows: Option<FlowExportSettings>,
    /// Leases that one gateway of a fleet holds at a time.
    #[serde(rename = "fleet")]
    #[schemars(description = "Duties that one gateway of a fleet holds at a time.")]
    pub(crate) leases: Option<LeaseConfig>,
    /// The folder that paths in the file are relative to.
    #[serde(skip)]
    folder: PathBuf,
}

impl ExtensionConfig {
    /// Reads the file, if one is named.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or a field is not of its form.
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

    /// Checks the flow export and site settings beside the configuration's name of this gateway and its request classes.
    ///
    /// # Errors
    ///
    /// A field does not fit, or key files cannot be used.
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

    /// Checks the flow export settings alone.
    ///
    /// # Errors
    ///
    /// A field does not fit.
    pub(crate) fn check_flows(&self) -> Result<(), ExtensionError> {
        if let Some(flows) = &self.flows {
            flows.validate()?;
        }
        Ok(())
    }

    /// Checks the lease settings beside the configuration.
    ///
    /// # Errors
    ///
    /// A field does not fit.
    pub(crate) fn check_leases(&self, fleet: &FleetContext<'_>) -> Result<(), LeaseConfigError> {
        match &self.leases {
            Some(leases) => leases.parameters(fleet).map(|_| ()),
            None => Ok(()),
        }
    }

    /// How many descriptors are to be set aside for what the file configures.
    pub(crate) fn descriptors(&self) -> usize {
        let sites = self.sites.as_ref().map_or(0, |_| SITE_DESCRIPTORS);
        let flows = self
            .flows
            .as_ref()
            .map_or(0, FlowExportSettings::descriptors);
        let leases = self.leases.as_ref().map_or(0, |_| LEASE_DESCRIPTORS);
        sites + flows + leases
    }

    /// The folder that paths in the file are relative to.
    pub(crate) fn folder(&self) -> &Path {
        &self.folder
    }

    /// A path in the file.
    pub(crate) fn path(&self, path: &Path) -> PathBuf {
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

/// The file's schema (JSON Schema, draft 2020-12).
pub(crate) fn schema() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(ExtensionConfig)).unwrap_or_default()
}
