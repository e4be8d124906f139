//! The platform's configuration of a gateway, read from its file and from the environment at startup and at a reload. The
//! platform fixes the names in the `rename` attributes, so some differ from the Rust names.

use std::net::{AddrParseError, SocketAddr};
use std::path::{Path, PathBuf};

use harrierdock_config::Names;
use harrierdock_types::Parameters;
use serde::Deserialize;
use serde_json::Value;

use super::environment::{self, Precedence, DISCOVERY_VARIABLE, LISTEN_VARIABLE, NAME_VARIABLE};
use super::error::{ConfigError, ExtensionError, FileError};
use super::extension::ExtensionConfig;
use super::lease::FleetContext;
use crate::control_plane::discovery_messages::EndpointListMessage;
use crate::control_plane::rollout_messages::RolloutMessage;

const PATH_VARIABLE: &str = "LB_CONFIG";
const HEXADECIMAL: u32 = 16;

/// The configuration of a gateway, as the platform writes it.
#[derive(Deserialize)]
#[serde(rename = "Told")]
pub(crate) struct GatewayConfig {
    /// Path of the configuration file.
    #[serde(skip)]
    pub(crate) path: PathBuf,
    /// Name of this gateway, for log lines and as its default name in the extension file.
    #[serde(default)]
    pub(crate) name: String,
    /// Address to listen on for clients.
    pub(crate) listen: SocketAddr,
    /// Address of the discovery service.
    pub(crate) discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    /// Memory and descriptor limits of the process.
    #[serde(default)]
    pub(crate) limits: ProcessLimits,
    /// Address of the gossip socket (UDP); `None` disables gossip.
    #[serde(rename = "peer_listen")]
    pub(crate) gossip_listen: Option<SocketAddr>,
    /// Gossip addresses of all gateways, this one included, indexed by `PeerId`.
    #[serde(default)]
    pub(crate) peers: Vec<SocketAddr>,
    /// Address at which one datagram reaches all peers.
    #[serde(rename = "peers_all")]
    pub(crate) broadcast: Option<SocketAddr>,
    /// Rollout platform; `None` if there is none.
    pub(crate) rollouts: Option<RolloutPlatformConfig>,
    /// Cached endpoint list from an earlier run.
    #[serde(default, rename = "known")]
    pub(crate) cached_list: EndpointListMessage,
    settings: Value,
    /// Parameters of the policy, parsed from `settings`.
    #[serde(skip)]
    pub(crate) parameters: Parameters,
    /// Names of the ids in `parameters`.
    #[serde(skip)]
    pub(crate) names: Names,
}

/// Memory and descriptor limits of the process.
#[derive(Clone, Deserialize)]
#[serde(default, rename = "LimitsTold")]
pub(crate) struct ProcessLimits {
    /// Memory limit in megabytes, which bounds the buffer pool.
    pub(crate) memory_mb: usize,
    /// Maximum number of open file descriptors, including the reserved ones.
    #[serde(rename = "sockets")]
    pub(crate) descriptors: usize,
}

impl Default for ProcessLimits {
    /// The lowest limits that the platform grants.
    fn default() -> ProcessLimits {
        ProcessLimits {
            memory_mb: 192,
            descriptors: 1024,
        }
    }
}

/// Address of the rollout platform and its last known rollout state.
#[derive(Deserialize)]
#[serde(rename = "RolloutsTold")]
pub(crate) struct RolloutPlatformConfig {
    /// Address of the HTTP interface.
    pub(crate) address: SocketAddr,
    /// State of the newest rollout; `None` if it is unknown at startup.
    #[serde(rename = "news")]
    pub(crate) state: Option<RolloutMessage>,
}

impl GatewayConfig {
    /// Reads the configuration file at `path`, or at the path in `LB_CONFIG` if `path` is `None`. Environment variables override
    /// the file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or a field is invalid.
    pub(crate) fn read(path: Option<PathBuf>) -> Result<GatewayConfig, ConfigError> {
        let path = configuration_path(path)?;
        GatewayConfig::read_file(&path, Precedence::Environment, None)
    }

    /// Reads the configuration at startup, as `read` does. If the gateway already listens on an address, the file must not set a
    /// different one.
    ///
    /// # Errors
    ///
    /// As in `read`, or the address in the file differs.
    pub(crate) fn read_at_start(
        path: Option<PathBuf>,
        listening_on: Option<SocketAddr>,
    ) -> Result<GatewayConfig, ConfigError> {
        let path = configuration_path(path)?;
        GatewayConfig::read_file(&path, Precedence::Environment, listening_on)
    }

    /// Reads the file at a reload. The file overrides the environment, which cannot have changed since startup.
    ///
    /// # Errors
    ///
    /// As in `read`.
    pub(crate) fn read_at_reload(path: &Path) -> Result<GatewayConfig, ConfigError> {
        GatewayConfig::read_file(path, Precedence::File, None)
    }

    fn read_file(
        path: &Path,
        precedence: Precedence,
        listening_on: Option<SocketAddr>,
    ) -> Result<GatewayConfig, ConfigError> {
        let parsed = parse(path, precedence, listening_on).map_err(|source| ConfigError::File {
            path: path.into(),
            source,
        })?;
        let (parameters, names) =
            harrierdock_config::read(&parsed.settings).map_err(|source| ConfigError::Settings {
                path: path.into(),
                source: Box::new(source),
            })?;
        Ok(GatewayConfig {
            path: path.into(),
            parameters,
            names,
            ..parsed
        })
    }

