//! Why a message cannot be read.

use thiserror::Error;

/// Why a message cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ParseError {
    /// It is no HTTP/1 message, or two readers could disagree about where it ends.
    #[error("malformed message")]
    Malformed,
    /// Its head is longer than `MAX_HEAD_BYTES` or has too many fields.
    #[error("head too large")]
    HeadTooLarge,
    /// Its body is longer than `MAX_BODY_BYTES`.
    #[error("body too large")]
    BodyTooLarge,
    /// Its body has a transfer coding other than chunked.
    #[error("unknown transfer coding")]
    UnknownCoding,
}

impl ParseError {
    /// The status that answers a request with this error.
    pub fn status(self) -> u16 {
        match self {
            ParseError::Malformed => 400,
            ParseError::HeadTooLarge => 431,
            ParseError::BodyTooLarge => 413,
            ParseError::UnknownCoding => 501,
        }
    }
}
