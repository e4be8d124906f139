//! Which connections hold the memory of the buffer pool.

use std::fmt;

const BYTES_PER_KILOBYTE: usize = 1_024;

/// The bytes of buffers by holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct BufferUse {
    /// Requests that have not arrived in full.
    pub(crate) partial_requests: usize,
    /// Requests whose clients wait for a response.
    pub(crate) requests: usize,
    /// Responses that are being written to clients.
    pub(crate) responses: usize,
    /// Attempts: requests being written to endpoints, and responses being read from them.
    pub(crate) attempts: usize,
}

impl fmt::Display for BufferUse {
    /// Writes `name=value` pairs, separated by spaces.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kilobytes = |bytes: usize| bytes.div_ceil(BYTES_PER_KILOBYTE);
        write!(
            f,
            "kb-in-partial-requests={} kb-in-requests={} kb-in-responses={} kb-in-attempts={}",
            kilobytes(self.partial_requests),
            kilobytes(self.requests),
            kilobytes(self.responses),
            kilobytes(self.attempts),
        )
    }
}
