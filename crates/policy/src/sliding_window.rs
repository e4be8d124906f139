//! What happened lately, oldest first, each with its point in time.

use std::collections::VecDeque;

use harrierdock_types::Timestamp;

#[derive(Clone, Debug)]
pub struct SlidingWindow<T>(VecDeque<(Timestamp, T)>);

impl<T> Default for SlidingWindow<T> {
    fn default() -> Self {
        SlidingWindow(VecDeque::new())
    }
}

impl<T> SlidingWindow<T> {
    pub fn push(&mut self, at: Timestamp, what: T) {
        self.0.push_back((at, what));
    }

    /// Takes back what was said to be at this point, if it is still held.
    pub fn take_back(&mut self, at: Timestamp, what: &T)
    where
        T: PartialEq,
    {
        let from = self.0.partition_point(|(point, _)| *point < at);
        let same = self
            .0
            .iter()
            .skip(from)
            .take_while(|(point, _)| *point == at)
            .position(|(_, w)| w == what);
        same.map(|place| self.0.remove(from + place));
    }

    pub fn forget(&mut self, before: Timestamp) {
        while self.0.front().is_some_and(|(at, _)| *at < before) {
            self.0.pop_front();
        }
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// When the oldest that is held was.
    pub fn first(&self) -> Option<Timestamp> {
        self.0.front().map(|(at, _)| *at)
    }

    pub fn since(&self, from: Timestamp) -> impl Iterator<Item = &T> {
        self.0
            .iter()
            .rev()
            .take_while(move |(at, _)| *at > from)
            .map(|(_, what)| what)
    }

    /// How many of those after `from` are of the kind asked for.
    pub fn count(&self, from: Timestamp, of_kind: impl Fn(&T) -> bool) -> f64 {
        self.0
            .iter()
            .filter(|(at, what)| *at > from && of_kind(what))
            .count() as f64
    }
}
