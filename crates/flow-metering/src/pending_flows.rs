//! What waits for one collector. The next interval's sums join those that wait under the same key, and the interval
//! widens; when there are too many keys, servers are folded into their release, then stages into their build. Only
//! what has no room even then is dropped, and counted.

use std::collections::BTreeMap;

use crate::{Flow, Key, Kind};

/// How many were dropped, by kind, and how many sums they stood in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    pub counts: [u64; Kind::ALL.len()],
    pub flows: u64,
}

/// What is folded together for want of room.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fold {
    Nothing,
    Servers,
    Stages,
}

impl Fold {
    fn key(self, key: Key) -> Key {
        match self {
            Fold::Nothing => key,
            Fold::Servers => Key {
                endpoint: None,
                ..key
            },
            Fold::Stages => Key {
                endpoint: None,
                stage: 0,
                ..key
            },
        }
    }
}

pub struct Pending {
    most: usize,
    fold: Fold,
    flows: BTreeMap<Key, Flow>,
    dropped: Dropped,
    /// How often sums were merged because they waited.
    pub merged: u64,
}

impl Pending {
    /// Keeps so many keys at the most.
    pub fn new(most: usize) -> Pending {
        Pending {
            most: most.max(1),
            fold: Fold::Nothing,
            flows: BTreeMap::new(),
            dropped: Dropped::default(),
            merged: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.flows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// All that was dropped so far.
    pub fn dropped(&self) -> Dropped {
        self.dropped
    }

    pub fn add(&mut self, flow: Flow) {
        loop {
            let key = self.fold.key(flow.key);
            if self.flows.contains_key(&key) {
                return self.join(key, &flow);
            }
            if self.flows.len() < self.most {
                self.flows.insert(key, Flow { key, ..flow });
                return;
            }
            // Guards against folding again and again what is folded already: each step is taken once, until all
            // that waits has gone.
            match self.fold {
                Fold::Nothing => self.fold_to(Fold::Servers),
                Fold::Servers => self.fold_to(Fold::Stages),
                Fold::Stages => {
                    self.dropped.counts[key.kind as usize] += flow.sums.count;
                    self.dropped.flows += 1;
                    return;
                }
            }
        }
    }

    fn join(&mut self, place: Key, flow: &Flow) {
        if let Some(held) = self.flows.get_mut(&place) {
            held.sums.merge(&flow.sums);
            (held.from, held.until) = (held.from.min(flow.from), held.until.max(flow.until));
            self.merged += 1;
        }
    }

    fn fold_to(&mut self, fold: Fold) {
        self.fold = fold;
        for (key, flow) in std::mem::take(&mut self.flows) {
            let key = fold.key(key);
            match self.flows.get(&key) {
                Some(_) => self.join(key, &flow),
                None => drop(self.flows.insert(key, Flow { key, ..flow })),
            }
        }
    }

    /// Takes out the next that waits, by key.
    pub fn take(&mut self) -> Option<Flow> {
        let next = self.flows.pop_first().map(|(_, flow)| flow);
        if self.flows.is_empty() {
            self.fold = Fold::Nothing;
        }
        next
    }

    /// Puts back what could not be sent after all.
    pub fn put_back(&mut self, flow: Flow) {
        self.add(flow);
    }

    /// Gives up all that waits, counted as dropped.
    pub fn give_up(&mut self) {
        for (key, flow) in std::mem::take(&mut self.flows) {
            self.dropped.counts[key.kind as usize] += flow.sums.count;
            self.dropped.flows += 1;
        }
    }
}
