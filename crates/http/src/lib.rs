//! HTTP/1.1 on byte buffers, without sockets: message heads, body framing, limits, and writers.
//!
//! A [`MessageReader`] follows one message as its bytes arrive, [`head`] parses its head, and [`write`](mod@write) writes
//! messages.

#![warn(missing_docs, unreachable_pub)]

mod chunked;
mod error;
pub mod head;
mod message_reader;
pub mod write;

pub use error::ParseError;
pub use head::{Framing, HeaderFields, RequestHead, ResponseHead};
pub use message_reader::{MessageReader, Progress};

/// The longest head that is read, its first line included.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The longest body that is read or written.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// The framing of a chunk, beside head and body.
const MAX_CHUNK_FRAMING_BYTES: usize = 1024;

/// The size of a buffer that holds any message.
pub const BUFFER_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES + MAX_CHUNK_FRAMING_BYTES;
