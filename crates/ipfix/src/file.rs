//! Files of IPFIX messages (RFC 5655).

use thiserror::Error;

use crate::{DecodeError, MessageReader};

/// How a file of messages ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileEnd {
    /// The last message is complete.
    Complete,
    /// The last message is incomplete; it starts at this octet of the file.
    TruncatedAt(usize),
}

/// A file, split into its messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SplitFile<'a> {
    /// The complete messages, in file order.
    pub messages: Vec<&'a [u8]>,
    /// Whether the last message is complete.
    pub end: FileEnd,
}

/// A file holds something other than an IPFIX message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("no IPFIX message at octet {offset}")]
pub struct FileError {
    /// The octet of the file at which a message was expected.
    pub offset: usize,
    /// Why the octets at `offset` are no message.
    #[source]
    pub source: DecodeError,
}

/// Splits the content of a file into its messages. An incomplete last message is no error.
///
/// # Errors
/// The file holds something other than IPFIX messages.
pub fn split_file(file: &[u8]) -> Result<SplitFile<'_>, FileError> {
    let mut offset = 0;
    let mut messages = Vec::new();
    while offset < file.len() {
        let length = MessageReader::message_length(&file[offset..])
            .map_err(|source| FileError { offset, source })?;
        match length {
            Some(length) if offset + length <= file.len() => {
                messages.push(&file[offset..offset + length]);
                offset += length;
            }
            _ => {
                return Ok(SplitFile {
                    messages,
                    end: FileEnd::TruncatedAt(offset),
                })
            }
        }
    }
    Ok(SplitFile {
        messages,
        end: FileEnd::Complete,
    })
}
