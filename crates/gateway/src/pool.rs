//! Buffers of one size, lent out and used again, and the descriptors that connections may hold.

use harrierdock_http::BUFFER;

use crate::told::LimitsTold;

/// A buffer without room is none: nothing was lent.
pub type Buffer = Vec<u8>;

pub struct Pool {
    spare: Vec<Buffer>,
    pub lent: usize,
    /// How often what must hold of buffers did not.
    pub broken: u64,
    most: usize,
}

/// The part of the told memory that buffers may take, in percent; the rest is for all else that is kept.
const BUFFER_PERCENT: usize = 60;
/// Buffers that stay at hand; those beyond go back to the system.
const SPARE_MOST: usize = 64;

impl Pool {
    pub fn new(told: &LimitsTold) -> Pool {
        let bytes = told.memory_mb.saturating_mul(1 << 20) / 100 * BUFFER_PERCENT;
        Pool { spare: Vec::new(), lent: 0, broken: 0, most: bytes / BUFFER }
    }

    pub fn lend(&mut self) -> Option<Buffer> {
        if self.lent >= self.most {
            return None;
        }
        self.lent += 1;
        Some(self.spare.pop().unwrap_or_else(|| Vec::with_capacity(BUFFER)))
    }

    pub fn give_back(&mut self, buffer: &mut Buffer) {
        if buffer.capacity() == 0 {
            return;
        }
        let mut buffer = std::mem::take(buffer);
        let as_lent = buffer.capacity() == BUFFER && self.lent > 0;
        debug_assert!(as_lent, "a buffer comes back as it was lent");
        self.broken += u64::from(!as_lent);
        self.lent = self.lent.saturating_sub(1);
        if as_lent && self.spare.len() < SPARE_MOST {
            buffer.clear();
            self.spare.push(buffer);
        }
    }
}

/// How many descriptors connections hold, and how many they may.
pub struct Descriptors {
    pub held: usize,
    most: usize,
}

/// Kept aside: standard streams (3), the loop's own (3), signals, listener, peers, discovery, the platform's
/// stream, as many again for those being replaced, and votes.
const RESERVE: usize = 24;

impl Descriptors {
    /// Guards against connections without buffers: a txn on two connections holds three of them at the most, its
    /// request, what goes to or comes from its server, and its answer.
    pub fn new(told: &LimitsTold, pool: &Pool) -> Descriptors {
        let most = told.sockets.saturating_sub(RESERVE).min(pool.most / 3 * 2);
        Descriptors { held: 0, most: most.max(2) }
    }

    pub fn spare(&self) -> usize {
        self.most.saturating_sub(self.held)
    }
}
