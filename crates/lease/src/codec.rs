//! The encoding of lease messages: a first byte that no text in UTF-8 has, the format's version, the message by postcard, and a
//! checksum of all that.

use thiserror::Error;

use crate::{Message, MessageBody};

/// The longest message in bytes; each goes into one datagram.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// The first byte. Text in UTF-8 has none from 0xF5 on, so a build that expects text refuses the message plainly.
pub const FIRST_BYTE: u8 = 0xF7;
/// The format's version. It is raised when the meaning of a field changes.
pub const FORMAT_VERSION: u8 = 1;
/// The most records in one `MessageBody::KnownLeases`.
pub const MAX_KNOWN_LEASES: usize = 8;
const HEADER_BYTES: usize = 2;
const CHECKSUM_BYTES: usize = 4;

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// Too few or too many bytes.
    #[error("{len} bytes are no message of a fleet: look for another program that sends here")]
    Length {
        /// How many.
        len: usize,
    },
    /// Another kind of message.
    #[error("the first byte is {byte:#04x}: this is a message of another kind, or of a build without leases")]
    FirstByte {
        /// The first byte.
        byte: u8,
    },
    /// Another version of the format.
    #[error("form {version} is not known, {FORMAT_VERSION} is: bring the older of the two builds up to the newer")]
    Version {
        /// The message's version.
        version: u8,
    },
    /// The bytes were changed on their way.
    #[error(
        "the sum does not match: the message was garbled on its way; look at the path if it happens often"
    )]
    Checksum,
    /// The checksum matches, and yet the content is unknown.
    #[error("the message has a good sum but no known content: a newer build has sent it under this form")]
    Content,
}

/// FNV-1a with 32 bits. Any change within one byte changes the checksum; others pass once in four billion.
fn checksum(bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let hash = bytes.iter().fold(0x811c_9dc5_u32, |hash, byte| {
        (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193)
    });
    hash.to_le_bytes()
}

/// Encodes a message.
pub fn encode(message: &Message) -> Vec<u8> {
    let mut bytes = vec![FIRST_BYTE, FORMAT_VERSION];
    // Serializing plain values to memory does not fail; an empty message would be refused by the receiver.
    bytes.extend(postcard::to_stdvec(message).unwrap_or_default());
    bytes.extend(checksum(&bytes));
    bytes
}

/// Decodes a message.
///
/// # Errors
/// The bytes are no message of this version.
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
    // A grant made of noise could be for another lease, or of another epoch.
    let (content, received_checksum) = bytes.split_at(len - CHECKSUM_BYTES);
    if checksum(content) != received_checksum {
        return Err(DecodeError::Checksum);
    }
    match postcard::take_from_bytes::<Message>(&content[HEADER_BYTES..]) {
        Ok((message, [])) if is_bounded(&message) => Ok(message),
        _ => Err(DecodeError::Content),
    }
}

fn is_bounded(message: &Message) -> bool {
    match &message.body {
        MessageBody::KnownLeases { records } => records.len() <= MAX_KNOWN_LEASES,
        _ => true,
    }
}
