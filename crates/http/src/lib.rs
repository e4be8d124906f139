//! HTTP/1.1 on byte buffers, without sockets: message heads, body framing, limits, and writers.
//!
//! A [`MessageReader`] parses one message as its bytes arrive, [`head`] parses its head, and [`write`](mod@write) writes
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

/// The maximum size of a head, including its first line.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The maximum size of a body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Buffer space for the framing of a chunk, in addition to head and body.
const MAX_CHUNK_FRAMING_BYTES: usize = 1024;

/// The buffer size that fits any message.
pub const BUFFER_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES + MAX_CHUNK_FRAMING_BYTES;
