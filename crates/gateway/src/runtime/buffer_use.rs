//! Which connections hold the memory of the buffer pool, and which wait for some.

use std::fmt;

use harrierdock_types::TimeDelta;

const BYTES_PER_KILOBYTE: usize = 1_024;

/// The bytes of buffers by holder, and the connections that wait for a buffer.
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
    /// Number of connections that wait for a buffer now.
    pub(crate) waiting: usize,
    /// How long the first of them has waited.
    pub(crate) longest_wait: TimeDelta,
}

impl BufferUse {
    /// Counts a connection that has waited for a buffer for this long.
    pub(crate) fn add_waiting(&mut self, wait: TimeDelta) {
        self.waiting += 1;
        self.longest_wait = self.longest_wait.max(wait);
    }
}

impl fmt::Display for BufferUse {
    /// Writes `name=value` pairs, separated by spaces.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kilobytes = |bytes: usize| bytes.div_ceil(BYTES_PER_KILOBYTE);
        write!(
            f,
            "kb-in-partial-requests={} kb-in-requests={} kb-in-responses={} kb-in-attempts={} waiting-for-buffer={} \
             longest-buffer-wait-s={:.3}",
            kilobytes(self.partial_requests),
            kilobytes(self.requests),
            kilobytes(self.responses),
            kilobytes(self.attempts),
            self.waiting,
            self.longest_wait.as_seconds(),
        )
    }
}
