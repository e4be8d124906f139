//! The file of our own that `--with` names: what this installation has beyond the platform's configuration.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use harrierdock_flow_export::{FlowExportSettings, KeyFiles};
use harrierdock_site_messages::GatewayName;
use harrierdock_site_transport::{check_label, Credentials};
use schemars::JsonSchema;
use serde::Deserialize;

use crate::config::lease::{Beside, FleetMisfit, FleetTold};

/// What an installation has beyond the platform's configuration. Without the file, or with nothing in it, the
/// gateway is what it is without.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct With {
    /// Another site that requests may cross to.
    pub sites: Option<Between>,
    /// Flow export.
    pub flows: Option<FlowExportSettings>,
    /// Duties that one gateway of a fleet holds at a time.
    pub fleet: Option<FleetTold>,
    /// The folder that paths in the file are relative to.
    #[serde(skip)]
    folder: PathBuf,
}

/// This gateway's place between two sites.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Between {
    /// This site's name: small letters, digits and inner hyphens.
    pub site: String,
    /// This gateway's name in its site; by default the configuration's name.
    pub gateway: Option<String>,
    /// Where the link listens (UDP).
    pub listen: SocketAddr,
    /// Where the other site's gateways reach it, if that is another address.
    pub reached_at: Option<SocketAddr>,
    pub other: OtherSite,
    pub keys: KeyFiles,
    /// A Unix socket for `harrierdock site`.
    pub control: Option<PathBuf>,
    /// Referenced request classes whose repeats one group of endpoints drops across both sites.
    #[serde(default)]
    pub groups_spanning: Vec<String>,
}

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct OtherSite {
    pub site: String,
    /// Some of its gateways, one at least; the rest is learned from them.
    pub gateways: Vec<GatewayTold>,
}

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct GatewayTold {
    pub gateway: String,
    /// Where its link listens (UDP).
    pub address: SocketAddr,
}

impl With {
    /// Reads the file, if one is named.
    ///
    /// # Errors
    /// One line with the file, the field and the reason.
    pub fn read(path: Option<&Path>) -> Result<With, String> {
        let Some(path) = path else {
            return Ok(With::default());
        };
        let wrong = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
        let text = std::fs::read_to_string(path).map_err(|e| wrong(&e))?;
        let mut reader = serde_json::Deserializer::from_str(&text);
        let with: With = serde_path_to_error::deserialize(&mut reader).map_err(|e| wrong(&e))?;
        reader.end().map_err(|e| wrong(&e))?;
        let folder = path.parent().map(Path::to_path_buf).unwrap_or_default();
        Ok(With { folder, ..with })
    }

    /// What is wrong with the file beside the configuration that it goes with.
    ///
    /// # Errors
    /// The field and the reason, in one line.
    pub fn check(&self, name: &str, classes: &[&str]) -> Result<(), String> {
        if let Some(flows) = &self.flows {
            flows.validate().map_err(|e| e.to_string())?;
            flows
                .check_key_files(&self.folder)
                .map_err(|e| e.to_string())?;
        }
        let Some(sites) = &self.sites else {
            return Ok(());
        };
        let own = sites.own(name);
        let field = |field: &str, e: String| format!("sites.{field}: {e}");
        let label = |at: &str, name: &str| check_label(name).map_err(|e| field(at, e.to_string()));
        label("site", &own.site)?;
        label("gateway", &own.gateway)?;
        label("other.site", &sites.other.site)?;
        if sites.other.site == own.site {
            return Err(field(
                "other.site",
                format!("'{}' is this site's own name", own.site),
            ));
        }
        if sites.other.gateways.is_empty() {
            return Err(field(
                "other.gateways",
                "names none, and one at least is needed to begin".into(),
            ));
        }
        for (at, told) in sites.other.gateways.iter().enumerate() {
            label(&format!("other.gateways[{at}].gateway"), &told.gateway)?;
        }
        if let Some(odd) = sites
            .groups_spanning
            .iter()
            .find(|p| !classes.contains(&p.as_str()))
        {
            return Err(field(
                "groups_spanning",
                format!("'{odd}' is no product of the configuration"),
            ));
        }
        self.credentials(&own).map(|_| ())
    }

    /// What is wrong with what it tells of flows.
    pub fn check_flows(&self) -> Result<(), String> {
        self.flows
            .as_ref()
            .map_or(Ok(()), |flows| flows.validate().map_err(|e| e.to_string()))
    }

    /// What is wrong with what it tells of a fleet beside the configuration.
    pub fn check_fleet(&self, beside: &Beside) -> Result<(), FleetMisfit> {
        self.fleet
            .as_ref()
            .map_or(Ok(()), |f| f.terms(beside).map(|_| ()))
    }

    /// Descriptors to keep aside: the link's socket, the control socket and its callers; collectors and a file;
    /// the steward's calls.
    pub fn descriptors(&self) -> usize {
        let sites = if self.sites.is_some() { 6 } else { 0 };
        let flows = self
            .flows
            .as_ref()
            .map_or(0, FlowExportSettings::descriptors);
        // The steward's call, and one before it that is being closed.
        let fleet = if self.fleet.is_some() { 2 } else { 0 };
        sites + flows + fleet
    }

    /// The folder that paths in the file are relative to.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// A path in the file.
    pub fn path(&self, path: &Path) -> PathBuf {
        self.folder.join(path)
    }

    /// Reads the key files.
    ///
    /// # Errors
    /// The field and the reason, in one line.
    pub fn credentials(&self, own: &GatewayName) -> Result<Credentials, String> {
        let credentials =
            self.read_keys(&self.sites.as_ref().ok_or("no sites")?.keys, "sites.keys")?;
        if credentials.gateway != *own {
            return Err(format!(
                "sites.keys.certificate: names {}, not {own}",
                credentials.gateway
            ));
        }
        Ok(credentials)
    }

    /// Reads three key files, named by this field.
    ///
    /// # Errors
    /// The field and the reason, in one line.
    pub fn read_keys(&self, files: &KeyFiles, of: &str) -> Result<Credentials, String> {
        files.read(&self.folder, of).map_err(|e| e.to_string())
    }
}

impl Between {
    pub fn own(&self, name: &str) -> GatewayName {
        GatewayName {
            site: self.site.clone(),
            gateway: self.gateway.clone().unwrap_or_else(|| name.into()),
        }
    }

    pub fn seeds(&self) -> Vec<(GatewayName, SocketAddr)> {
        let site = &self.other.site;
        let seed = |told: &GatewayTold| {
            (
                GatewayName {
                    site: site.clone(),
                    gateway: told.gateway.clone(),
                },
                told.address,
            )
        };
        self.other.gateways.iter().map(seed).collect()
    }
}

/// The file's schema (JSON Schema, draft 2020-12).
pub fn schema() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(With)).unwrap_or_default()
}
