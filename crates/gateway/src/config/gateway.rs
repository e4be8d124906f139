//! The platform's configuration of a gateway, read at its start and again at a reload, and the environment beside it.

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

/// The configuration of a gateway.
#[derive(Deserialize)]
#[serde(rename = "Told")]
pub(crate) struct GatewayConfig {
    /// The file it was read from.
    #[serde(skip)]
    pub(crate) path: PathBuf,
    /// This gateway's name.
    #[serde(default)]
    pub(crate) name: String,
    /// Where clients are served.
    pub(crate) listen: SocketAddr,
    /// The address of discovery.
    pub(crate) discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    /// The limits of the process.
    #[serde(default)]
    pub(crate) limits: ProcessLimits,
    /// Where peers are heard, if there are any.
    #[serde(rename = "peer_listen")]
    pub(crate) gossip_listen: Option<SocketAddr>,
    /// The addresses of all gateways of the fleet, by their `PeerId`.
    #[serde(default)]
    pub(crate) peers: Vec<SocketAddr>,
    /// Where a datagram reaches all peers.
    #[serde(rename = "peers_all")]
    pub(crate) broadcast: Option<SocketAddr>,
    /// The rollout platform, if there is one.
    pub(crate) rollouts: Option<RolloutPlatformConfig>,
    /// The endpoint list that was kept from an earlier start.
    #[serde(default, rename = "known")]
    pub(crate) cached_list: EndpointListMessage,
    settings: Value,
    /// The policy's parameters.
    #[serde(skip)]
    pub(crate) parameters: Parameters,
    /// The names that the ids of the parameters stand for.
    #[serde(skip)]
    pub(crate) names: Names,
}

/// The limits of the process.
#[derive(Clone, Deserialize)]
#[serde(default, rename = "LimitsTold")]
pub(crate) struct ProcessLimits {
    /// Memory in megabytes.
    pub(crate) memory_mb: usize,
    /// File descriptors.
    #[serde(rename = "sockets")]
    pub(crate) descriptors: usize,
}

impl Default for ProcessLimits {
    /// The least that the platform grants.
    fn default() -> ProcessLimits {
        ProcessLimits {
            memory_mb: 192,
            descriptors: 1024,
        }
    }
}

/// Where the rollout platform is, and what it said last.
#[derive(Deserialize)]
#[serde(rename = "RolloutsTold")]
pub(crate) struct RolloutPlatformConfig {
    /// Its address.
    pub(crate) address: SocketAddr,
    /// The state of the newest rollout, as far as it is known at the start.
    #[serde(rename = "news")]
    pub(crate) state: Option<RolloutMessage>,
}

impl GatewayConfig {
    /// Reads the configuration at `path`, or else at the path that `LB_CONFIG` names. Variables of the environment come before
    /// the file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or a field is refused.
    pub(crate) fn read(path: Option<PathBuf>) -> Result<GatewayConfig, ConfigError> {
        let path = named_path(path)?;
        GatewayConfig::read_file(&path, Precedence::Environment, None)
    }

    /// Reads the configuration of a gateway that starts, as `read` does. If it listens already, the file may name no other
    /// address.
    ///
    /// # Errors
    ///
    /// As in `read`, or the file's address differs.
    pub(crate) fn read_at_start(
        path: Option<PathBuf>,
        listening_on: Option<SocketAddr>,
    ) -> Result<GatewayConfig, ConfigError> {
        let path = named_path(path)?;
        GatewayConfig::read_file(&path, Precedence::Environment, listening_on)
    }

    /// Reads the file again. The environment cannot have changed since the start, so the file comes before it now.
    ///
    /// # Errors
    ///
    /// As in `read`.
    pub(crate) fn read_again(path: &Path) -> Result<GatewayConfig, ConfigError> {
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

    /// This configuration with the fields that variables of the environment give.
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

    /// The seed as a number. One that is not hexadecimal is hashed.
    pub(crate) fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, HEXADECIMAL)
            .unwrap_or_else(|_| harrierdock_config::fnv1a(&self.seed))
    }

    /// What the configuration and the extension file hold, a line each.
    ///
    /// # Errors
    ///
    /// The extension file is refused.
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

    /// Checks that an extension fits the configuration.
    ///
    /// # Errors
    ///
    /// The field that does not fit, behind the file if it has one.
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

    /// What the lease settings have to agree with.
    pub(crate) fn fleet_context(&self) -> FleetContext<'_> {
        FleetContext {
            name: &self.name,
            ordinal: self.parameters.local_peer.0,
            peer_count: self.peers.len(),
            has_gossip: self.gossip_listen.is_some(),
        }
    }

    /// What the configuration holds, in one line.
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

fn named_path(path: Option<PathBuf>) -> Result<PathBuf, ConfigError> {
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

/// Parses a configuration straight into its types, as a start has little processor time. `None` if it is refused: the errors
/// met here do not say which field is at fault, and a variable of the environment may stand in for it.
fn parse_directly(text: &str, listening_on: Option<SocketAddr>) -> Option<GatewayConfig> {
    let config: GatewayConfig = serde_json::from_str(text).ok()?;
    if listening_on.is_some_and(|address| address != config.listen) {
        return None;
    }
    config.with_environment().ok()
}

/// Parses a configuration by way of a JSON value. An error names the field.
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
    environment::apply(fields, precedence);
    Ok(serde_path_to_error::deserialize(value)?)
}
