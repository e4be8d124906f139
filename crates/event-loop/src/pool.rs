//! Buffers of one size, lent out and used again, and the descriptors that connections may hold.

use harrierdock_http::BUFFER;

use crate::connection::Purse;

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
/// The part of the buffers, in percent, that clients' requests may hold; the rest is for what becomes of them.
const REQUEST_PERCENT: usize = 66;
/// Buffers that stay at hand; those beyond go back to the system.
const SPARE_MOST: usize = 64;

impl Pool {
    /// Buffers within the told memory, in MB.
    pub fn new(memory_mb: usize) -> Pool {
        let bytes = memory_mb.saturating_mul(1 << 20) / 100 * BUFFER_PERCENT;
        Pool { spare: Vec::new(), lent: 0, broken: 0, most: bytes / BUFFER }
    }

    pub fn lend(&mut self, purse: Purse) -> Option<Buffer> {
        // Guards against requests, sent whole or in half, that leave no buffer to any submission or answer.
        let most = if purse == Purse::Client { self.most * REQUEST_PERCENT / 100 } else { self.most };
        if self.lent >= most {
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

impl Descriptors {
    /// Descriptors for connections within all that a process may hold, `reserve` of them kept aside.
    pub fn new(all: usize, reserve: usize) -> Descriptors {
        Descriptors { held: 0, most: all.saturating_sub(reserve).max(2) }
    }

    pub fn spare(&self) -> usize {
        self.most.saturating_sub(self.held)
    }
}
