//! Settings of the connections between two sites. Existing extension files fix the names in the `rename` attributes, so some
//! differ from the Rust names.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use harrierdock_flow_export::KeyFiles;
use harrierdock_site_messages::GatewayName;
use harrierdock_site_transport::{check_label, Credentials};
use schemars::JsonSchema;
use serde::Deserialize;

use super::error::{ExtensionError, SiteError};

/// Connections of this gateway to the other site.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename = "Between")]
pub(crate) struct SiteSettings {
    /// Name of this site: lowercase letters, digits and inner hyphens.
    pub(crate) site: String,
    /// Name of this gateway within its site; by default the name in the configuration.
    pub(crate) gateway: Option<String>,
    /// Address to listen on for gateways of the other site (UDP).
    pub(crate) listen: SocketAddr,
    /// Address at which the other site reaches this gateway, if it differs from `listen`.
    pub(crate) reached_at: Option<SocketAddr>,
    /// Name and gateways of the other site.
    #[schemars(description = "")]
    pub(crate) other: OtherSiteSettings,
    /// Certificate and key of this gateway.
    #[schemars(description = "")]
    pub(crate) keys: KeyFiles,
    /// Unix socket for the command `harrierdock site`.
    #[serde(rename = "control")]
    pub(crate) control_socket: Option<PathBuf>,
    /// Request classes whose endpoints deduplicate idempotency keys across both sites.
    #[serde(default, rename = "groups_spanning")]
    pub(crate) classes_deduplicated_across_sites: Vec<String>,
}

/// Name and gateways of the other site.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename = "OtherSite")]
#[schemars(description = "")]
pub(crate) struct OtherSiteSettings {
    /// Name of the other site.
    #[schemars(description = "")]
    pub(crate) site: String,
    /// Initial gateways of the other site, at least one; the others are learned from them.
    pub(crate) gateways: Vec<OtherGatewaySettings>,
}

/// Name and address of a gateway of the other site.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename = "GatewayTold")]
#[schemars(description = "")]
pub(crate) struct OtherGatewaySettings {
    /// Name of the gateway within its site.
    #[schemars(description = "")]
    pub(crate) gateway: String,
    /// Address at which the gateway is reached (UDP).
    pub(crate) address: SocketAddr,
}

impl SiteSettings {
    /// Returns the site and name of this gateway. `configured_name` is the name in the configuration.
    pub(crate) fn local_name(&self, configured_name: &str) -> GatewayName {
        GatewayName {
            site: self.site.clone(),
            gateway: self
                .gateway
                .clone()
                .unwrap_or_else(|| configured_name.into()),
        }
    }

    /// Returns the names and addresses of the initial gateways of the other site.
    pub(crate) fn seeds(&self) -> Vec<(GatewayName, SocketAddr)> {
        let seed = |settings: &OtherGatewaySettings| {
            let name = GatewayName {
                site: self.other.site.clone(),
                gateway: settings.gateway.clone(),
            };
            (name, settings.address)
        };
        self.other.gateways.iter().map(seed).collect()
    }

    /// Checks the settings against the name of this gateway and the request classes in the configuration. Paths of key files are
    /// relative to `folder`.
    ///
    /// # Errors
    ///
    /// A field is invalid, or a key file cannot be read or parsed.
    pub(crate) fn check(
        &self,
        configured_name: &str,
        classes: &[&str],
        folder: &Path,
    ) -> Result<(), ExtensionError> {
        let own = self.local_name(configured_name);
        check_name("site", &own.site)?;
        check_name("gateway", &own.gateway)?;
        check_name("other.site", &self.other.site)?;
        if self.other.site == own.site {
            return Err(site_error(
                "other.site",
                SiteError::OwnSite { site: own.site },
            ));
        }
        if self.other.gateways.is_empty() {
            return Err(site_error("other.gateways", SiteError::NoGateways));
        }
        for (index, settings) in self.other.gateways.iter().enumerate() {
            let field = format!("other.gateways[{index}].gateway");
            check_name(&field, &settings.gateway)?;
        }
        let unknown = self
            .classes_deduplicated_across_sites
            .iter()
            .find(|class| !classes.contains(&class.as_str()));
        if let Some(class) = unknown {
            let class = class.clone();
            return Err(site_error(
                "groups_spanning",
                SiteError::UnknownClass { class },
            ));
        }
        self.credentials(&own, folder).map(|_| ())
    }

    /// Reads the key files. Their paths are relative to `folder`.
    ///
    /// # Errors
    ///
    /// A key file cannot be read or parsed, or the certificate is for another gateway.
    pub(crate) fn credentials(
        &self,
        own: &GatewayName,
        folder: &Path,
    ) -> Result<Credentials, ExtensionError> {
        let credentials = self.keys.read(folder, "sites.keys")?;
        if credentials.gateway != *own {
            let source = SiteError::ForeignCertificate {
                named: credentials.gateway,
                own: own.clone(),
            };
            return Err(site_error("keys.certificate", source));
        }
        Ok(credentials)
    }
}

fn site_error(field: &str, source: SiteError) -> ExtensionError {
    ExtensionError::Site {
        field: field.into(),
        source,
    }
}

fn check_name(field: &str, name: &str) -> Result<(), ExtensionError> {
    check_label(name).map_err(|e| site_error(field, e.into()))
}
