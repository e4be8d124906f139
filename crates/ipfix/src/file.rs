//! Files of IPFIX messages (RFC 5655).

use thiserror::Error;

use crate::{DecodeError, MessageReader};

/// How a file of messages ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileEnd {
    /// The last message is complete.
    Complete,
    /// The last message is cut short; it begins at this octet of the file.
    TruncatedAt(usize),
}

/// The complete messages of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SplitFile<'a> {
    /// The messages, in the file's order.
    pub messages: Vec<&'a [u8]>,
    /// How the file ends.
    pub end: FileEnd,
}

/// No message begins where one should.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("no IPFIX message at octet {offset}")]
pub struct FileError {
    /// The octet of the file at which a message should begin.
    pub offset: usize,
    /// What is there instead.
    #[source]
    pub source: DecodeError,
}

/// Splits a file into its messages, and reports whether the last one is complete.
///
/// # Errors
/// The octet at which no message begins where one should.
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
