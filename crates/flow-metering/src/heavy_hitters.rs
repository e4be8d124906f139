//! The busiest of many, by a space-saving sketch (Metwally, Agrawal, El Abbadi 2005): so many counters; one that has
//! none takes the least counter over, with its count as the error. Whoever has more than a counter's fair share
//! of all is in it for certain.

use std::collections::{BTreeMap, BTreeSet};

pub struct Busiest {
    most: usize,
    counts: BTreeMap<u32, u64>,
    least: BTreeSet<(u64, u32)>,
    total: u64,
}

impl Busiest {
    pub fn new(most: usize) -> Busiest {
        Busiest {
            most: most.max(1),
            counts: BTreeMap::new(),
            least: BTreeSet::new(),
            total: 0,
        }
    }

    /// Counts one, and gives back whether it is among the busiest now: it has a counter, and more than the least
    /// that any newcomer gets.
    pub fn touch(&mut self, who: u32) -> bool {
        self.total += 1;
        if let Some(count) = self.counts.get_mut(&who) {
            self.least.remove(&(*count, who));
            *count += 1;
            self.least.insert((*count, who));
            return true;
        }
        let (count, room) = if self.counts.len() < self.most {
            (1, true)
        } else {
            (0, false)
        };
        if room {
            self.counts.insert(who, count);
            self.least.insert((count, who));
            return true;
        }
        let Some((least, out)) = self.least.pop_first() else {
            return false;
        };
        self.counts.remove(&out);
        self.counts.insert(who, least + 1);
        self.least.insert((least + 1, who));
        // A newcomer by way of the least counter proves nothing yet.
        false
    }

    /// How many it has counted, never less than there were, and by at most the total over the counters more.
    pub fn count(&self, who: u32) -> Option<u64> {
        self.counts.get(&who).copied()
    }

    pub fn total(&self) -> u64 {
        self.total
    }
}
