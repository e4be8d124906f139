//! The settings of flow export, as the extension file has them.
//!
//! Names of containers and descriptions given to `schemars` are those of the published JSON schema.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

use harrierdock_site_transport::Credentials;
use harrierdock_types::TimeDelta;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::{KeyFileError, KeyFiles, SettingsError};

const MIN_ACTIVE_TIMEOUT_MS: u32 = 100;
const MAX_COLLECTORS: usize = 8;
/// The lowest rate at which a collector still receives every key once in a while.
const MIN_OCTETS_PER_SECOND: u32 = 1024;
/// From what holds every record to what fits a datagram.
const MESSAGE_OCTETS: RangeInclusive<usize> = 512..=65_000;

/// Flow export: counts by build, stage, request class, outcome and path.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename = "FlowsTold")]
#[schemars(description = "Flow export: sums by release, stage, request class, outcome and road.")]
pub struct FlowExportSettings {
    /// After how many milliseconds a flow in progress is exported.
    #[serde(rename = "active_ms", default = "default_active_timeout_ms")]
    #[schemars(description = "After how many milliseconds sums that go on are told.")]
    pub active_timeout_ms: u32,
    /// The observation domain, or the source of NetFlow v9.
    #[serde(rename = "domain", default = "default_observation_domain")]
    #[schemars(description = "The observation domain, or v9's source.")]
    pub observation_domain: u32,
    /// Where flows are sent to.
    #[serde(default)]
    #[schemars(description = "")]
    pub collectors: Vec<CollectorSettings>,
    /// The file that flows are written to.
    #[schemars(description = "")]
    pub file: Option<FlowFileSettings>,
}

/// By which transport a collector is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(from = "TransportName")]
#[schemars(rename = "CollectorRoad", description = "How a collector is reached.")]
pub enum Transport {
    /// Datagrams.
    Udp,
    /// A connection without encryption.
    Tcp,
    /// TLS 1.3 on TCP, with `keys`.
    Tls,
}

/// The names of transports in the file, and their schema.
#[derive(Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase", rename = "CollectorRoad")]
enum TransportName {
    Udp,
    Tcp,
    /// TLS 1.3 on TCP, with `keys`.
    Tls,
}

impl From<TransportName> for Transport {
    fn from(name: TransportName) -> Transport {
        match name {
            TransportName::Udp => Transport::Udp,
            TransportName::Tcp => Transport::Tcp,
            TransportName::Tls => Transport::Tls,
        }
    }
}

/// The format of the messages that a collector is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(from = "MessageFormatName")]
#[schemars(rename = "FlowForm", description = "")]
pub enum MessageFormat {
    /// IPFIX (RFC 7011).
    #[default]
    Ipfix,
    /// NetFlow v9 (RFC 3954).
    NetflowV9,
}

/// The names of formats in the file, and their schema.
#[derive(Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase", rename = "FlowForm")]
#[schemars(description = "")]
enum MessageFormatName {
    Ipfix,
    V9,
}

impl From<MessageFormatName> for MessageFormat {
    fn from(name: MessageFormatName) -> MessageFormat {
        match name {
            MessageFormatName::Ipfix => MessageFormat::Ipfix,
            MessageFormatName::V9 => MessageFormat::NetflowV9,
        }
    }
}

/// One collector.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename = "CollectorTold")]
#[schemars(description = "")]
pub struct CollectorSettings {
    /// A unique name, by which a reload finds the flows that wait for the collector.
    #[schemars(
        description = "Another one for each collector; by it a reload knows what waits for whom."
    )]
    pub name: String,
    /// Where the collector listens.
    #[schemars(description = "")]
    pub address: SocketAddr,
    /// By which transport it is reached.
    #[serde(rename = "road")]
    #[schemars(description = "")]
    pub transport: Transport,
    /// The format of its messages.
    #[serde(rename = "form", default)]
    #[schemars(description = "")]
    pub format: MessageFormat,
    /// The longest message over UDP, in octets; 1400 by default.
    #[serde(rename = "message_octets")]
    #[schemars(description = "The longest message over UDP, in octets; 1400 by default.")]
    pub max_datagram_octets: Option<usize>,
    /// The rate limit, in octets per second; flows beyond it wait and are merged. 16384 by default.
    #[serde(rename = "octets_a_second", default = "default_octets_per_second")]
    #[schemars(
        description = "Octets a second that it is sent at the most; what is beyond waits and is merged. 16384 by default."
    )]
    pub octets_per_second: u32,
    /// The key files of TLS.
    #[serde(rename = "keys")]
    #[schemars(description = "")]
    pub key_files: Option<KeyFiles>,
    /// The name in the collector's certificate; its address by default.
    pub server_name: Option<String>,
}

