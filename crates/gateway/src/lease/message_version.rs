//! Faults that are injected in one gateway, to show that the others bear them: another version of the
//! messages, and a clock that runs at another rate.

use harrierdock_lease::codec;
use harrierdock_types::{TimeDelta, Timestamp};

use crate::config::lease::InjectedFaults;

/// Where the version stands in a message.
const VERSION_BYTE: usize = 1;

/// The version of messages that a gateway writes and reads.
#[derive(Clone, Copy, Debug)]
pub(super) struct MessageVersion(u8);

impl MessageVersion {
    /// The current version, or the one configured.
    pub(super) fn new(faults: Option<&InjectedFaults>) -> MessageVersion {
        MessageVersion(faults.map_or(codec::FORMAT_VERSION, |o| o.message_version))
    }

    /// Exchanges the current version and the configured one in a message, whichever way it goes.
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

/// The clock that the leases go by.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseClock {
    start: Timestamp,
    rate: f64,
}

impl LeaseClock {
    /// A clock that runs at the right rate, or at the one configured.
    pub(super) fn new(start: Timestamp, faults: Option<&InjectedFaults>) -> LeaseClock {
        LeaseClock {
            start,
            rate: faults.map_or(1.0, |o| o.clock_rate),
        }
    }

    /// The lease clock's time when the event loop's is `now`.
    pub(super) fn at(self, now: Timestamp) -> Timestamp {
        if self.rate == 1.0 {
            return now;
        }
        self.start + (now - self.start) * self.rate
    }

    /// How long a time by this clock is by the event loop's.
    pub(super) fn to_loop_time(self, delta: TimeDelta) -> TimeDelta {
        delta / self.rate
    }
}
