//! A pool of reusable buffers of one size, and the memory of messages that are longer than a buffer.

use harrierdock_http::{BUFFER_BYTES, MAX_BODY_BYTES};

use crate::io_context::ResourceClass;

/// A pooled buffer. Capacity 0 means that no buffer is held.
pub type Buffer = Vec<u8>;

/// The share of the memory limit for buffers, in percent.
const BUFFER_PERCENT: usize = 60;
/// The share of the buffers that downstream connections may hold, in percent. The rest is reserved for attempts and
/// responses, so that incoming requests cannot use up all buffers.
const DOWNSTREAM_PERCENT: usize = 66;
/// The share of the memory limit that one long message may take, in percent.
const LONG_MESSAGE_PERCENT: usize = 10;
/// Maximum number of free buffers kept for reuse; further ones are deallocated.
const MAX_SPARE_BUFFERS: usize = 64;
const MEGABYTE: usize = 1 << 20;

/// A pool of buffers of `BUFFER_BYTES` each.
pub struct BufferPool {
    spare: Vec<Buffer>,
    /// Number of acquired buffers.
    pub in_use: usize,
    /// Number of released buffers whose capacity changed or that were not acquired.
    pub violations: u64,
    max: usize,
    /// Bytes outside the pool that count against its memory.
    charged_bytes: usize,
    max_message_bytes: usize,
}

impl BufferPool {
    /// Creates a pool with its share of a memory limit in megabytes.
    pub fn new(memory_limit_mb: usize) -> BufferPool {
        let one_percent = memory_limit_mb.saturating_mul(MEGABYTE) / 100;
        let bytes = one_percent * BUFFER_PERCENT;
        BufferPool {
            spare: Vec::new(),
            in_use: 0,
            violations: 0,
            max: bytes / BUFFER_BYTES,
            charged_bytes: 0,
            max_message_bytes: (one_percent * LONG_MESSAGE_PERCENT).max(MAX_BODY_BYTES),
        }
    }

    /// The length that a message may reach outside the pool's buffers. At least the length of any body.
    pub fn max_message_bytes(&self) -> usize {
        self.max_message_bytes
    }

    /// Counts memory outside the pool against it, until it is uncharged. Meanwhile fewer buffers can be acquired.
    pub fn charge(&mut self, bytes: usize) {
        self.charged_bytes += bytes;
    }

    /// Takes back a charge of this many bytes.
    pub fn uncharge(&mut self, bytes: usize) {
        debug_assert!(
            bytes <= self.charged_bytes,
            "only what was charged is uncharged"
        );
        self.charged_bytes = self.charged_bytes.saturating_sub(bytes);
    }

    /// Takes an empty buffer out of the pool. `None` if the share of this class is used up.
    pub fn acquire(&mut self, class: ResourceClass) -> Option<Buffer> {
        let max = match class {
            ResourceClass::Downstream => self.max * DOWNSTREAM_PERCENT / 100,
            ResourceClass::Upstream | ResourceClass::Reserved => self.max,
        };
        if self.in_use + self.charged_bytes.div_ceil(BUFFER_BYTES) >= max {
            return None;
        }
        self.in_use += 1;
        Some(
            self.spare
                .pop()
                .unwrap_or_else(|| Vec::with_capacity(BUFFER_BYTES)),
        )
    }

    /// Returns a buffer to the pool and leaves a buffer of capacity 0. Ignores one that already has capacity 0.
    pub fn release(&mut self, buffer: &mut Buffer) {
        if buffer.capacity() == 0 {
            return;
        }
        let mut buffer = std::mem::take(buffer);
        let is_valid = buffer.capacity() == BUFFER_BYTES && self.in_use > 0;
        debug_assert!(
            is_valid,
            "a released buffer must be acquired and of its original capacity"
        );
        self.violations += u64::from(!is_valid);
        self.in_use = self.in_use.saturating_sub(1);
        if is_valid && self.spare.len() < MAX_SPARE_BUFFERS {
            buffer.clear();
            self.spare.push(buffer);
        }
    }
}
