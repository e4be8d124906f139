//! The ids that clients give their requests, by which a copy of a request is recognized. Clients never use an id twice, so a
//! second request under the same id is a copy, and running it could have the effect twice.

use std::collections::HashSet;
use std::hash::{BuildHasher, RandomState};

/// The number of ids in one of the two generations that are remembered.
const GENERATION_SIZE: usize = 32_768;

/// The hash of a client's request id, with a key of its own in each process. Two ids rarely share one, and a client can't find
/// two that do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestIdHash(u64);

/// What becomes of an id once its request has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdRelease {
    /// The request had no effect, or may be repeated: its id may come again.
    Reusable,
    /// The request may have had an effect that must not happen twice.
    Spent,
}

/// The ids of requests under way, and of the latest ones that may have had an effect.
///
/// Memory is bounded by the number of ids, not by time: the ids that are forgotten are those before the latest 32,768 to 65,536
/// effects. That takes longer than any client waits, at any rate that a gateway can serve.
#[derive(Debug)]
pub struct RequestIds {
    hasher: RandomState,
    open: HashSet<RequestIdHash>,
    /// The ids that were spent last.
    recent: HashSet<RequestIdHash>,
    /// The ids that were spent before those.
    earlier: HashSet<RequestIdHash>,
}

impl Default for RequestIds {
    /// Reserves the memory of both generations, so that it doesn't grow while the gateway runs.
    fn default() -> RequestIds {
        RequestIds {
            hasher: RandomState::new(),
            open: HashSet::new(),
            recent: HashSet::with_capacity(GENERATION_SIZE),
            earlier: HashSet::with_capacity(GENERATION_SIZE),
        }
    }
}

impl RequestIds {
    /// Enters a request that has arrived under this id. `None` if a request with this id is under way or has spent it.
    pub fn open(&mut self, id: &str) -> Option<RequestIdHash> {
        let hash = RequestIdHash(self.hasher.hash_one(id));
        let is_spent = self.recent.contains(&hash) || self.earlier.contains(&hash);
        (!is_spent && self.open.insert(hash)).then_some(hash)
    }

    /// Ends the request that was entered under this id. Call it once for each request.
    pub fn release(&mut self, id: RequestIdHash, release: IdRelease) {
        self.open.remove(&id);
        if release == IdRelease::Reusable {
            return;
        }
        if self.recent.len() >= GENERATION_SIZE {
            std::mem::swap(&mut self.recent, &mut self.earlier);
            self.recent.clear();
        }
        self.recent.insert(id);
    }

    /// The number of ids that are remembered although their request has ended.
    pub fn spent_count(&self) -> usize {
        self.recent.len() + self.earlier.len()
    }
}
