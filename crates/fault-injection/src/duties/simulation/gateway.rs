//! A simulated gateway with its process and clock.

use harrierdock_lease::LeaseManager;
use harrierdock_types::Timestamp;
use nanorand::{Rng, WyRand};

use super::CLOCK_DRIFT_RATIO;

const MICROSECONDS_PER_MILLISECOND: i64 = 1000;
/// Unix time at the simulation's start, in milliseconds.
const START_UNIX_MS: u64 = 1_790_000_000_000;
/// Largest error of a gateway's Unix time, in either direction.
const MAX_UNIX_OFFSET_MS: f64 = 900.0;
/// Upper bound of a gateway's monotonic clock at the simulation's start, in microseconds.
const MAX_CLOCK_OFFSET_US: i64 = 1_000_000_000_000;

/// A simulated gateway over all its incarnations.
pub struct SimulatedGateway {
    /// `None` while the gateway is down.
    pub(super) lease_manager: Option<LeaseManager>,
    /// Counts the exits of the process. Timers and exits of an earlier incarnation are ignored.
    pub(super) incarnation: u32,
    /// Speed of the gateway's monotonic clock relative to simulated time, as a factor.
    clock_rate: f64,
    /// The monotonic clock at the simulation's start.
    clock_offset_us: i64,
    /// Error of the Unix time.
    unix_offset_ms: i64,
    /// The gateway processes no event before this time.
    pub stalled_until: Timestamp,
    /// Number of the last timer set. Earlier timers are cancelled.
    pub(super) timer_number: u64,
    pub(super) is_shutting_down: bool,
}

impl SimulatedGateway {
    /// Draws the clock of a gateway that is not started yet.
    pub(super) fn draw(rng: &mut WyRand) -> SimulatedGateway {
        SimulatedGateway {
            lease_manager: None,
            incarnation: 0,
            clock_rate: 1.0 + CLOCK_DRIFT_RATIO * draw_signed_unit(rng),
            clock_offset_us: rng.generate_range(0..MAX_CLOCK_OFFSET_US),
            unix_offset_ms: (MAX_UNIX_OFFSET_MS * draw_signed_unit(rng)) as i64,
            stalled_until: Timestamp(0),
            timer_number: 0,
            is_shutting_down: false,
        }
    }

    /// The time of the gateway's monotonic clock at a point in simulated time.
    pub(super) fn local_time(&self, now: Timestamp) -> Timestamp {
        Timestamp(self.clock_offset_us + (now.0 as f64 * self.clock_rate) as i64)
    }

    /// Speed of the gateway's monotonic clock relative to simulated time, as a factor.
    pub(super) fn clock_rate(&self) -> f64 {
        self.clock_rate
    }

    /// The gateway's Unix time at a point in simulated time.
    pub(super) fn unix_time_ms(&self, now: Timestamp) -> u64 {
        let since_start_ms = now.0 / MICROSECONDS_PER_MILLISECOND;
        START_UNIX_MS.saturating_add_signed(since_start_ms + self.unix_offset_ms)
    }
}

/// Draws a number from -1 to below 1.
fn draw_signed_unit(rng: &mut WyRand) -> f64 {
    2.0 * rng.generate::<f64>() - 1.0
}
