//! Failover: whether this gateway's requests go to the local site's endpoints or to the other site.

use std::collections::VecDeque;

use harrierdock_types::{TimeDelta, Timestamp};
use nanorand::{Rng, WyRand};

use crate::{Change, MoveReason, RequestEnd, TrafficLocation, HEARTBEAT_INTERVAL};

/// The local site has failed if this many requests in a row did not succeed within [`FAILURE_WINDOW_INTERVALS`].
const FAILURES_BEFORE_FAILOVER: usize = 8;
const FAILURE_WINDOW_INTERVALS: f64 = 30.0;
/// The ratio of probes to all requests that may probe. A probe is a request sent to the local site during a failover, to test
/// whether the site has recovered.
const PROBE_RATIO: f64 = 0.05;
/// Traffic returns once [`PROBE_SUCCESSES`] of the latest [`PROBES_CONSIDERED`] probes succeeded.
const PROBES_CONSIDERED: usize = 5;
const PROBE_SUCCESSES: usize = 4;
/// The minimum duration of a failover. It doubles with each failover within [`FLAPPING_WINDOW`] of the last one, so that a
/// site that keeps failing and recovering starts at most five failovers in a minute.
const MIN_FAILOVER: TimeDelta = TimeDelta(2_000_000);
const MAX_MIN_FAILOVER: TimeDelta = TimeDelta(30_000_000);
const FLAPPING_WINDOW: TimeDelta = TimeDelta(60_000_000);
/// XORed into the seed, since membership uses the same seed and must draw other random numbers.
const SEED_SALT: u64 = 0x5157;

/// The result of one request at the local site's endpoints.
struct LocalResult {
    at: Timestamp,
    succeeded: bool,
}

/// Where traffic goes, why, and since when.
#[derive(Clone, Copy)]
pub(crate) struct TrafficStatus {
    pub(crate) location: TrafficLocation,
    pub(crate) reason: MoveReason,
    pub(crate) since: Timestamp,
}

pub(crate) struct Failover {
    rng: WyRand,
    status: TrafficStatus,
    /// Whether an operator has drained this site.
    is_drained: bool,
    /// When traffic may return at the earliest.
    earliest_return: Timestamp,
    /// The minimum duration of the latest failover.
    min_failover: TimeDelta,
    last_failover: Option<Timestamp>,
    /// The latest results, oldest first.
    results: VecDeque<LocalResult>,
    /// How long the local site's share takes to grow back to all traffic.
    return_duration: TimeDelta,
    moves: u64,
    changes: Vec<Change>,
}

impl Failover {
    pub(crate) fn new(slow_start_window: TimeDelta, seed: u64) -> Failover {
        Failover {
            rng: WyRand::new_seed(seed ^ SEED_SALT),
            status: TrafficStatus {
                location: TrafficLocation::Local,
                reason: MoveReason::RequestsSucceed,
                since: Timestamp(0),
            },
            is_drained: false,
            earliest_return: Timestamp(0),
            min_failover: MIN_FAILOVER,
            last_failover: None,
            results: VecDeque::new(),
            return_duration: slow_start_window,
            moves: 0,
            changes: Vec::new(),
        }
    }

    /// The share of requests to forward to the other site.
    fn forwarded_ratio(&self, now: Timestamp) -> f64 {
        match self.status.location {
            TrafficLocation::Local => 0.0,
            TrafficLocation::FailedOver => 1.0,
            TrafficLocation::Returning => {
                1.0 - (now - self.status.since)
                    .ratio_to(self.return_duration)
                    .clamp(0.0, 1.0)
            }
        }
    }

    /// Whether to forward this request. During a failover, a few requests that `may_probe` go to the local site.
    pub(crate) fn should_forward(&mut self, now: Timestamp, may_probe: bool) -> bool {
        let ratio = self.forwarded_ratio(now);
        if ratio <= 0.0 {
            return false;
        }
        let is_probing =
            may_probe && self.is_failed_over() && self.status.reason != MoveReason::OperatorCommand;
        if is_probing && self.rng.generate::<f64>() < PROBE_RATIO {
            return false;
        }
        self.rng.generate::<f64>() < ratio
    }

