//! A pool of reusable buffers of a few sizes, and the memory of messages that are longer than any buffer.
//!
//! Every connection may have its short buffers at any time; the limit on connections follows from that. Longer buffers are
//! limited in total, and clients may hold only a share of them.

use harrierdock_http::{BUFFER_BYTES, MAX_BODY_BYTES, MAX_HEAD_BYTES};

use crate::io_context::ResourceClass;

/// A pooled buffer. Capacity 0 means that no buffer is held.
pub type Buffer = Vec<u8>;

/// The size of a short buffer, which fits most messages whole.
pub const SHORT_BUFFER_BYTES: usize = 4 * 1024;
/// The sizes of buffers. The last one fits any message.
const BUFFER_SIZES: [usize; 3] = [SHORT_BUFFER_BYTES, MAX_HEAD_BYTES, BUFFER_BYTES];
/// The input and the output of a connection.
const BUFFERS_PER_CONNECTION: usize = 2;
/// The share of the memory limit for buffers, in percent.
const BUFFER_PERCENT: usize = 60;
/// The greatest share of the memory for buffers that short ones may take, in percent.
const SHORT_BUFFER_PERCENT: usize = 50;
/// The share of the memory for longer buffers that downstream connections may hold, in percent. The rest is reserved for
/// attempts and responses, so that incoming requests cannot use up all of it.
const DOWNSTREAM_PERCENT: usize = 66;
/// The share of the memory limit that one long message may take, in percent.
const LONG_MESSAGE_PERCENT: usize = 10;
/// Maximum number of free buffers of one size kept for reuse; further ones are deallocated.
const MAX_SPARE_BUFFERS: usize = 64;
const MEGABYTE: usize = 1 << 20;

/// Buffers of one size.
#[derive(Default)]
struct SizeClass {
    in_use: usize,
    spare: Vec<Buffer>,
}

/// A pool of buffers of `BUFFER_SIZES`.
pub struct BufferPool {
    sizes: [SizeClass; BUFFER_SIZES.len()],
    /// Number of released buffers whose capacity changed or that were not acquired.
    pub violations: u64,
    max_connections: usize,
    /// Limit on the memory of buffers that are longer than a short one.
    max_long_bytes: usize,
    long_bytes_in_use: usize,
    /// Bytes outside the pool that count against its memory.
    charged_bytes: usize,
    max_message_bytes: usize,
}

impl BufferPool {
    /// Creates a pool with its share of a memory limit in megabytes, for up to this many connections.
    pub fn new(memory_limit_mb: usize, connection_limit: usize) -> BufferPool {
        const SHORT_BYTES_PER_CONNECTION: usize = BUFFERS_PER_CONNECTION * SHORT_BUFFER_BYTES;
        let one_percent = memory_limit_mb.saturating_mul(MEGABYTE) / 100;
        let bytes = one_percent * BUFFER_PERCENT;
        let max_short_bytes = bytes * SHORT_BUFFER_PERCENT / 100;
        let max_connections = connection_limit.min(max_short_bytes / SHORT_BYTES_PER_CONNECTION);
        BufferPool {
            sizes: Default::default(),
            violations: 0,
            max_connections,
            max_long_bytes: bytes - max_connections * SHORT_BYTES_PER_CONNECTION,
            long_bytes_in_use: 0,
            charged_bytes: 0,
            max_message_bytes: (one_percent * LONG_MESSAGE_PERCENT).max(MAX_BODY_BYTES),
        }
    }

