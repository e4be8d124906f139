//! A hash table by flow key: open addressing over small slots that hold the indexes of dense rows.
//!
//! Iterating takes time proportional to the number of keys. A lookup takes one hash and usually one probe.

use crate::FlowKey;

const EMPTY_ROW: u32 = u32::MAX;
const INITIAL_SLOTS: usize = 64;

/// A slot of the hash table: the high bits of the key's hash, and the index of its row.
#[derive(Clone, Copy)]
struct Slot {
    tag: u32,
    row: u32,
}

impl Slot {
    const EMPTY: Slot = Slot {
        tag: 0,
        row: EMPTY_ROW,
    };

    fn new(key: &FlowKey, row: usize) -> Slot {
        Slot {
            tag: hash_tag(hash_key(key)),
            row: row as u32,
        }
    }

    fn is_empty(self) -> bool {
        self.row == EMPTY_ROW
    }
}

/// The result of looking up a key.
enum Lookup {
    /// The index of the slot that holds the key.
    Occupied(usize),
    /// The index of the empty slot where the key would be inserted.
    Vacant(usize),
}

/// A hash table of values by flow key. Rows are in insertion order, except that a removal moves the last row into the free one.
pub struct FlowTable<T> {
    slots: Vec<Slot>,
    rows: Vec<(FlowKey, T)>,
}

impl<T> Default for FlowTable<T> {
    fn default() -> FlowTable<T> {
        FlowTable::new()
    }
}

/// Hashes a key by multiplying its two halves and folding the product.
fn hash_key(key: &FlowKey) -> u64 {
    let packed = key.to_u128();
    let low = packed as u64 ^ 0x9e37_79b9_7f4a_7c15;
    let high = (packed >> 64) as u64 ^ 0xd6e8_feb8_6659_fd93;
    let product = u128::from(low) * u128::from(high | 1);
    let folded = product as u64 ^ (product >> 64) as u64;
    folded.wrapping_mul(0xff51_afd7_ed55_8ccd) ^ folded >> 32
}

/// Returns the hash's high bits, which a slot stores to skip most comparisons of keys.
fn hash_tag(hash: u64) -> u32 {
    (hash >> 32) as u32
}

impl<T> FlowTable<T> {
    /// Creates an empty table.
    pub fn new() -> FlowTable<T> {
        FlowTable {
            slots: vec![Slot::EMPTY; INITIAL_SLOTS],
            rows: Vec::new(),
        }
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn mask(&self) -> usize {
        self.slots.len() - 1
    }

    fn find(&self, key: &FlowKey) -> Lookup {
        let hash = hash_key(key);
        let mask = self.mask();
        let tag = hash_tag(hash);
        let mut index = hash as usize & mask;
        loop {
            let slot = self.slots[index];
            if slot.is_empty() {
                return Lookup::Vacant(index);
            }
            if slot.tag == tag && self.rows[slot.row as usize].0 == *key {
                return Lookup::Occupied(index);
            }
            index = (index + 1) & mask;
        }
    }

    /// Returns whether the table contains `key`.
    pub fn contains(&self, key: &FlowKey) -> bool {
        matches!(self.find(key), Lookup::Occupied(_))
    }

    /// Returns the value of a key.
    pub fn get_mut(&mut self, key: &FlowKey) -> Option<&mut T> {
        match self.find(key) {
            Lookup::Occupied(index) => {
                let row = self.slots[index].row as usize;
                Some(&mut self.rows[row].1)
            }
            Lookup::Vacant(_) => None,
        }
    }

    /// Sets the value of a key, and returns the previous value.
    pub fn insert(&mut self, key: FlowKey, value: T) -> Option<T> {
        // At most half of the slots are used, to keep probe sequences short.
        if (self.rows.len() + 1) * 2 > self.slots.len() {
            self.grow();
        }
        match self.find(&key) {
            Lookup::Occupied(index) => {
                let row = self.slots[index].row as usize;
                Some(std::mem::replace(&mut self.rows[row].1, value))
            }
            Lookup::Vacant(index) => {
                self.slots[index] = Slot::new(&key, self.rows.len());
                self.rows.push((key, value));
                None
            }
        }
    }

    fn grow(&mut self) {
        self.slots = vec![Slot::EMPTY; self.slots.len() * 2];
        for row in 0..self.rows.len() {
            let key = self.rows[row].0;
            if let Lookup::Vacant(index) = self.find(&key) {
                self.slots[index] = Slot::new(&key, row);
            }
        }
    }

    /// Removes a key, and returns its value.
    pub fn remove(&mut self, key: &FlowKey) -> Option<T> {
        let Lookup::Occupied(index) = self.find(key) else {
            return None;
        };
        let row = self.slots[index].row as usize;
        self.vacate(index);
        // `swap_remove` moves the last row to index `row`, so the slot of that row is updated.
        let last = self.rows.len() - 1;
        if row != last {
            if let Lookup::Occupied(moved) = self.find(&self.rows[last].0) {
                self.slots[moved].row = row as u32;
            }
        }
        Some(self.rows.swap_remove(row).1)
    }

    /// Empties a slot, and shifts back the later slots that it displaced, so that no tombstone is needed.
    fn vacate(&mut self, mut index: usize) {
        let mask = self.mask();
        let mut next = (index + 1) & mask;
        while !self.slots[next].is_empty() {
            let row = self.slots[next].row as usize;
            let preferred = hash_key(&self.rows[row].0) as usize & mask;
            if (next.wrapping_sub(preferred) & mask) >= (next.wrapping_sub(index) & mask) {
                self.slots[index] = self.slots[next];
                index = next;
            }
            next = (next + 1) & mask;
        }
        self.slots[index] = Slot::EMPTY;
    }

    /// Iterates over all keys and values in row order.
    pub fn iter(&self) -> impl Iterator<Item = &(FlowKey, T)> {
        self.rows.iter()
    }

    /// Removes and returns all keys and values, in row order.
    pub fn drain(&mut self) -> Vec<(FlowKey, T)> {
        self.slots.fill(Slot::EMPTY);
        std::mem::take(&mut self.rows)
    }
}
