//! How many descriptors connections may hold.

/// The least number of descriptors for connections, however small the limit.
const MIN_DESCRIPTORS: usize = 2;

/// The descriptors that connections hold, and how many they may.
pub struct DescriptorBudget {
    in_use: usize,
    /// The most that were held at once since this was asked last.
    peak: usize,
    max: usize,
}

impl DescriptorBudget {
    /// The budget within a process limit, of which `reserved` are set aside.
    pub fn new(process_limit: usize, reserved: usize) -> DescriptorBudget {
        DescriptorBudget {
            in_use: 0,
            peak: 0,
            max: process_limit.saturating_sub(reserved).max(MIN_DESCRIPTORS),
        }
    }

    /// A connection is opened.
    pub fn acquire(&mut self) {
        self.in_use += 1;
        self.peak = self.peak.max(self.in_use);
    }

    /// A connection is closed.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Descriptors that connections hold.
    pub fn in_use(&self) -> usize {
        self.in_use
    }

    /// The most descriptors that connections held at once since this was asked last.
    pub fn take_peak(&mut self) -> usize {
        std::mem::replace(&mut self.peak, self.in_use)
    }

    /// How many more connections may be opened.
    pub fn available(&self) -> usize {
        self.max.saturating_sub(self.in_use)
    }
}
