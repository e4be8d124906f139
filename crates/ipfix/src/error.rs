//! Errors of decoding and encoding.

use thiserror::Error;

/// Why a message cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The version number is neither 10 (IPFIX) nor 9 (NetFlow v9).
    #[error("Version({0})")]
    UnsupportedVersion(u16),
    /// A stated length doesn't match the octets of the message, set or field.
    #[error("Length")]
    WrongLength,
    /// A template or set is malformed.
    #[error("Form")]
    Malformed,
    /// The message exceeds the limit of templates, fields or observation domains.
    #[error("TooMany")]
    LimitExceeded,
}

/// A template or record is larger than the maximum message size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the record is larger than the maximum message size")]
pub struct RecordTooLarge;
