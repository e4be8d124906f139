//! The limit on descriptors of connections.

/// The minimum number of descriptors for connections, even with a lower process limit.
const MIN_DESCRIPTORS: usize = 2;

/// Counts the descriptors of connections against their limit.
pub struct DescriptorBudget {
    in_use: usize,
    /// The maximum of `in_use` since the last call of `take_peak`.
    peak: usize,
    max: usize,
}

impl DescriptorBudget {
    /// Creates a budget of `process_limit` minus `reserved` descriptors.
    pub fn new(process_limit: usize, reserved: usize) -> DescriptorBudget {
        DescriptorBudget {
            in_use: 0,
            peak: 0,
            max: process_limit.saturating_sub(reserved).max(MIN_DESCRIPTORS),
        }
    }

    /// Counts an opened connection.
    pub fn acquire(&mut self) {
        self.in_use += 1;
        self.peak = self.peak.max(self.in_use);
    }

    /// Counts a closed connection.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// The number of descriptors that connections hold.
    pub fn in_use(&self) -> usize {
        self.in_use
    }

    /// The maximum of `in_use` since the last call. Restarts the maximum at the current value.
    pub fn take_peak(&mut self) -> usize {
        std::mem::replace(&mut self.peak, self.in_use)
    }

    /// How many more connections may be opened.
    pub fn available(&self) -> usize {
        self.max.saturating_sub(self.in_use)
    }
}