    /// How many connections can have their short buffers at the same time.
    pub fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// Number of acquired buffers.
    pub fn in_use(&self) -> usize {
        self.sizes.iter().map(|size| size.in_use).sum()
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

    /// Takes an empty buffer for a message of this length out of the pool. `None` if it does not fit into a short buffer and
    /// the share of this class is used up, or if it does not fit into any buffer.
    pub fn acquire(&mut self, message_bytes: usize, class: ResourceClass) -> Option<Buffer> {
        let index = self.available_size(message_bytes, 0, class)?;
        Some(self.take(index))
    }

    /// Makes room for this many more bytes in a buffer, whose content is kept. Returns false, and leaves the buffer as it is,
    /// if no longer buffer is available.
    pub fn reserve(&mut self, buffer: &mut Buffer, bytes: usize, class: ResourceClass) -> bool {
        let message_bytes = buffer.len() + bytes;
        if message_bytes <= buffer.capacity() {
            return true;
        }
        let Some(index) = self.available_size(message_bytes, buffer.capacity(), class) else {
            return false;
        };
        let mut longer = self.take(index);
        longer.extend_from_slice(buffer);
        self.release(buffer);
        *buffer = longer;
        true
    }

    /// Whether `reserve` would make room for this many more bytes in a buffer.
    pub fn can_reserve(&self, buffer: &Buffer, bytes: usize, class: ResourceClass) -> bool {
        let message_bytes = buffer.len() + bytes;
        message_bytes <= buffer.capacity()
            || self
                .available_size(message_bytes, buffer.capacity(), class)
                .is_some()
    }

    /// The index of the shortest size that fits a message of this length, if a buffer of this size is available in exchange for
    /// one of `exchanged_bytes`.
    fn available_size(
        &self,
        message_bytes: usize,
        exchanged_bytes: usize,
        class: ResourceClass,
    ) -> Option<usize> {
        let index = BUFFER_SIZES
            .iter()
            .position(|size| *size >= message_bytes)?;
        let bytes = BUFFER_SIZES[index];
        let bytes_before = self.long_bytes_in_use - long_bytes(exchanged_bytes);
        let bytes_after = bytes_before + self.charged_bytes + bytes;
        let is_available = long_bytes(bytes) == 0 || bytes_after <= self.max_long_bytes_of(class);
        is_available.then_some(index)
    }

    /// Takes a buffer of this size, a free one if there is one.
    fn take(&mut self, index: usize) -> Buffer {
        let bytes = BUFFER_SIZES[index];
        self.long_bytes_in_use += long_bytes(bytes);
        self.sizes[index].in_use += 1;
        if let Some(spare) = self.sizes[index].spare.pop() {
            return spare;
        }
        self.trim_spare();
        Vec::with_capacity(bytes)
    }

    /// Deallocates free buffers until they fit into the limit on longer buffers beside those in use.
    fn trim_spare(&mut self) {
        let mut excess =
            (self.long_bytes_in_use + self.spare_long_bytes()).saturating_sub(self.max_long_bytes);
        for (size, bytes) in self.sizes.iter_mut().zip(BUFFER_SIZES) {
            while long_bytes(bytes) > 0 && excess > 0 && size.spare.pop().is_some() {
                excess = excess.saturating_sub(bytes);
            }
        }
    }

    fn spare_long_bytes(&self) -> usize {
        let sizes = self.sizes.iter().zip(BUFFER_SIZES);
        sizes
            .map(|(size, bytes)| size.spare.len() * long_bytes(bytes))
            .sum()
    }

    /// Returns a buffer to the pool and leaves a buffer of capacity 0. Ignores one that already has capacity 0.
    pub fn release(&mut self, buffer: &mut Buffer) {
        if buffer.capacity() == 0 {
            return;
        }
        let mut buffer = std::mem::take(buffer);
        let bytes = buffer.capacity();
        let size = BUFFER_SIZES
            .iter()
            .position(|size| *size == bytes)
            .map(|index| &mut self.sizes[index])
            .filter(|size| size.in_use > 0);
        debug_assert!(
            size.is_some(),
            "a released buffer must be acquired and of its original capacity"
        );
        let Some(size) = size else {
            self.violations += 1;
            return;
        };
        size.in_use -= 1;
        self.long_bytes_in_use -= long_bytes(bytes);
        if size.spare.len() < MAX_SPARE_BUFFERS {
            buffer.clear();
            size.spare.push(buffer);
        }
    }

    fn max_long_bytes_of(&self, class: ResourceClass) -> usize {
        match class {
            ResourceClass::Downstream => self.max_long_bytes * DOWNSTREAM_PERCENT / 100,
            ResourceClass::Upstream | ResourceClass::Reserved => self.max_long_bytes,
        }
    }
}

/// The bytes of a buffer of this size that count against the limit on longer buffers.
fn long_bytes(bytes: usize) -> usize {
    if bytes > SHORT_BUFFER_BYTES {
        bytes
    } else {
        0
    }
}
