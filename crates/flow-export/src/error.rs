//! Errors of flow export and its settings.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

use crate::KeyFileError;

/// An invalid setting. The message names the field.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The active timeout is too short.
    #[error("flows.active_ms: {value_ms} is less than {min_ms}")]
    ActiveTimeoutTooShort {
        /// The value in milliseconds.
        value_ms: u32,
        /// The lowest value allowed.
        min_ms: u32,
    },
    /// The number of collectors exceeds the limit.
    #[error("flows.collectors: more than {max} collectors")]
    TooManyCollectors {
        /// The largest number allowed.
        max: usize,
    },
    /// Two collectors have the same name.
    #[error("flows.collectors[{index}].name: duplicate name '{name}'")]
    DuplicateCollector {
        /// The index of the second collector.
        index: usize,
        /// The name that both have.
        name: String,
    },
    /// TLS without key files, or key files without TLS.
    #[error("flows.collectors[{index}].keys: required with road tls, not allowed otherwise")]
    KeysAndTransportMismatch {
        /// The collector's index.
        index: usize,
    },
    /// NetFlow v9 over a stream. Its messages state no length, so the collector could not separate them.
    #[error("flows.collectors[{index}].form: v9 requires road udp, because its messages state no length")]
    NetflowV9OverStream {
        /// The collector's index.
        index: usize,
    },
    /// The rate limit is too low.
    #[error("flows.collectors[{index}].octets_a_second: must be at least {min}")]
    RateLimitTooLow {
        /// The collector's index.
        index: usize,
        /// The lowest value allowed, in octets per second.
        min: u32,
    },
    /// The maximum message size is out of range.
    #[error("flows.collectors[{index}].message_octets: must be from {min} to {max}")]
    MessageSizeOutOfRange {
        /// The collector's index.
        index: usize,
        /// The lowest value allowed, in octets.
        min: usize,
        /// The highest value allowed, in octets.
        max: usize,
    },
}

/// Why flow export cannot start, or cannot apply reloaded settings.
#[derive(Debug, Error)]
pub enum FlowExportError {
    /// The reloaded settings disable export, which requires a restart.
    #[error("stopping the export requires a restart")]
    DisabledWhileRunning,
    /// A collector's key file is unreadable or invalid.
    #[error(transparent)]
    KeyFiles(#[from] KeyFileError),
    /// The certificate of the authority is not accepted as a trust root.
    #[error("authority: {0}")]
    Authority(#[source] rustls::Error),
    /// The gateway's certificate or key is not accepted by TLS.
    #[error(transparent)]
    Tls(#[from] rustls::Error),
    /// The flow file cannot be opened, read or truncated.
    #[error("flows.file.path: {}: {source}", path.display())]
    FlowFile {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        #[source]
        source: io::Error,
    },
    /// The flow file holds something other than IPFIX messages.
    #[error("flows.file.path: {}: no IPFIX message at octet {offset}", path.display())]
    NotIpfix {
        /// The path of the file.
        path: PathBuf,
        /// The octet at which a message was expected.
        offset: usize,
        /// Why the octets at `offset` are no message.
        #[source]
        source: harrierdock_ipfix::DecodeError,
    },
}
