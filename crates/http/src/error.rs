//! Errors of message parsing.

use thiserror::Error;

/// Why a message cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ParseError {
    /// Not an HTTP/1 message, or one whose end two parsers could disagree on.
    #[error("malformed message")]
    Malformed,
    /// The head is longer than `MAX_HEAD_BYTES` or has too many fields.
    #[error("head too large")]
    HeadTooLarge,
    /// The body is longer than `MAX_BODY_BYTES`.
    #[error("body too large")]
    BodyTooLarge,
    /// The transfer coding of the body is not chunked.
    #[error("unknown transfer coding")]
    UnknownCoding,
}

impl ParseError {
    /// The status code of the response to a request with this error.
    pub fn status(self) -> u16 {
        match self {
            ParseError::Malformed => 400,
            ParseError::HeadTooLarge => 431,
            ParseError::BodyTooLarge => 413,
            ParseError::UnknownCoding => 501,
        }
    }
}
