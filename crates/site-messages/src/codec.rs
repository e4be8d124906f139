//! The encoding of messages: one message fills its bytes.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{ForwardedRequest, ForwardingResponse, Heartbeat};

/// The longest message in bytes: the longest head and body of the client protocol, and the fields beside them.
pub const MAX_MESSAGE_BYTES: usize = 96 * 1024;

/// A message from one gateway to a gateway of the other site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SiteMessage {
    /// A sign of life.
    Heartbeat(Heartbeat),
    /// A forwarded request.
    Request(ForwardedRequest),
    /// What became of a forwarded request.
    Response(ForwardingResponse),
    /// Asks what became of a forwarded request whose response is missing.
    StatusQuery {
        /// The number of the forwarded request.
        forwarding_id: u64,
        /// The incarnation that forwarded it.
        sender_incarnation: u64,
        /// The incarnation that it was forwarded to.
        receiver_incarnation: u64,
    },
    /// The client of a forwarded request has gone away.
    Cancel {
        /// The number of the forwarded request.
        forwarding_id: u64,
        /// The incarnation that forwarded it.
        sender_incarnation: u64,
    },
}

/// Why a message cannot be encoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EncodeError {
    /// The message would be longer than [`MAX_MESSAGE_BYTES`].
    #[error("a message of {bytes} bytes is longer than {MAX_MESSAGE_BYTES}")]
    TooLong {
        /// Its length in bytes.
        bytes: usize,
    },
    /// The serializer refuses it.
    #[error("{0}")]
    Serialize(#[source] postcard::Error),
}

/// Why bytes are no message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// There are more than [`MAX_MESSAGE_BYTES`].
    #[error("{bytes} bytes, more than {MAX_MESSAGE_BYTES}")]
    TooLong {
        /// How many bytes there are.
        bytes: usize,
    },
    /// Bytes follow the message.
    #[error("{bytes} bytes behind a message")]
    TrailingBytes {
        /// How many bytes follow it.
        bytes: usize,
    },
    /// They are cut off, or are no message of this version.
    #[error("{0}")]
    Deserialize(#[source] postcard::Error),
}

/// Encodes a message.
///
/// # Errors
/// The message would be longer than [`MAX_MESSAGE_BYTES`].
pub fn encode(message: &SiteMessage) -> Result<Vec<u8>, EncodeError> {
    let bytes = postcard::to_stdvec(message).map_err(EncodeError::Serialize)?;
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(EncodeError::TooLong { bytes: bytes.len() });
    }
    Ok(bytes)
}

/// Decodes a message that fills its bytes.
///
/// # Errors
/// The bytes are too many, are cut off, are no message of this version, or have others behind them.
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
