//! The most frequent of many items, found by the space-saving algorithm (Metwally, Agrawal, El Abbadi 2005).
//!
//! The number of counters is fixed. An item without a counter takes over the lowest counter, and is overestimated by that counter's value.
//! An item observed more often than the total divided by the number of counters always has a counter.

use std::collections::{BTreeMap, BTreeSet};

/// A space-saving sketch of the most frequent items.
pub struct HeavyHitters {
    capacity: usize,
    counts: BTreeMap<u32, u64>,
    /// Counts with their items, lowest count first.
    by_count: BTreeSet<(u64, u32)>,
    total: u64,
}

impl HeavyHitters {
    /// Creates a sketch with `capacity` counters; 0 is raised to 1.
    pub fn new(capacity: usize) -> HeavyHitters {
        HeavyHitters {
            capacity: capacity.max(1),
            counts: BTreeMap::new(),
            by_count: BTreeSet::new(),
            total: 0,
        }
    }

    /// Counts an item. Returns whether it already had a counter or a counter was free.
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
        // A single observation that takes over the lowest counter does not make an item frequent.
        false
    }

    fn set_count(&mut self, item: u32, count: u64) {
        self.counts.insert(item, count);
        self.by_count.insert((count, item));
    }

    /// Returns an item's estimated count; `None` without a counter. It is never too low, and too high by at most the total
    /// divided by the number of counters.
    pub fn count(&self, item: u32) -> Option<u64> {
        self.counts.get(&item).copied()
    }

    /// Returns the number of observations of all items.
    pub fn total(&self) -> u64 {
        self.total
    }
}
