//! The encoding of lease messages. A message starts with a byte that never occurs in UTF-8 text and with the format version. Its content
//! follows, encoded by postcard, and a checksum of the preceding bytes.

use thiserror::Error;

use crate::{Message, MessageBody};

/// The largest encoded message. Each message is sent in one datagram.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// The first byte of each message. Bytes from 0xF5 on never occur in UTF-8, so a build that expects text reliably refuses the message.
pub const FIRST_BYTE: u8 = 0xF7;
/// The format version, to be increased when the meaning of a field changes.
pub const FORMAT_VERSION: u8 = 1;
/// The maximum number of records in one `MessageBody::KnownLeases`.
pub const MAX_KNOWN_LEASES: usize = 8;
const HEADER_BYTES: usize = 2;
const CHECKSUM_BYTES: usize = 4;

/// Why bytes could not be decoded as a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The datagram is too short or too long.
    #[error(
        "{len} bytes cannot be a lease message: check whether another program sends to this port"
    )]
    Length {
        /// How many bytes were received.
        len: usize,
    },
    /// The first byte differs from the first byte of all lease messages.
    #[error("the first byte is {byte:#04x}: the message is of another kind, or from a build without leases")]
    FirstByte {
        /// The first byte received.
        byte: u8,
    },
    /// The message has another format version.
    #[error("format version {version} is not supported, only {FORMAT_VERSION}: upgrade the older of the two builds")]
    Version {
        /// The format version in the message.
        version: u8,
    },
    /// The checksum doesn't match, so the message was corrupted in transit.
    #[error(
        "the checksum does not match: the message was corrupted in transit; check the network path if this happens often"
    )]
    Checksum,
    /// The checksum matches, but the content can't be decoded.
    #[error("the checksum matches but the content is unknown: the sender's build may be newer, with the same format version")]
    Content,
}

/// 32-bit FNV-1a. It detects any corruption of a single byte; other corruption goes undetected about once in four billion times.
fn checksum(bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let hash = bytes.iter().fold(0x811c_9dc5_u32, |hash, byte| {
        (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193)
    });
    hash.to_le_bytes()
}

/// Encodes a message.
pub fn encode(message: &Message) -> Vec<u8> {
    let mut bytes = vec![FIRST_BYTE, FORMAT_VERSION];
    // Serializing plain values to memory doesn't fail. If it did, the receiver would refuse the empty message.
    bytes.extend(postcard::to_stdvec(message).unwrap_or_default());
    bytes.extend(checksum(&bytes));
    bytes
}

/// Decodes a message.
///
/// # Errors
/// The bytes are not a valid message of this format version.
pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
    let len = bytes.len();
    let first = *bytes.first().ok_or(DecodeError::Length { len })?;
    if first != FIRST_BYTE {
        return Err(DecodeError::FirstByte { byte: first });
    }
    if !(HEADER_BYTES + CHECKSUM_BYTES..=MAX_MESSAGE_BYTES).contains(&len) {
        return Err(DecodeError::Length { len });
    }
    if bytes[1] != FORMAT_VERSION {
        return Err(DecodeError::Version { version: bytes[1] });
    }
    // A corrupted grant could decode as a grant for another lease or epoch.
    let (content, received_checksum) = bytes.split_at(len - CHECKSUM_BYTES);
    if checksum(content) != received_checksum {
        return Err(DecodeError::Checksum);
    }
    match postcard::take_from_bytes::<Message>(&content[HEADER_BYTES..]) {
        Ok((message, [])) if has_allowed_size(&message) => Ok(message),
        _ => Err(DecodeError::Content),
    }
}

fn has_allowed_size(message: &Message) -> bool {
    match &message.body {
        MessageBody::KnownLeases { records } => records.len() <= MAX_KNOWN_LEASES,
        _ => true,
    }
}
