//! HTTP/1.1 on byte buffers, with no sockets: heads, lengths, chunked bodies, limits and writers.
//! An `Intake` follows one message as its bytes come in; `head` reads its first lines; `write` writes messages.

mod chunks;
pub mod head;
mod intake;
pub mod write;

pub use head::{AnswerHead, Fields, RequestHead};
pub use intake::{Intake, Progress};

/// The longest head, with its first line, that is read.
pub const HEAD_MOST: usize = 16 * 1024;
/// The longest body that is read or written.
pub const BODY_MOST: usize = 64 * 1024;
/// What holds the longest message, and the framing of a chunk beside it.
pub const BUFFER: usize = HEAD_MOST + BODY_MOST + 1024;

/// Why a message cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
    UnknownCoding,
}

impl Fault {
    /// The answer that fits a request with this fault.
    pub fn status(self) -> u16 {
        match self {
            Fault::Malformed => 400,
            Fault::HeadTooLarge => 431,
            Fault::BodyTooLarge => 413,
            Fault::UnknownCoding => 501,
        }
    }
}
