//! Faults injected into one gateway: another message version, and a clock that runs too fast or too slow. They test that the other
//! gateways tolerate such a gateway.

use harrierdock_lease::codec;
use harrierdock_types::{TimeDelta, Timestamp};

use crate::config::lease::InjectedFaults;

/// The offset of the format version in a message.
const VERSION_BYTE: usize = 1;

/// The message version that this gateway sends and accepts.
#[derive(Clone, Copy, Debug)]
pub(super) struct MessageVersion(u8);

impl MessageVersion {
    /// The injected version, or the current one without injected faults.
    pub(super) fn new(faults: Option<&InjectedFaults>) -> MessageVersion {
        MessageVersion(faults.map_or(codec::FORMAT_VERSION, |faults| faults.message_version))
    }

    /// Swaps the current version and the injected one in a message, sent or received.
    pub(super) fn convert(self, message: &mut [u8]) {
        if self.0 == codec::FORMAT_VERSION {
            return;
        }
        if let Some(version) = message.get_mut(VERSION_BYTE) {
            *version = if *version == self.0 {
                codec::FORMAT_VERSION
            } else {
                self.0
            };
        }
    }
}

/// The clock used for leases. An injected fault makes it run at another rate than the event loop's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseClock {
    start: Timestamp,
    rate: f64,
}

impl LeaseClock {
    /// A clock that runs at the injected rate, or at the event loop's rate without injected faults.
    pub(super) fn new(start: Timestamp, faults: Option<&InjectedFaults>) -> LeaseClock {
        LeaseClock {
            start,
            rate: faults.map_or(1.0, |faults| faults.clock_rate),
        }
    }

    /// Converts a time of the event loop's clock to the lease clock.
    pub(super) fn at(self, now: Timestamp) -> Timestamp {
        if self.rate == 1.0 {
            return now;
        }
        self.start + (now - self.start) * self.rate
    }

    /// Converts a duration on the lease clock to one on the event loop's clock.
    pub(super) fn to_loop_time(self, delta: TimeDelta) -> TimeDelta {
        delta / self.rate
    }
}
