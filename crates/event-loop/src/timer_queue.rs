//! Timers, ordered by their deadlines.

use std::collections::BTreeSet;

use harrierdock_types::Timestamp;

/// A queue of timers. `T` identifies the kind of a timer.
pub struct TimerQueue<T>(BTreeSet<(Timestamp, T)>);

impl<T> Default for TimerQueue<T> {
    fn default() -> TimerQueue<T> {
        TimerQueue(BTreeSet::new())
    }
}

impl<T: Ord> TimerQueue<T> {
    /// Sets a timer. Setting the same kind and deadline again has no effect.
    pub fn set(&mut self, deadline: Timestamp, timer: T) {
        self.0.insert((deadline, timer));
    }

    /// Cancels the timer of this kind and deadline, if it is set.
    pub fn cancel(&mut self, deadline: Timestamp, timer: T) {
        self.0.remove(&(deadline, timer));
    }

    /// The earliest deadline; `None` without timers.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.0.first().map(|(deadline, _)| *deadline)
    }

    /// Removes and returns the earliest timer whose deadline has passed.
    pub fn pop_expired(&mut self, now: Timestamp) -> Option<T> {
        self.next_deadline().filter(|deadline| *deadline <= now)?;
        self.0.pop_first().map(|(_, timer)| timer)
    }
}
