//! How many descriptors connections may hold.

/// The least number of descriptors for connections, however small the limit.
const MIN_DESCRIPTORS: usize = 2;

/// The descriptors that connections hold, and how many they may.
pub struct DescriptorBudget {
    /// Descriptors that connections hold.
    pub in_use: usize,
    max: usize,
}

impl DescriptorBudget {
    /// The budget within a process limit, of which `reserved` are set aside.
    pub fn new(process_limit: usize, reserved: usize) -> DescriptorBudget {
        DescriptorBudget {
            in_use: 0,
            max: process_limit.saturating_sub(reserved).max(MIN_DESCRIPTORS),
        }
    }

    /// How many more connections may be opened.
    pub fn available(&self) -> usize {
        self.max.saturating_sub(self.in_use)
    }
}
