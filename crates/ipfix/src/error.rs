//! What cannot be decoded or encoded.

use thiserror::Error;

/// Why a message cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The version is neither that of IPFIX nor that of NetFlow v9.
    #[error("Version({0})")]
    UnsupportedVersion(u16),
    /// The message ends before the length that it states, or is longer than that.
    #[error("Length")]
    WrongLength,
    /// A template or set is malformed.
    #[error("Form")]
    Malformed,
    /// There are more templates, fields or observation domains than are kept.
    #[error("TooMany")]
    LimitExceeded,
}

/// A template or record fits no message of the given size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the record fits no message")]
pub struct RecordTooLarge;
