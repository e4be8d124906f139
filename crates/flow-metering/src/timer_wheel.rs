//! A wheel of time-outs: what is due within its span is put into the slot of its turn, and each turn takes one slot.

use harrierdock_types::{TimeDelta, Timestamp};

pub struct Wheel<T> {
    slots: Vec<Vec<T>>,
    turn: TimeDelta,
    at: usize,
    next: Timestamp,
}

impl<T> Wheel<T> {
    /// `slots` turns of this length; what is due later than that comes in the last of them.
    pub fn new(now: Timestamp, turn: TimeDelta, slots: usize) -> Wheel<T> {
        let turn = turn.max(TimeDelta(1));
        Wheel {
            slots: (0..slots.max(2)).map(|_| Vec::new()).collect(),
            turn,
            at: 0,
            next: now + turn,
        }
    }

    /// Never due early; late by less than a turn.
    pub fn set(&mut self, due: Timestamp, what: T) {
        let left = (due - self.next).0.max(0);
        let turns =
            ((left + self.turn.0 - 1) / self.turn.0).min(self.slots.len() as i64 - 1) as usize;
        let at = (self.at + turns) % self.slots.len();
        self.slots[at].push(what);
    }

    /// All that has come due.
    pub fn turn(&mut self, now: Timestamp) -> Vec<T> {
        let mut due = Vec::new();
        let mut turns = 0;
        while self.next <= now {
            due.append(&mut self.slots[self.at]);
            self.at = (self.at + 1) % self.slots.len();
            self.next = self.next + self.turn;
            turns += 1;
            // After a full round everything has come; the turns that were missed meanwhile are skipped.
            if turns >= self.slots.len() {
                let behind = (now - self.next).0.max(-1) / self.turn.0 + 1;
                self.next = self.next + TimeDelta(self.turn.0.saturating_mul(behind.max(0)));
                break;
            }
        }
        due
    }

    pub fn next(&self) -> Timestamp {
        self.next
    }

    pub fn clear(&mut self) {
        self.slots.iter_mut().for_each(Vec::clear);
    }
}
