//! Trace of the events that stand-ins record, in the order in which they happened.

use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use super::TEST_TIMEOUT;

/// How often a waiting test checks the trace.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A list of recorded lines. Clones share the same list.
#[derive(Clone, Default)]
pub struct Trace(pub Arc<Mutex<Vec<String>>>);

impl Trace {
    /// Appends a line without a line end.
    pub fn record(&self, line: impl Into<String>) {
        self.lines().push(line.into());
    }

    /// Counts the lines with this prefix.
    pub fn count(&self, prefix: &str) -> usize {
        self.lines()
            .iter()
            .filter(|line| line.starts_with(prefix))
            .count()
    }

    /// Waits until at least `count` lines start with this prefix.
    ///
    /// # Panics
    ///
    /// If there are fewer lines after [`TEST_TIMEOUT`].
    pub fn wait_for(&self, prefix: &str, count: usize) {
        let started = Instant::now();
        while self.count(prefix) < count {
            assert!(
                started.elapsed() < TEST_TIMEOUT,
                "timed out waiting for {count} lines that start with {prefix:?}: {:#?}",
                self.lines()
            );
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// All lines recorded so far, each followed by a line end.
    pub fn text(&self) -> String {
        self.lines().join("\n") + "\n"
    }

    fn lines(&self) -> MutexGuard<'_, Vec<String>> {
        self.0.lock().expect("no thread panics while it records")
    }
}