    pub(crate) fn is_failed_over(&self) -> bool {
        self.status.location == TrafficLocation::FailedOver
    }

    pub(crate) fn status(&self) -> TrafficStatus {
        self.status
    }

    /// How many failovers and returns have started.
    pub(crate) fn moves(&self) -> u64 {
        self.moves
    }

    /// Records the result of a request at the local site's endpoints.
    pub(crate) fn record_request_end(&mut self, now: Timestamp, end: RequestEnd) {
        if end == RequestEnd::ClientDisconnected {
            return;
        }
        self.results.push_back(LocalResult {
            at: now,
            succeeded: end == RequestEnd::Succeeded,
        });
        if self.results.len() > FAILURES_BEFORE_FAILOVER {
            self.results.pop_front();
        }
    }

    pub(crate) fn handle_endpoints_updated(&mut self, now: Timestamp, ready: usize) {
        if ready == 0 && !self.is_failed_over() {
            self.fail_over(now, MoveReason::NoReadyEndpoint);
        }
    }

    pub(crate) fn set_drained(&mut self, now: Timestamp, is_drained: bool) {
        self.is_drained = is_drained;
        let by_operator = MoveReason::OperatorCommand;
        match (is_drained, self.is_failed_over()) {
            (true, true) => self.status.reason = by_operator,
            (true, false) => self.move_traffic(now, TrafficLocation::FailedOver, by_operator),
            (false, true) if self.status.reason == by_operator => {
                self.move_traffic(now, TrafficLocation::Returning, by_operator);
            }
            (false, _) => {}
        }
    }

    /// Checks whether the local site has failed or recovered. Returns all changes since the last evaluation.
    pub(crate) fn evaluate(&mut self, now: Timestamp, ready: usize) -> Vec<Change> {
        match self.status.location {
            TrafficLocation::FailedOver => {
                let may_return = !self.is_drained && now >= self.earliest_return && ready > 0;
                if may_return && self.has_recovered() {
                    let reason = MoveReason::RequestsSucceed;
                    self.move_traffic(now, TrafficLocation::Returning, reason);
                }
            }
            TrafficLocation::Local | TrafficLocation::Returning if self.has_failed(now) => {
                self.fail_over(now, MoveReason::NothingSucceeds);
            }
            TrafficLocation::Returning if self.forwarded_ratio(now) <= 0.0 => {
                self.move_traffic(now, TrafficLocation::Local, MoveReason::SlowStartOver);
            }
            TrafficLocation::Local | TrafficLocation::Returning => {}
        }
        std::mem::take(&mut self.changes)
    }

    fn has_recovered(&self) -> bool {
        let latest = self.results.iter().rev().take(PROBES_CONSIDERED);
        let successes = latest
            .clone()
            .filter(|r| r.succeeded && r.at > self.status.since)
            .count();
        latest.count() >= PROBES_CONSIDERED && successes >= PROBE_SUCCESSES
    }

    fn has_failed(&self, now: Timestamp) -> bool {
        let window = HEARTBEAT_INTERVAL * FAILURE_WINDOW_INTERVALS;
        self.results.len() >= FAILURES_BEFORE_FAILOVER
            && self.results.iter().all(|r| !r.succeeded)
            && self.results.front().is_some_and(|r| now - r.at <= window)
    }

    fn fail_over(&mut self, now: Timestamp, reason: MoveReason) {
        let is_flapping = self
            .last_failover
            .is_some_and(|at| now - at < FLAPPING_WINDOW);
        self.min_failover = if is_flapping {
            (self.min_failover * 2.0).min(MAX_MIN_FAILOVER)
        } else {
            MIN_FAILOVER
        };
        self.last_failover = Some(now);
        self.earliest_return = now + self.min_failover;
        self.move_traffic(now, TrafficLocation::FailedOver, reason);
    }

    fn move_traffic(&mut self, now: Timestamp, location: TrafficLocation, reason: MoveReason) {
        self.status = TrafficStatus {
            location,
            reason,
            since: now,
        };
        self.moves += u64::from(location != TrafficLocation::Local);
        self.results.clear();
        self.changes.push(Change::TrafficMoved { location, reason });
    }
}
