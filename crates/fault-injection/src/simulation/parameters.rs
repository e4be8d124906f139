//! Parameters and request classes of the simulated sites.

use harrierdock_types::TimeDelta;

/// Names of the sites, by site index.
pub const SITE_NAMES: [&str; 2] = ["hobart", "launceston"];
/// How long an idempotency group remembers the key of a request.
pub const DEDUPLICATION_WINDOW: TimeDelta = TimeDelta(1_000_000);
/// How long a client waits for an answer.
pub const REQUEST_TIMEOUT: TimeDelta = TimeDelta(1_500_000);
/// An answer within this time meets the latency objective.
pub const LATENCY_OBJECTIVE: TimeDelta = TimeDelta(450_000);
/// Mean processing time of a request on one core of a warm endpoint.
pub const MEAN_WORK: TimeDelta = TimeDelta(20_000);
/// Number of requests that an endpoint processes concurrently.
pub const CORES_PER_ENDPOINT: usize = 2;
/// Number of the build that endpoints run initially.
pub const FIRST_BUILD: u32 = 41;
/// Initial capacity of an endpoint in slow start, as a share of its full capacity.
pub const INITIAL_CAPACITY_RATIO: f64 = 0.35;
/// Time that an endpoint in slow start takes to reach its full capacity.
pub const SLOW_START_DURATION: TimeDelta = TimeDelta(4_800_000);
/// Window over which a warming endpoint's arrivals are compared with its capacity.
pub const OVERLOAD_WINDOW: TimeDelta = TimeDelta(1_000_000);
/// A warming endpoint is overloaded when its arrivals exceed this multiple of its current capacity.
pub const OVERLOAD_RATIO: f64 = 4.0;
/// How long after the start of a drain requests may still arrive.
pub const DRAIN_GRACE: TimeDelta = TimeDelta(500_000);
/// Maximum number of requests queued at an endpoint.
pub(super) const QUEUE_LIMIT: usize = 24;
/// Extra wait for an answer after the timeout, before the request is abandoned.
pub(super) const LATE_ANSWER_TIME: TimeDelta = TimeDelta(500_000);

/// Retry safety of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestClass {
    /// Safe to repeat; sent as GET.
    Idempotent,
    /// Safe to repeat with the same idempotency key.
    Keyed,
    /// Must not be repeated once it may have taken effect.
    NonIdempotent,
}

impl RequestClass {
    /// The request class's name on the wire.
    pub fn name(self) -> &'static str {
        match self {
            RequestClass::Idempotent => "draft",
            RequestClass::Keyed => "payment",
            RequestClass::NonIdempotent => "lodge",
        }
    }

    /// Weight of an answer within the latency objective, relative to the other classes.
    pub fn priority_weight(self) -> f64 {
        match self {
            RequestClass::Idempotent => 1.0,
            RequestClass::Keyed | RequestClass::NonIdempotent => 5.0,
        }
    }
}
