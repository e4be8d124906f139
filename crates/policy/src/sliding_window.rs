//! Recent events, oldest first, each with the time at which it happened.

use std::collections::VecDeque;

use harrierdock_types::Timestamp;

#[derive(Clone, Debug)]
struct Entry<T> {
    at: Timestamp,
    value: T,
}

/// Events in the order in which they happened. The owner removes what is too old with [`SlidingWindow::drop_before`].
#[derive(Clone, Debug)]
pub struct SlidingWindow<T> {
    entries: VecDeque<Entry<T>>,
}

impl<T> Default for SlidingWindow<T> {
    fn default() -> Self {
        SlidingWindow {
            entries: VecDeque::new(),
        }
    }
}

impl<T> SlidingWindow<T> {
    /// Adds an event. Events are added in the order of their times.
    pub fn push(&mut self, at: Timestamp, value: T) {
        self.entries.push_back(Entry { at, value });
    }

    /// Removes one event of this time and value, if it is still held.
    pub fn remove(&mut self, at: Timestamp, value: &T)
    where
        T: PartialEq,
    {
        let first = self.entries.partition_point(|entry| entry.at < at);
        let found = self
            .entries
            .iter()
            .skip(first)
            .take_while(|entry| entry.at == at)
            .position(|entry| entry.value == *value);
        if let Some(offset) = found {
            self.entries.remove(first + offset);
        }
    }

    /// Drops the events before this time.
    pub fn drop_before(&mut self, edge: Timestamp) {
        while self.entries.front().is_some_and(|entry| entry.at < edge) {
            self.entries.pop_front();
        }
    }

    /// How many events are held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no event is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// When the oldest event that is held happened.
    pub fn oldest(&self) -> Option<Timestamp> {
        self.entries.front().map(|entry| entry.at)
    }

    /// The events after this time, newest first.
    pub fn after(&self, from: Timestamp) -> impl Iterator<Item = &T> {
        self.entries
            .iter()
            .rev()
            .take_while(move |entry| entry.at > from)
            .map(|entry| &entry.value)
    }

    /// How many events after this time match.
    pub fn count_after(&self, from: Timestamp, matches: impl Fn(&T) -> bool) -> f64 {
        self.entries
            .iter()
            .filter(|entry| entry.at > from && matches(&entry.value))
            .count() as f64
    }
}
