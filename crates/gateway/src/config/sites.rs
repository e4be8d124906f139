//! The settings of the connections between two sites.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use harrierdock_flow_export::KeyFiles;
use harrierdock_site_messages::GatewayName;
use harrierdock_site_transport::{check_label, Credentials};
use schemars::JsonSchema;
use serde::Deserialize;

use super::error::{ExtensionError, SiteError};

/// Where this gateway stands between two sites.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename = "Between")]
#[schemars(description = "This gateway's place between two sites.")]
pub(crate) struct SiteSettings {
    /// This site's name: small letters, digits and inner hyphens.
    pub(crate) site: String,
    /// This gateway's name in its site; by default the configuration's name.
    pub(crate) gateway: Option<String>,
    /// Where the transport listens (UDP).
    #[schemars(description = "Where the link listens (UDP).")]
    pub(crate) listen: SocketAddr,
    /// Where the other site's gateways reach it, if that is another address.
    pub(crate) reached_at: Option<SocketAddr>,
    /// The other site.
    #[schemars(description = "")]
    pub(crate) other: OtherSiteSettings,
    /// This gateway's keys.
    #[schemars(description = "")]
    pub(crate) keys: KeyFiles,
    /// A Unix socket for `harrierdock site`.
    #[serde(rename = "control")]
    pub(crate) control_socket: Option<PathBuf>,
    /// Classes whose idempotency keys the endpoints of both sites recognise together.
    #[serde(default, rename = "groups_spanning")]
    #[schemars(
        description = "Referenced request classes whose repeats one group of endpoints drops across both sites."
    )]
    pub(crate) classes_deduplicated_across_sites: Vec<String>,
}

/// The other site.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename = "OtherSite")]
#[schemars(description = "")]
pub(crate) struct OtherSiteSettings {
    /// Its name.
    #[schemars(description = "")]
    pub(crate) site: String,
    /// Some of its gateways, one at least; the rest is learned from them.
    pub(crate) gateways: Vec<OtherGatewaySettings>,
}

/// A gateway of the other site.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename = "GatewayTold")]
#[schemars(description = "")]
pub(crate) struct OtherGatewaySettings {
    /// Its name.
    #[schemars(description = "")]
    pub(crate) gateway: String,
    /// Where its transport listens (UDP).
    #[schemars(description = "Where its link listens (UDP).")]
    pub(crate) address: SocketAddr,
}

impl SiteSettings {
    /// This gateway's full name. `configured_name` is its name in the configuration.
    pub(crate) fn local_name(&self, configured_name: &str) -> GatewayName {
        GatewayName {
            site: self.site.clone(),
            gateway: self
                .gateway
                .clone()
                .unwrap_or_else(|| configured_name.into()),
        }
    }

    /// The gateways of the other site that are known from the start, with their addresses.
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

    /// Checks the settings beside the configuration's name of this gateway and its request classes.
    ///
    /// # Errors
    ///
    /// A field does not fit, or the key files cannot be used.
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
            return Err(refused("other.site", SiteError::OwnSite { site: own.site }));
        }
        if self.other.gateways.is_empty() {
            return Err(refused("other.gateways", SiteError::NoGateways));
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
            return Err(refused(
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
    /// They cannot be used, or are another gateway's.
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
            return Err(refused("keys.certificate", source));
        }
        Ok(credentials)
    }
}

fn refused(field: &str, source: SiteError) -> ExtensionError {
    ExtensionError::Site {
        field: field.into(),
        source,
    }
}

fn check_name(field: &str, name: &str) -> Result<(), ExtensionError> {
    check_label(name).map_err(|e| refused(field, e.into()))
}