    /// Overrides fields with the values of environment variables.
    fn with_environment(self) -> Result<GatewayConfig, AddrParseError> {
        let address = |variable: &str, in_file: SocketAddr| match std::env::var(variable) {
            Ok(text) => text.parse(),
            Err(_) => Ok(in_file),
        };
        Ok(GatewayConfig {
            name: std::env::var(NAME_VARIABLE).unwrap_or(self.name),
            listen: address(LISTEN_VARIABLE, self.listen)?,
            discovery: address(DISCOVERY_VARIABLE, self.discovery)?,
            ..self
        })
    }

    /// Returns the seed of the random number generators. A seed that is not a hexadecimal number is hashed.
    pub(crate) fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, HEXADECIMAL)
            .unwrap_or_else(|_| harrierdock_config::fnv1a(&self.seed))
    }

    /// Summarizes the configuration and the extension file, one line for each of their parts.
    ///
    /// # Errors
    ///
    /// The extension file is invalid.
    pub(crate) fn describe(&self, extension_path: Option<&Path>) -> Result<String, ConfigError> {
        let extension = ExtensionConfig::read(extension_path)?;
        self.check_extension(extension_path, &extension)?;
        let mut lines = vec![self.summary()];
        if let Some(sites) = &extension.sites {
            lines.push(format!(
                "{} links on {} with {} of {}",
                sites.local_name(&self.name),
                sites.listen,
                sites.other.gateways.len(),
                sites.other.site
            ));
        }
        if let Some(leases) = &extension.leases {
            lines.push(leases.summary(&self.name));
        }
        Ok(lines.join("\n"))
    }

    /// Checks an extension against the configuration.
    ///
    /// # Errors
    ///
    /// A field is invalid. The error includes `path`, if given.
    pub(crate) fn check_extension(
        &self,
        path: Option<&Path>,
        extension: &ExtensionConfig,
    ) -> Result<(), ConfigError> {
        let classes: Vec<&str> = self.names.classes.iter().collect();
        let fleet = self.fleet_context();
        let checked = extension
            .check_leases(&fleet)
            .map_err(ExtensionError::from)
            .and_then(|()| extension.check(&self.name, &classes));
        match (checked, path) {
            (Ok(()), _) => Ok(()),
            (Err(source), None) => Err(source.into()),
            (Err(source), Some(path)) => Err(ConfigError::ExtensionFile {
                path: path.into(),
                source: Box::new(source),
            }),
        }
    }

    /// Returns the values that the lease settings must agree with.
    pub(crate) fn fleet_context(&self) -> FleetContext<'_> {
        FleetContext {
            name: &self.name,
            ordinal: self.parameters.local_peer.0,
            peer_count: self.peers.len(),
            has_gossip: self.gossip_listen.is_some(),
        }
    }

    /// Summarizes the configuration in one line.
    fn summary(&self) -> String {
        let platform = match &self.rollouts {
            Some(rollouts) => format!("at {}", rollouts.address),
            None => "none".into(),
        };
        format!(
            "{} listens on {}, discovery at {}, platform {platform}, {} of {} gateways, products {}, {} MB, {} descriptors",
            self.name,
            self.listen,
            self.discovery,
            self.parameters.local_peer,
            self.parameters.gateway_count,
            self.names.classes.iter().collect::<Vec<_>>().join(" "),
            self.limits.memory_mb,
            self.limits.descriptors,
        )
    }
}

fn configuration_path(path: Option<PathBuf>) -> Result<PathBuf, ConfigError> {
    path.or_else(|| std::env::var_os(PATH_VARIABLE).map(PathBuf::from))
        .ok_or(ConfigError::NoPath)
}

fn parse(
    path: &Path,
    precedence: Precedence,
    listening_on: Option<SocketAddr>,
) -> Result<GatewayConfig, FileError> {
    let text = std::fs::read_to_string(path)?;
    if precedence == Precedence::Environment {
        if let Some(config) = parse_directly(&text, listening_on) {
            return Ok(config);
        }
    }
    parse_by_field(&text, precedence, listening_on)
}

/// Parses a configuration directly into its types, which saves processor time at startup. Returns `None` for an invalid
/// configuration: errors at this stage do not name the field, and an environment variable may still supply its value.
fn parse_directly(text: &str, listening_on: Option<SocketAddr>) -> Option<GatewayConfig> {
    let config: GatewayConfig = serde_json::from_str(text).ok()?;
    if listening_on.is_some_and(|address| address != config.listen) {
        return None;
    }
    config.with_environment().ok()
}

/// Parses a configuration through a JSON value, so that errors name the field.
fn parse_by_field(
    text: &str,
    precedence: Precedence,
    listening_on: Option<SocketAddr>,
) -> Result<GatewayConfig, FileError> {
    let mut value: Value = serde_json::from_str(text)?;
    let fields = value.as_object_mut().ok_or(FileError::NotAnObject)?;
    if let Some(address) = listening_on {
        environment::check_listen_address(fields, address)?;
    }
    environment::set_fields(fields, precedence);
    Ok(serde_path_to_error::deserialize(value)?)
}
