//! Requests that wait for a place: so many at the most, the dearest first, then those with the least slack.

use harrierdock_types::Timestamp;
use harrierdock_types::{ClassId, RequestId, TenantId};

/// More are never kept; whoever comes then is told at once. Bounds what is kept and what a beat costs.
pub const MOST_WAITING: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiter {
    pub id: RequestId,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub zones: u8,
    /// The part that passed when it came.
    pub part: f32,
    pub priority_weight: f64,
    /// When its latency objective is up, and when its wait is.
    pub deadline: Timestamp,
    pub until: Timestamp,
}

#[derive(Debug)]
pub struct Waiting {
    all: Vec<Waiter>,
}

impl Waiting {
    pub fn new() -> Waiting {
        Waiting {
            all: Vec::with_capacity(MOST_WAITING),
        }
    }

    /// Keeps it in order, without allocating. False if there is no room.
    pub fn push(&mut self, waiter: Waiter) -> bool {
        if self.all.len() >= MOST_WAITING || self.all.iter().any(|w| w.id == waiter.id) {
            return false;
        }
        let before = |w: &Waiter| {
            w.priority_weight
                .total_cmp(&waiter.priority_weight)
                .reverse()
                .then(w.deadline.cmp(&waiter.deadline))
                .is_le()
        };
        let at = self.all.partition_point(before);
        self.all.insert(at, waiter);
        true
    }

    pub fn remove(&mut self, id: RequestId) {
        self.all.retain(|w| w.id != id);
    }

    /// Goes through all in order; those for whom something is found leave.
    pub fn look<T>(&mut self, mut find: impl FnMut(&mut Waiter) -> Option<T>, out: &mut Vec<T>) {
        self.all.retain_mut(|waiter| match find(waiter) {
            Some(found) => {
                out.push(found);
                false
            }
            None => true,
        });
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

impl Default for Waiting {
    fn default() -> Waiting {
        Waiting::new()
    }
}
