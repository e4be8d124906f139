//! The constants of the simulated sites, and their request classes.

use harrierdock_types::TimeDelta;

/// The sites' names, by their numbers.
pub const SITE_NAMES: [&str; 2] = ["hobart", "launceston"];
/// How long an idempotency group remembers a request.
pub const DEDUPLICATION_WINDOW: TimeDelta = TimeDelta(1_000_000);
/// The longest time that a client waits.
pub const REQUEST_TIMEOUT: TimeDelta = TimeDelta(1_500_000);
/// An answer within it counts as in time.
pub const LATENCY_OBJECTIVE: TimeDelta = TimeDelta(450_000);
/// Mean work of a request on one core of a warm endpoint.
pub const MEAN_WORK: TimeDelta = TimeDelta(20_000);
/// Requests that an endpoint works on at once.
pub const CORES_PER_ENDPOINT: usize = 2;
/// The build that endpoints run at the start.
pub const FIRST_BUILD: u32 = 41;
/// Share of its capacity that a new endpoint starts with.
pub const INITIAL_CAPACITY_RATIO: f64 = 0.35;
/// How long a new endpoint takes to come to its capacity.
pub const SLOW_START_DURATION: TimeDelta = TimeDelta(4_800_000);
/// The span over which requests are counted against a warming endpoint's capacity.
pub const OVERLOAD_WINDOW: TimeDelta = TimeDelta(1_000_000);
/// A warming endpoint fails at so many times its capacity.
pub const OVERLOAD_RATIO: f64 = 4.0;
/// How long after a drain begins requests may still come.
pub const DRAIN_GRACE: TimeDelta = TimeDelta(500_000);
/// Requests that may wait at an endpoint.
pub(super) const QUEUE_LIMIT: usize = 24;
/// How long after its timeout a request's answer is waited for, before it counts as lost.
pub(super) const LATE_ANSWER_TIME: TimeDelta = TimeDelta(500_000);

/// The request classes of the simulated clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestClass {
    /// Idempotent.
    Draft,
    /// Safe with an idempotency key.
    Payment,
    /// Not idempotent.
    Lodge,
}

impl RequestClass {
    /// Its name on the wire.
    pub fn name(self) -> &'static str {
        match self {
            RequestClass::Draft => "draft",
            RequestClass::Payment => "payment",
            RequestClass::Lodge => "lodge",
        }
    }

    /// What a request answered in time is worth against others.
    pub fn priority_weight(self) -> f64 {
        match self {
            RequestClass::Draft => 1.0,
            RequestClass::Payment | RequestClass::Lodge => 5.0,
        }
    }
}
