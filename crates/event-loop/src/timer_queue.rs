//! Timers, ordered by their deadlines.

use std::collections::BTreeSet;

use harrierdock_types::Timestamp;

/// Timers of any number of kinds. `T` says what a timer is for.
pub struct TimerQueue<T>(BTreeSet<(Timestamp, T)>);

impl<T> Default for TimerQueue<T> {
    fn default() -> TimerQueue<T> {
        TimerQueue(BTreeSet::new())
    }
}

impl<T: Ord> TimerQueue<T> {
    /// Sets a timer. One of the same kind and deadline is set only once.
    pub fn set(&mut self, deadline: Timestamp, timer: T) {
        self.0.insert((deadline, timer));
    }

    /// Cancels the timer of this kind and deadline, if it is set.
    pub fn cancel(&mut self, deadline: Timestamp, timer: T) {
        self.0.remove(&(deadline, timer));
    }

    /// The earliest deadline.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.0.first().map(|(deadline, _)| *deadline)
    }

    /// Removes and returns the earliest timer whose deadline has passed.
    pub fn pop_expired(&mut self, now: Timestamp) -> Option<T> {
        self.next_deadline().filter(|deadline| *deadline <= now)?;
        self.0.pop_first().map(|(_, timer)| timer)
    }
}
