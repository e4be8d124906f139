//! The settings of flow export in the extension file.
//!
//! The doc comments are the descriptions in the published JSON schema. The names in `rename` attributes are fixed by that schema
//! and by existing extension files, where they differ from the code's terms (`road` for the transport, for example).

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
/// The lowest rate at which a collector still receives a flow of every key from time to time.
const MIN_OCTETS_PER_SECOND: u32 = 1024;
/// At least the size of the largest record, and at most the size of a datagram.
const DATAGRAM_OCTETS_RANGE: RangeInclusive<usize> = 512..=65_000;

/// Export of flows: counts of attempts and requests by build, rollout stage, request class, outcome and path.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename = "FlowsTold")]
pub struct FlowExportSettings {
    /// Active timeout: the interval at which each flow is exported, in milliseconds.
    #[serde(rename = "active_ms", default = "default_active_timeout_ms")]
    pub active_timeout_ms: u32,
    /// Observation domain id of IPFIX, or source id of NetFlow v9.
    #[serde(rename = "domain", default = "default_observation_domain")]
    pub observation_domain: u32,
    /// Collectors to send flows to.
    #[serde(default)]
    #[schemars(description = "")]
    pub collectors: Vec<CollectorSettings>,
    /// File to write flows to.
    #[schemars(description = "")]
    pub file: Option<FlowFileSettings>,
}

/// Transport of the messages to a collector.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(from = "TransportName")]
#[schemars(rename = "CollectorRoad")]
pub enum Transport {
    /// One datagram per message.
    Udp,
    /// A TCP connection without encryption.
    Tcp,
    /// TLS 1.3 over TCP. Requires `keys`.
    Tls,
}

/// The transports as the extension file and its schema name them.
#[derive(Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase", rename = "CollectorRoad")]
enum TransportName {
    Udp,
    Tcp,
    /// TLS 1.3 over TCP. Requires `keys`.
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

/// Format of the messages to a collector.
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

/// The message formats as the extension file and its schema name them.
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

/// A collector.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename = "CollectorTold")]
#[schemars(description = "")]
pub struct CollectorSettings {
    /// Unique name. On a reload, pending flows are kept for the collector of the same name.
    pub name: String,
    /// Address that the collector listens on.
    #[schemars(description = "")]
    pub address: SocketAddr,
    /// Transport of the messages.
    #[serde(rename = "road")]
    #[schemars(description = "")]
    pub transport: Transport,
    /// Format of the messages.
    #[serde(rename = "form", default)]
    #[schemars(description = "")]
    pub format: MessageFormat,
    /// Largest message over UDP, in octets; 1400 by default.
    #[serde(rename = "message_octets")]
    pub max_datagram_octets: Option<usize>,
    /// Rate limit in octets per second; flows that exceed it wait and are merged. 16384 by default.
    #[serde(rename = "octets_a_second", default = "default_octets_per_second")]
    pub octets_per_second: u32,
    /// Certificates and key for TLS.
    #[serde(rename = "keys")]
    #[schemars(description = "")]
    pub key_files: Option<KeyFiles>,
    /// Name in the collector's certificate; by default its IP address.
    pub server_name: Option<String>,
}

/// A file of IPFIX messages (RFC 5655).
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename = "FlowFileTold")]
pub struct FlowFileSettings {
    /// Path of the file.
    #[schemars(description = "")]
    pub path: PathBuf,
    /// Maximum size in megabytes, at which the file is rotated.
    #[serde(rename = "most_mb")]
    pub max_megabytes: u32,
    /// Number of rotated files to keep; `PATH.1` is the newest.
    #[serde(rename = "keep", default)]
    pub max_rotated_files: u32,
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
    /// The interval at which each flow is exported.
    pub fn active_timeout(&self) -> TimeDelta {
        TimeDelta::from_millis(i64::from(self.active_timeout_ms))
    }

    /// Returns the number of file descriptors that the export needs: one per collector, and one for the file.
    pub fn descriptor_count(&self) -> usize {
        self.collectors.len() + usize::from(self.file.is_some())
    }

    /// Checks the values, without reading any file.
    ///
    /// # Errors
    /// The first invalid field.
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

    /// Checks that the key files of all collectors are readable and valid.
    ///
    /// # Errors
    /// The first unreadable or invalid file.
    pub fn check_key_files(&self, folder: &Path) -> Result<(), KeyFileError> {
        for collector in &self.collectors {
            collector.read_credentials(folder)?;
        }
        Ok(())
    }
}

impl CollectorSettings {
    fn validate(&self, index: usize) -> Result<(), SettingsError> {
        if (self.transport == Transport::Tls) != self.key_files.is_some() {
            return Err(SettingsError::KeysAndTransportMismatch { index });
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
        let max_octets = self.max_datagram_octets;
        if max_octets.is_some_and(|octets| !DATAGRAM_OCTETS_RANGE.contains(&octets)) {
            return Err(SettingsError::MessageSizeOutOfRange {
                index,
                min: *DATAGRAM_OCTETS_RANGE.start(),
                max: *DATAGRAM_OCTETS_RANGE.end(),
            });
        }
        Ok(())
    }

    /// Reads the collector's key files, which only TLS has.
    ///
    /// # Errors
    /// The first unreadable or invalid file.
    pub fn read_credentials(&self, folder: &Path) -> Result<Option<Credentials>, KeyFileError> {
        let field = format!("flows.collectors.{}.keys", self.name);
        self.key_files
            .as_ref()
            .map(|files| files.read(folder, &field))
            .transpose()
    }
}
