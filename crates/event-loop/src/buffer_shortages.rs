//! How often no buffer was available, and how long connections waited for one.

use harrierdock_types::TimeDelta;

/// Shortages since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecentShortages {
    /// How many times no buffer was available.
    pub count: u64,
    /// The longest wait for a buffer that has ended.
    pub longest_wait: TimeDelta,
}

/// Counts shortages of buffers, and the waits that they cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BufferShortages {
    count: u64,
    wait_count: u64,
    total_wait: TimeDelta,
    recent: RecentShortages,
}

impl BufferShortages {
    /// Records that no buffer was available.
    pub fn record(&mut self) {
        self.count += 1;
        self.recent.count += 1;
    }

    /// Records a wait for a buffer that has ended, whether or not a buffer became available.
    pub fn record_wait(&mut self, duration: TimeDelta) {
        self.wait_count += 1;
        self.total_wait = self.total_wait + duration;
        self.recent.longest_wait = self.recent.longest_wait.max(duration);
    }

    /// How many times no buffer was available since the process started.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// The number of waits that have ended since the process started.
    pub fn wait_count(&self) -> u64 {
        self.wait_count
    }

    /// The sum of all waits that have ended since the process started.
    pub fn total_wait(&self) -> TimeDelta {
        self.total_wait
    }

    /// Returns the shortages since the last call, and starts anew.
    pub fn take_recent(&mut self) -> RecentShortages {
        std::mem::take(&mut self.recent)
    }
}
