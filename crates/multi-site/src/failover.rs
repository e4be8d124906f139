//! Failover: whether this gateway's requests go to the local site's endpoints or to the other site.

use std::collections::VecDeque;

use harrierdock_types::{TimeDelta, Timestamp};
use nanorand::{Rng, WyRand};

use crate::{Change, MoveReason, RequestEnd, TrafficLocation, HEARTBEAT_INTERVAL};

/// So many local requests in a row of which none succeeded, within this many intervals, show that the site fails.
const FAILURES_TO_FAIL_OVER: usize = 8;
const FAILURE_WINDOW_INTERVALS: f64 = 30.0;
/// The share of idempotent requests that still goes to the local site during a failover, to see whether any succeeds.
const PROBE_RATIO: f64 = 0.05;
/// How many of the latest probes are looked at, and how many of them must have succeeded for traffic to return.
const PROBES_CONSIDERED: usize = 5;
const PROBE_SUCCESSES: usize = 4;
/// The shortest time of a failover. It doubles with each failover that follows another within [`FLAPPING_WINDOW`], so that a site
/// that keeps failing and recovering doesn't move all traffic each time: at most five failovers begin in a minute.
const MIN_FAILOVER: TimeDelta = TimeDelta(2_000_000);
const MAX_MIN_FAILOVER: TimeDelta = TimeDelta(30_000_000);
const FLAPPING_WINDOW: TimeDelta = TimeDelta(60_000_000);
/// Distinguishes the draws from those of membership, which have the same seed.
const SEED_SALT: u64 = 0x5157;

/// How a request at the local site's endpoints ended.
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
    /// An operator has drained this site.
    is_drained: bool,
    /// The earliest end of the current failover, and how long it lasts at the least.
    earliest_return: Timestamp,
    min_duration: TimeDelta,
    last_failover: Option<Timestamp>,
    /// The latest results, oldest first.
    results: VecDeque<LocalResult>,
    /// How long traffic takes to return.
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
            min_duration: MIN_FAILOVER,
            last_failover: None,
            results: VecDeque::new(),
            return_duration: slow_start_window,
            moves: 0,
            changes: Vec::new(),
        }
    }

    /// The share of the traffic that goes to the other site now.
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

    /// Whether this request goes to the other site. During a failover a few that `may_probe` go to the local one.
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

    /// How often traffic has begun to go elsewhere.
    pub(crate) fn moves(&self) -> u64 {
        self.moves
    }

    /// A request at the local site's endpoints has ended.
    pub(crate) fn record_request_end(&mut self, now: Timestamp, end: RequestEnd) {
        if end == RequestEnd::ClientGone {
            return;
        }
        self.results.push_back(LocalResult {
            at: now,
            succeeded: end == RequestEnd::Succeeded,
        });
        if self.results.len() > FAILURES_TO_FAIL_OVER {
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

    /// Looks whether the local site fails, or has recovered. Returns all changes since the last evaluation.
    pub(crate) fn evaluate(&mut self, now: Timestamp, ready: usize) -> Vec<Change> {
        match self.status.location {
            TrafficLocation::FailedOver => {
                let may_return = !self.is_drained && now >= self.earliest_return && ready > 0;
                if may_return && self.probes_succeed() {
                    let reason = MoveReason::RequestsSucceed;
                    self.move_traffic(now, TrafficLocation::Returning, reason);
                }
            }
            TrafficLocation::Local | TrafficLocation::Returning if self.nothing_succeeds(now) => {
                self.fail_over(now, MoveReason::NothingSucceeds);
            }
            TrafficLocation::Returning if self.forwarded_ratio(now) <= 0.0 => {
                self.move_traffic(now, TrafficLocation::Local, MoveReason::SlowStartOver);
            }
            TrafficLocation::Local | TrafficLocation::Returning => {}
        }
        std::mem::take(&mut self.changes)
    }

    fn probes_succeed(&self) -> bool {
        let latest = self.results.iter().rev().take(PROBES_CONSIDERED);
        let successes = latest
            .clone()
            .filter(|r| r.succeeded && r.at > self.status.since)
            .count();
        latest.count() >= PROBES_CONSIDERED && successes >= PROBE_SUCCESSES
    }

    fn nothing_succeeds(&self, now: Timestamp) -> bool {
        let window = HEARTBEAT_INTERVAL * FAILURE_WINDOW_INTERVALS;
        self.results.len() >= FAILURES_TO_FAIL_OVER
            && self.results.iter().all(|r| !r.succeeded)
            && self.results.front().is_some_and(|r| now - r.at <= window)
    }

    fn fail_over(&mut self, now: Timestamp, reason: MoveReason) {
        let is_flapping = self
            .last_failover
            .is_some_and(|at| now - at < FLAPPING_WINDOW);
        self.min_duration = if is_flapping {
            (self.min_duration * 2.0).min(MAX_MIN_FAILOVER)
        } else {
            MIN_FAILOVER
        };
        self.last_failover = Some(now);
        self.earliest_return = now + self.min_duration;
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
