//! Single reads and writes on a stream, and a last response on one that is closed.

use std::io::{ErrorKind, Write};
use std::net::{Shutdown, TcpStream};

use rustix::io::Errno;
use rustix::net::{recv, send, RecvFlags, SendFlags};

/// Bytes of input discarded per read.
const DISCARD_BYTES: usize = 4096;
/// Maximum number of discarding reads before a connection is closed, so that a client that keeps sending blocks no others.
const MAX_DISCARDS: usize = 16;

/// The result of one read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// Bytes were read.
    Data,
    /// No input is available now.
    WouldBlock,
    /// The input buffer is full, and no longer one is available.
    NoBuffer,
    /// The input buffer is full and of the greatest length.
    BufferFull,
    /// The other side has closed its sending side.
    EndOfStream,
    /// The connection failed and is no longer usable.
    Failed,
}

/// The result of one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// All output was written.
    Complete,
    /// The socket accepts no more output now.
    Partial,
    /// The connection failed and is no longer usable.
    Failed,
}

/// Responds on a stream that is not registered with the event loop, and closes its sending side. Input received so far is
/// discarded, so that closing does not reset the connection before the response is read. Never blocks: a response that does
/// not fit into the socket's send buffer is truncated.
pub fn respond_and_close(stream: &TcpStream, response: &[u8]) {
    let mut discarded = [0_u8; DISCARD_BYTES];
    for _ in 0..MAX_DISCARDS {
        match recv(stream, &mut discarded[..], RecvFlags::DONTWAIT) {
            Ok((count, _)) if count > 0 => {}
            _ => break,
        }
    }
    // If either call fails, the client has disconnected.
    let _ = send(stream, response, SendFlags::DONTWAIT | SendFlags::NOSIGNAL);
    let _ = stream.shutdown(Shutdown::Write);
}

/// Writes the bytes from `written` on, and advances `written`.
pub(crate) fn write_from(mut stream: &TcpStream, bytes: &[u8], written: &mut usize) -> WriteResult {
    while *written < bytes.len() {
        match stream.write(&bytes[*written..]) {
            Ok(0) => return WriteResult::Failed,
            Ok(count) => *written += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => return WriteResult::Partial,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return WriteResult::Failed,
        }
    }
    WriteResult::Complete
}

/// The result of a call to `recv`.
pub(crate) fn read_result(received: Result<usize, Errno>) -> ReadResult {
    match received {
        Ok(0) => ReadResult::EndOfStream,
        Ok(_) => ReadResult::Data,
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
            ReadResult::WouldBlock
        }
        Err(_) => ReadResult::Failed,
    }
}
