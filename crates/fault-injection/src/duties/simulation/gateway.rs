//! A simulated gateway: its process, and its clock.

use harrierdock_lease::LeaseManager;
use harrierdock_types::Timestamp;
use nanorand::{Rng, WyRand};

use super::CLOCK_DRIFT_RATIO;

const MICROSECONDS_PER_MILLISECOND: i64 = 1000;
/// Unix time at the simulation's start, in milliseconds.
const START_UNIX_MS: u64 = 1_790_000_000_000;
/// By how much a gateway's Unix time may be off either way, in milliseconds.
const LARGEST_UNIX_OFFSET_MS: f64 = 900.0;
/// What a gateway's clock reads at the simulation's start is below this, in microseconds.
const LARGEST_CLOCK_OFFSET_US: i64 = 1_000_000_000_000;

/// A simulated gateway over all its incarnations.
pub struct SimulatedGateway {
    /// Its leases; none while it is down.
    pub(super) lease_manager: Option<LeaseManager>,
    /// What was meant for an earlier incarnation is lost.
    pub(super) incarnation: u32,
    clock_rate: f64,
    clock_offset_us: i64,
    unix_offset_ms: i64,
    /// Until when it is stalled: nothing happens to it before.
    pub stalled_until: Timestamp,
    /// The number of the timer that was set last; the others are cancelled.
    pub(super) timer_number: u64,
    pub(super) is_shutting_down: bool,
}

impl SimulatedGateway {
    /// A gateway that was not started yet, whose clock is drawn.
    pub(super) fn draw(rng: &mut WyRand) -> SimulatedGateway {
        SimulatedGateway {
            lease_manager: None,
            incarnation: 0,
            clock_rate: 1.0 + CLOCK_DRIFT_RATIO * draw_sign_and_size(rng),
            clock_offset_us: rng.generate_range(0..LARGEST_CLOCK_OFFSET_US),
            unix_offset_ms: (LARGEST_UNIX_OFFSET_MS * draw_sign_and_size(rng)) as i64,
            stalled_until: Timestamp(0),
            timer_number: 0,
            is_shutting_down: false,
        }
    }

    /// What its clock reads at this point of the simulation's time.
    pub(super) fn local_time(&self, now: Timestamp) -> Timestamp {
        Timestamp(self.clock_offset_us + (now.0 as f64 * self.clock_rate) as i64)
    }

    /// How much faster than true time its clock runs, as a factor.
    pub(super) fn clock_rate(&self) -> f64 {
        self.clock_rate
    }

    /// Its Unix time in milliseconds at this point of the simulation's time.
    pub(super) fn unix_time_ms(&self, now: Timestamp) -> u64 {
        let since_start_ms = now.0 / MICROSECONDS_PER_MILLISECOND;
        START_UNIX_MS.saturating_add_signed(since_start_ms + self.unix_offset_ms)
    }
}

/// A number from -1 to below 1.
fn draw_sign_and_size(rng: &mut WyRand) -> f64 {
    2.0 * rng.generate::<f64>() - 1.0
}
