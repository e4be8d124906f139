//! A queue of recent timestamped events.

use std::collections::VecDeque;

use harrierdock_types::Timestamp;

#[derive(Clone, Debug)]
struct Entry<T> {
    at: Timestamp,
    value: T,
}

/// Timestamped events, oldest first. The owner removes old events with [`SlidingWindow::drop_before`].
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
    /// Adds an event. `at` must not be earlier than the time of the previous event.
    pub fn push(&mut self, at: Timestamp, value: T) {
        self.entries.push_back(Entry { at, value });
    }

    /// Removes one event with this time and value, if there is one.
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

    /// Removes the events before `cutoff`.
    pub fn drop_before(&mut self, cutoff: Timestamp) {
        while self.entries.front().is_some_and(|entry| entry.at < cutoff) {
            self.entries.pop_front();
        }
    }

    /// The number of events in the window.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the window has no events.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The time of the oldest event; `None` if the window is empty.
    pub fn oldest(&self) -> Option<Timestamp> {
        self.entries.front().map(|entry| entry.at)
    }

    /// The events later than `from`, newest first.
    pub fn after(&self, from: Timestamp) -> impl Iterator<Item = &T> {
        self.entries
            .iter()
            .rev()
            .take_while(move |entry| entry.at > from)
            .map(|entry| &entry.value)
    }

    /// The number of events later than `from` that match.
    pub fn count_after(&self, from: Timestamp, matches: impl Fn(&T) -> bool) -> f64 {
        self.entries
            .iter()
            .filter(|entry| entry.at > from && matches(&entry.value))
            .count() as f64
    }
}
