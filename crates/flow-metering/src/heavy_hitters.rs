//! The most frequent of many items, by a space-saving sketch (Metwally, Agrawal, El Abbadi 2005).
//!
//! The number of counters is fixed. An item without one takes over the lowest counter, and that counter's count is its error. An
//! item with more than the total divided by the number of counters is certain to have a counter.

use std::collections::{BTreeMap, BTreeSet};

/// A sketch of the most frequent items.
pub struct HeavyHitters {
    capacity: usize,
    counts: BTreeMap<u32, u64>,
    /// The items by their counts, the lowest first.
    by_count: BTreeSet<(u64, u32)>,
    total: u64,
}

impl HeavyHitters {
    /// A sketch with so many counters, one at least.
    pub fn new(capacity: usize) -> HeavyHitters {
        HeavyHitters {
            capacity: capacity.max(1),
            counts: BTreeMap::new(),
            by_count: BTreeSet::new(),
            total: 0,
        }
    }

    /// Counts one item, and returns whether it was among the heavy hitters already or a counter was free for it.
    pub fn observe(&mut self, item: u32) -> bool {
        self.total += 1;
        if let Some(count) = self.counts.get(&item).copied() {
            self.by_count.remove(&(count, item));
            self.set_count(item, count + 1);
            return true;
        }
        if self.counts.len() < self.capacity {
            self.set_count(item, 1);
            return true;
        }
        if let Some((lowest, evicted)) = self.by_count.pop_first() {
            self.counts.remove(&evicted);
            self.set_count(item, lowest + 1);
        }
        // Taking over the lowest counter doesn't show yet that an item is frequent.
        false
    }

    fn set_count(&mut self, item: u32, count: u64) {
        self.counts.insert(item, count);
        self.by_count.insert((count, item));
    }

    /// An item's count: never too low, and too high by the total divided by the number of counters at most.
    pub fn count(&self, item: u32) -> Option<u64> {
        self.counts.get(&item).copied()
    }

    /// How many items were observed in all.
    pub fn total(&self) -> u64 {
        self.total
    }
}
