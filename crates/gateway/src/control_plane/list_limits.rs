//! Limits on endpoint lists, in proportion to the memory limit of the process.

use harrierdock_event_loop::BufferPool;

use crate::config::gateway::ProcessLimits;

const BYTES_PER_MEGABYTE: usize = 1 << 20;
/// The share of the memory limit for the state of all endpoints, in percent.
const ENDPOINT_STATE_PERCENT: usize = 20;
/// The memory that the state of an endpoint takes, in bytes, rounded up.
const ENDPOINT_STATE_BYTES: usize = 1_024;

/// The longest endpoint list that is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ListLimits {
    /// Length of its text.
    pub(crate) max_bytes: usize,
    /// Number of its endpoints, removed ones included.
    pub(crate) max_endpoints: usize,
}

impl ListLimits {
    /// The limits of a process with this buffer pool.
    pub(crate) fn new(limits: &ProcessLimits, buffers: &BufferPool) -> ListLimits {
        let one_percent = limits.memory_mb.saturating_mul(BYTES_PER_MEGABYTE) / 100;
        ListLimits {
            max_bytes: buffers.max_message_bytes(),
            max_endpoints: one_percent * ENDPOINT_STATE_PERCENT / ENDPOINT_STATE_BYTES,
        }
    }
}
