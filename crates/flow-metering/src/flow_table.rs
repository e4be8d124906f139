//! A table by key: open addressing over small slots, the rows themselves dense, so that a walk or a drain costs what
//! is in it and a touch costs one hash and, mostly, one look.

use crate::Key;

const EMPTY: u32 = u32::MAX;

pub struct Table<T> {
    /// A hash's high bits and the row's place.
    slots: Vec<(u32, u32)>,
    rows: Vec<(Key, T)>,
}

impl<T> Default for Table<T> {
    fn default() -> Table<T> {
        Table::new()
    }
}

fn hash(key: &Key) -> u64 {
    let packed = key.packed();
    // Multiply and fold, over both halves.
    let (low, high) = (
        packed as u64 ^ 0x9e37_79b9_7f4a_7c15,
        (packed >> 64) as u64 ^ 0xd6e8_feb8_6659_fd93,
    );
    let wide = u128::from(low) * u128::from(high | 1);
    let folded = wide as u64 ^ (wide >> 64) as u64;
    folded.wrapping_mul(0xff51_afd7_ed55_8ccd) ^ folded >> 32
}

impl<T> Table<T> {
    pub fn new() -> Table<T> {
        Table {
            slots: vec![(0, EMPTY); 64],
            rows: Vec::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The slot that holds the key, or the empty one where it would go.
    fn find(&self, key: &Key) -> (usize, bool) {
        let (hash, mask) = (hash(key), self.slots.len() - 1);
        let tag = (hash >> 32) as u32;
        let mut at = hash as usize & mask;
        loop {
            let (held, row) = self.slots[at];
            if row == EMPTY {
                return (at, false);
            }
            if held == tag && self.rows[row as usize].0 == *key {
                return (at, true);
            }
            at = (at + 1) & mask;
        }
    }

    pub fn contains(&self, key: &Key) -> bool {
        self.find(key).1
    }

    pub fn get_mut(&mut self, key: &Key) -> Option<&mut T> {
        let (at, held) = self.find(key);
        held.then(|| &mut self.rows[self.slots[at].1 as usize].1)
    }

    /// Puts a row in; gives back the one that the key had.
    pub fn insert(&mut self, key: Key, value: T) -> Option<T> {
        if (self.rows.len() + 1) * 2 > self.slots.len() {
            self.grow();
        }
        let (at, held) = self.find(&key);
        if held {
            return Some(std::mem::replace(
                &mut self.rows[self.slots[at].1 as usize].1,
                value,
            ));
        }
        self.slots[at] = ((hash(&key) >> 32) as u32, self.rows.len() as u32);
        self.rows.push((key, value));
        None
    }

    fn grow(&mut self) {
        self.slots = vec![(0, EMPTY); self.slots.len() * 2];
        for row in 0..self.rows.len() {
            let key = self.rows[row].0;
            let (at, _) = self.find(&key);
            self.slots[at] = ((hash(&key) >> 32) as u32, row as u32);
        }
    }

    pub fn remove(&mut self, key: &Key) -> Option<T> {
        let (mut at, held) = self.find(key);
        if !held {
            return None;
        }
        let (row, mask) = (self.slots[at].1 as usize, self.slots.len() - 1);
        // What stands behind it in the same run moves up, so that no mark of a removed one is needed.
        let mut next = (at + 1) & mask;
        while self.slots[next].1 != EMPTY {
            let home = hash(&self.rows[self.slots[next].1 as usize].0) as usize & mask;
            if (next.wrapping_sub(home) & mask) >= (next.wrapping_sub(at) & mask) {
                self.slots[at] = self.slots[next];
                at = next;
            }
            next = (next + 1) & mask;
        }
        self.slots[at] = (0, EMPTY);
        // The last row takes its place; its slot must say so.
        let last = self.rows.len() - 1;
        if row != last {
            let (moved, _) = self.find(&self.rows[last].0);
            self.slots[moved].1 = row as u32;
        }
        Some(self.rows.swap_remove(row).1)
    }

    pub fn iter(&self) -> impl Iterator<Item = &(Key, T)> {
        self.rows.iter()
    }

    /// Takes all rows out.
    pub fn drain(&mut self) -> Vec<(Key, T)> {
        self.slots.iter_mut().for_each(|slot| *slot = (0, EMPTY));
        std::mem::take(&mut self.rows)
    }
}
