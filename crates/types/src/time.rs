//! Points in time and differences between them, as two distinct types. Both count microseconds.

use std::ops::{Add, Div, Mul, Sub};

const MICROS_PER_SECOND: f64 = 1e6;
const MICROS_PER_MILLISECOND: i64 = 1000;

/// A point in time, in microseconds since an origin that the owner of the clock chooses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(pub i64);

/// A difference between two points in time, in microseconds. May be negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeDelta(pub i64);

impl TimeDelta {
    /// The difference of zero microseconds.
    pub const ZERO: TimeDelta = TimeDelta(0);

    /// Creates a difference from seconds. Fractions of a microsecond are cut off.
    pub fn from_seconds(seconds: f64) -> TimeDelta {
        TimeDelta((seconds * MICROS_PER_SECOND) as i64)
    }

    /// Creates a difference from milliseconds. Saturates at the limits of `i64`.
    pub const fn from_millis(milliseconds: i64) -> TimeDelta {
        TimeDelta(milliseconds.saturating_mul(MICROS_PER_MILLISECOND))
    }

    /// This difference in seconds.
    pub fn as_seconds(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }

    /// The ratio of this difference to `other`. An `other` below one microsecond counts as one microsecond.
    pub fn ratio_to(self, other: TimeDelta) -> f64 {
        self.0 as f64 / other.0.max(1) as f64
    }
}

impl Sub for Timestamp {
    type Output = TimeDelta;
    fn sub(self, other: Timestamp) -> TimeDelta {
        TimeDelta(self.0.saturating_sub(other.0))
    }
}

impl Add<TimeDelta> for Timestamp {
    type Output = Timestamp;
    fn add(self, delta: TimeDelta) -> Timestamp {
        Timestamp(self.0.saturating_add(delta.0))
    }
}

impl Sub<TimeDelta> for Timestamp {
    type Output = Timestamp;
    fn sub(self, delta: TimeDelta) -> Timestamp {
        Timestamp(self.0.saturating_sub(delta.0))
    }
}

impl Add for TimeDelta {
    type Output = TimeDelta;
    fn add(self, other: TimeDelta) -> TimeDelta {
        TimeDelta(self.0.saturating_add(other.0))
    }
}

impl Sub for TimeDelta {
    type Output = TimeDelta;
    fn sub(self, other: TimeDelta) -> TimeDelta {
        TimeDelta(self.0.saturating_sub(other.0))
    }
}

impl Mul<f64> for TimeDelta {
    type Output = TimeDelta;
    fn mul(self, factor: f64) -> TimeDelta {
        TimeDelta((self.0 as f64 * factor) as i64)
    }
}

impl Div<f64> for TimeDelta {
    type Output = TimeDelta;
    fn div(self, divisor: f64) -> TimeDelta {
        TimeDelta((self.0 as f64 / divisor) as i64)
    }
}