/// A file of IPFIX messages (RFC 5655).
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename = "FlowFileTold")]
pub struct FlowFileSettings {
    /// Where the file is.
    #[schemars(description = "")]
    pub path: PathBuf,
    /// How large the file may become, in megabytes, before it is rotated.
    #[serde(rename = "most_mb")]
    #[schemars(description = "How large it may become, in megabytes, before another one begins.")]
    pub max_megabytes: u32,
    /// How many rotated files are kept: PATH.1 is the newest.
    #[serde(rename = "keep", default)]
    #[schemars(description = "Earlier ones kept: PATH.1 is the newest.")]
    pub rotated_files: u32,
}

fn default_active_timeout_ms() -> u32 {
    1000
}

fn default_observation_domain() -> u32 {
    1
}

fn default_octets_per_second() -> u32 {
    16 * 1024
}

impl FlowExportSettings {
    /// After how long a flow in progress is exported.
    pub fn active_timeout(&self) -> TimeDelta {
        TimeDelta::from_millis(i64::from(self.active_timeout_ms))
    }

    /// File descriptors that the export needs: one for each collector and one for the file.
    pub fn descriptor_count(&self) -> usize {
        self.collectors.len() + usize::from(self.file.is_some())
    }

    /// Checks the settings by themselves; no file is read.
    ///
    /// # Errors
    /// The first field that is wrong.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.active_timeout_ms < MIN_ACTIVE_TIMEOUT_MS {
            return Err(SettingsError::ActiveTimeoutTooShort {
                value_ms: self.active_timeout_ms,
                min_ms: MIN_ACTIVE_TIMEOUT_MS,
            });
        }
        if self.collectors.len() > MAX_COLLECTORS {
            return Err(SettingsError::TooManyCollectors {
                max: MAX_COLLECTORS,
            });
        }
        for (index, collector) in self.collectors.iter().enumerate() {
            let is_duplicate = self.collectors[..index]
                .iter()
                .any(|other| other.name == collector.name);
            if is_duplicate {
                return Err(SettingsError::DuplicateCollector {
                    index,
                    name: collector.name.clone(),
                });
            }
            collector.validate(index)?;
        }
        Ok(())
    }

    /// Checks that every collector's key files can be read and used.
    ///
    /// # Errors
    /// The first file that cannot.
    pub fn check_key_files(&self, folder: &Path) -> Result<(), KeyFileError> {
        for collector in &self.collectors {
            collector.credentials(folder)?;
        }
        Ok(())
    }
}

impl CollectorSettings {
    fn validate(&self, index: usize) -> Result<(), SettingsError> {
        if (self.transport == Transport::Tls) != self.key_files.is_some() {
            return Err(SettingsError::KeysWithoutTls { index });
        }
        if self.format == MessageFormat::NetflowV9 && self.transport != Transport::Udp {
            return Err(SettingsError::NetflowV9OverStream { index });
        }
        if self.octets_per_second < MIN_OCTETS_PER_SECOND {
            return Err(SettingsError::RateLimitTooLow {
                index,
                min: MIN_OCTETS_PER_SECOND,
            });
        }
        let size = self.max_datagram_octets;
        if size.is_some_and(|octets| !MESSAGE_OCTETS.contains(&octets)) {
            return Err(SettingsError::MessageSizeOutOfRange {
                index,
                min: *MESSAGE_OCTETS.start(),
                max: *MESSAGE_OCTETS.end(),
            });
        }
        Ok(())
    }

    /// Reads the collector's key files, if it has any.
    ///
    /// # Errors
    /// The first file that cannot be read or used.
    pub fn credentials(&self, folder: &Path) -> Result<Option<Credentials>, KeyFileError> {
        let field = format!("flows.collectors.{}.keys", self.name);
        self.key_files
            .as_ref()
            .map(|files| files.read(folder, &field))
            .transpose()
    }
}
