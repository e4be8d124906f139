//! The lines that stand-ins note, in the order in which things happened.

use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use super::TEST_TIMEOUT;

/// How often a waiting test looks at the trace again.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A list of lines that several stand-ins share.
#[derive(Clone, Default)]
pub struct Trace(pub Arc<Mutex<Vec<String>>>);

impl Trace {
    /// Appends a line.
    pub fn note(&self, line: impl Into<String>) {
        self.lines().push(line.into());
    }

    /// Counts the lines with this prefix.
    pub fn count(&self, prefix: &str) -> usize {
        self.lines()
            .iter()
            .filter(|line| line.starts_with(prefix))
            .count()
    }

    /// Waits until there are so many lines with this prefix.
    ///
    /// # Panics
    ///
    /// If there are fewer after [`TEST_TIMEOUT`].
    pub fn wait(&self, prefix: &str, count: usize) {
        let started = Instant::now();
        while self.count(prefix) < count {
            assert!(
                started.elapsed() < TEST_TIMEOUT,
                "no {count} lines {prefix:?} in {:#?}",
                self.lines()
            );
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// All lines noted so far, each with its line end.
    pub fn text(&self) -> String {
        self.lines().join("\n") + "\n"
    }

    fn lines(&self) -> MutexGuard<'_, Vec<String>> {
        self.0.lock().expect("no thread panics while it notes")
    }
}
