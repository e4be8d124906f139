//! Encoding and decoding of messages. Each encoded message is sent as one unit.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{ForwardedRequest, ForwardingResponse, Heartbeat};

/// The maximum message length in bytes: the longest head and body of the client protocol plus the other fields.
pub const MAX_MESSAGE_BYTES: usize = 96 * 1024;

/// A message from one gateway to a gateway of the other site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SiteMessage {
    /// A periodic heartbeat on a path.
    Heartbeat(Heartbeat),
    /// A request that the sender forwards.
    Request(ForwardedRequest),
    /// The outcome of a forwarded request.
    Response(ForwardingResponse),
    /// A query for the outcome of a forwarded request whose response is missing.
    StatusQuery {
        /// The sender's id for the forwarded request.
        forwarding_id: u64,
        /// The sender's incarnation when it forwarded the request.
        sender_incarnation: u64,
        /// The receiver's incarnation that the request was forwarded to.
        receiver_incarnation: u64,
    },
    /// A notice that the client of a forwarded request disconnected.
    Cancel {
        /// The sender's id for the forwarded request.
        forwarding_id: u64,
        /// The sender's incarnation when it forwarded the request.
        sender_incarnation: u64,
    },
}

/// Why a message cannot be encoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EncodeError {
    /// The message would be longer than [`MAX_MESSAGE_BYTES`].
    #[error("a message of {bytes} bytes is longer than {MAX_MESSAGE_BYTES}")]
    TooLong {
        /// The length of the encoded message.
        bytes: usize,
    },
    /// The serializer failed.
    #[error("{0}")]
    Serialize(#[source] postcard::Error),
}

/// Why bytes cannot be decoded as a message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The input is longer than [`MAX_MESSAGE_BYTES`].
    #[error("a message of {bytes} bytes is longer than {MAX_MESSAGE_BYTES}")]
    TooLong {
        /// The length of the input.
        bytes: usize,
    },
    /// Bytes follow the message.
    #[error("{bytes} bytes follow the message")]
    TrailingBytes {
        /// The number of trailing bytes.
        bytes: usize,
    },
    /// The input is truncated or not a message of this version.
    #[error("{0}")]
    Deserialize(#[source] postcard::Error),
}

/// Encodes a message with postcard.
///
/// # Errors
/// The encoded message would be longer than [`MAX_MESSAGE_BYTES`].
pub fn encode(message: &SiteMessage) -> Result<Vec<u8>, EncodeError> {
    let bytes = postcard::to_stdvec(message).map_err(EncodeError::Serialize)?;
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(EncodeError::TooLong { bytes: bytes.len() });
    }
    Ok(bytes)
}

/// Decodes a message from the whole input.
///
/// # Errors
/// The input is too long, truncated, not a message of this version, or has trailing bytes.
pub fn decode(bytes: &[u8]) -> Result<SiteMessage, DecodeError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(DecodeError::TooLong { bytes: bytes.len() });
    }
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        Ok((_, trailing)) => Err(DecodeError::TrailingBytes {
            bytes: trailing.len(),
        }),
        Err(error) => Err(DecodeError::Deserialize(error)),
    }
}
