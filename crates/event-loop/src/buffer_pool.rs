//! Buffers of one size that are used again and again.

use harrierdock_http::BUFFER_BYTES;

use crate::io_context::ResourceClass;

/// A pooled buffer. One without capacity stands for none.
pub type Buffer = Vec<u8>;

/// The share of the memory limit that buffers may take, in percent.
const BUFFER_PERCENT: usize = 60;
/// The share of the buffers that downstream connections may hold, in percent. The rest is for attempts and answers, so that
/// requests cannot leave them without one.
const DOWNSTREAM_PERCENT: usize = 66;
/// Buffers that are kept for reuse; those beyond go back to the system.
const MAX_SPARE_BUFFERS: usize = 64;
const MEGABYTE: usize = 1 << 20;

/// A pool of buffers of `BUFFER_BYTES` each.
pub struct BufferPool {
    spare: Vec<Buffer>,
    /// Buffers that are in use.
    pub in_use: usize,
    /// How often a buffer came back in another state than it was acquired in.
    pub violations: u64,
    max: usize,
}

impl BufferPool {
    /// A pool within this memory limit.
    pub fn new(memory_limit_mb: usize) -> BufferPool {
        let bytes = memory_limit_mb.saturating_mul(MEGABYTE) / 100 * BUFFER_PERCENT;
        BufferPool {
            spare: Vec::new(),
            in_use: 0,
            violations: 0,
            max: bytes / BUFFER_BYTES,
        }
    }

    /// Takes an empty buffer out of the pool. `None` if the share of this class is used up.
    pub fn acquire(&mut self, class: ResourceClass) -> Option<Buffer> {
        let max = match class {
            ResourceClass::Downstream => self.max * DOWNSTREAM_PERCENT / 100,
            ResourceClass::Upstream | ResourceClass::Reserved => self.max,
        };
        if self.in_use >= max {
            return None;
        }
        self.in_use += 1;
        Some(
            self.spare
                .pop()
                .unwrap_or_else(|| Vec::with_capacity(BUFFER_BYTES)),
        )
    }

    /// Puts a buffer back and leaves none in its place. A buffer without capacity is ignored.
    pub fn release(&mut self, buffer: &mut Buffer) {
        if buffer.capacity() == 0 {
            return;
        }
        let mut buffer = std::mem::take(buffer);
        let is_as_acquired = buffer.capacity() == BUFFER_BYTES && self.in_use > 0;
        debug_assert!(is_as_acquired, "a buffer is released as it was acquired");
        self.violations += u64::from(!is_as_acquired);
        self.in_use = self.in_use.saturating_sub(1);
        if is_as_acquired && self.spare.len() < MAX_SPARE_BUFFERS {
            buffer.clear();
            self.spare.push(buffer);
        }
    }
}
