//! Why flow export cannot start, or its settings are refused.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

use crate::KeyFileError;

/// Why the settings are refused. The message names the field and what it should be.
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
    /// There are too many collectors.
    #[error("flows.collectors: more than {max}")]
    TooManyCollectors {
        /// How many are allowed.
        max: usize,
    },
    /// Two collectors have one name.
    #[error("flows.collectors[{index}].name: '{name}' is there twice")]
    DuplicateCollector {
        /// The second one's index.
        index: usize,
        /// The name.
        name: String,
    },
    /// There are keys without TLS, or TLS without keys.
    #[error("flows.collectors[{index}].keys: are for the road tls, which needs them")]
    KeysWithoutTls {
        /// The collector's index.
        index: usize,
    },
    /// NetFlow v9 over a stream, in which its messages could not be separated.
    #[error("flows.collectors[{index}].form: v9 has no lengths of messages, so its road is udp")]
    NetflowV9OverStream {
        /// The collector's index.
        index: usize,
    },
    /// The rate limit is too low.
    #[error("flows.collectors[{index}].octets_a_second: is {min} at the least")]
    RateLimitTooLow {
        /// The collector's index.
        index: usize,
        /// The lowest value allowed.
        min: u32,
    },
    /// The message size is out of its range.
    #[error("flows.collectors[{index}].message_octets: is from {min} to {max}")]
    MessageSizeOutOfRange {
        /// The collector's index.
        index: usize,
        /// The lowest value allowed.
        min: usize,
        /// The highest value allowed.
        max: usize,
    },
}

/// Why flow export cannot start or take new settings.
#[derive(Debug, Error)]
pub enum FlowExportError {
    /// The settings no longer ask for export, which only a restart can end.
    #[error("flows: export ends with the next start only")]
    DisabledWhileRunning,
    /// A collector's key files cannot be used.
    #[error(transparent)]
    KeyFiles(#[from] KeyFileError),
    /// The certificate authority cannot be trusted.
    #[error("authority: {0}")]
    Authority(#[source] rustls::Error),
    /// The certificate and its key cannot be used for TLS.
    #[error(transparent)]
    Tls(#[from] rustls::Error),
    /// The flow file cannot be opened.
    #[error("flows.file.path: {}: {source}", path.display())]
    FlowFile {
        /// The file.
        path: PathBuf,
        /// What the system reports.
        #[source]
        source: io::Error,
    },
    /// The flow file holds something other than IPFIX messages.
    #[error("flows.file.path: {}: no IPFIX at octet {offset}", path.display())]
    NotIpfix {
        /// The file.
        path: PathBuf,
        /// The octet at which no message begins.
        offset: usize,
        /// What is there instead.
        #[source]
        source: harrierdock_ipfix::DecodeError,
    },
}
