//! Selects the path of a forwarded request from the credit, the in-flight window and the refusals of each path.

use std::collections::BTreeMap;

use harrierdock_site_messages::MemberState;
use harrierdock_types::{ClassId, TimeDelta, Timestamp};

use crate::offered_capacity::CREDIT_SAVED_INTERVALS;
use crate::{Membership, PathId, RequestClass, HEARTBEAT_INTERVAL};

/// Credit expires after this many heartbeat intervals.
const CREDIT_VALID_INTERVALS: f64 = 5.0;
/// The weight of a new response time in the mean response time. Half of it is the weight of a new response in `refused_ratio`.
/// Windows and demand shrink by this ratio.
const SMOOTHING: f64 = 0.1;
/// A path is paused for [`PAUSE`] once its `refused_ratio` exceeds this.
const REFUSED_RATIO: f64 = 0.08;
const PAUSE: TimeDelta = TimeDelta(1_000_000);
/// The limit of requests in flight on a path (its window): the initial value, and the bounds as it adapts to the responses.
const INITIAL_WINDOW: f64 = 16.0;
const MIN_WINDOW: f64 = 4.0;
const MAX_WINDOW: f64 = 512.0;
/// A request is forwarded only if its remaining time is at least this many mean response times.
const MIN_RESPONSE_TIMES_LEFT: f64 = 2.0;
/// The ratio of the assumed mean response time before the first response to the latency objective.
const INITIAL_RESPONSE_TIME_RATIO: f64 = 0.25;

/// The credit and in-flight window of one path.
#[derive(Default)]
struct PathCredit {
    /// How many more requests of each class may be forwarded.
    available: Vec<f64>,
    granted_at: Timestamp,
    in_flight: f64,
    window: f64,
    /// The moving average of refused requests per forwarded request.
    refused_ratio: f64,
    paused_until: Timestamp,
}

impl PathCredit {
    fn is_valid(&self, now: Timestamp) -> bool {
        now - self.granted_at <= HEARTBEAT_INTERVAL * CREDIT_VALID_INTERVALS
    }

    fn admits(&self, now: Timestamp, class: ClassId) -> bool {
        let available = self.available.get(class.0);
        self.is_valid(now)
            && now >= self.paused_until
            && self.in_flight < self.window
            && available.is_some_and(|count| *count >= 1.0)
    }
}

/// The result of a forwarded request.
pub(crate) struct ForwardingResult {
    pub(crate) path: PathId,
    pub(crate) class: ClassId,
    /// Whether the other site served the request. If not, the request was refused or no response arrived.
    pub(crate) was_served: bool,
    pub(crate) elapsed: TimeDelta,
}

pub(crate) struct PathSelector {
    class_count: usize,
    /// The mean response time of served requests of each class.
    response_times: Vec<TimeDelta>,
    credit: BTreeMap<PathId, PathCredit>,
    /// How many requests of each class this gateway tried to forward in this interval.
    requested: Vec<f64>,
    /// The slowly decaying maximum of `requested`.
    demand: Vec<f64>,
    path_count: usize,
}

impl PathSelector {
    pub(crate) fn new(classes: &[RequestClass]) -> PathSelector {
        PathSelector {
            class_count: classes.len(),
            response_times: classes
                .iter()
                .map(|class| class.latency_objective * INITIAL_RESPONSE_TIME_RATIO)
                .collect(),
            credit: BTreeMap::new(),
            requested: vec![0.0; classes.len()],
            demand: vec![0.0; classes.len()],
            path_count: 0,
        }
    }

    /// Adds newly granted credit to the unused credit of a path, up to a bound.
    pub(crate) fn set_grants(&mut self, now: Timestamp, path: PathId, grants: &[(ClassId, f64)]) {
        let credit = self.credit.entry(path).or_insert_with(|| PathCredit {
            window: INITIAL_WINDOW,
            ..PathCredit::default()
        });
        credit.available.resize(self.class_count, 0.0);
        credit.granted_at = now;
        let mut granted = vec![0.0; self.class_count];
        for (class, count) in grants {
            granted[class.0] = *count;
        }
        for (available, granted) in credit.available.iter_mut().zip(granted) {
            *available = (*available + granted).min(granted * CREDIT_SAVED_INTERVALS);
        }
    }

    /// Whether enough time is left to forward a request of this class.
    pub(crate) fn has_time(&self, class: ClassId, remaining: TimeDelta) -> bool {
        let response_time = self.response_times.get(class.0);
        response_time.is_some_and(|time| remaining >= *time * MIN_RESPONSE_TIMES_LEFT)
    }

    /// Selects the path with the most credit among the usable paths to serving gateways. `None` if no path admits the request
    /// or too little time is left.
    pub(crate) fn select(
        &mut self,
        now: Timestamp,
        membership: &Membership,
        class: ClassId,
        remaining: TimeDelta,
    ) -> Option<PathId> {
        self.requested[class.0] += 1.0;
        if !self.has_time(class, remaining) {
            return None;
        }
        let is_serving = |id: &PathId| {
            let path = membership.paths().get(id).filter(|path| path.is_usable);
            path.is_some_and(|p| membership.state(&p.peer) == Some(MemberState::Serving))
        };
        let candidates = self
            .credit
            .iter()
            .filter(|(id, credit)| is_serving(id) && credit.admits(now, class));
        let available = |credit: &PathCredit| credit.available[class.0];
        let best = candidates.max_by(|a, b| available(a.1).total_cmp(&available(b.1)));
        best.map(|(id, _)| *id)
    }

    pub(crate) fn record_forwarded(&mut self, path: PathId, class: ClassId) {
        if let Some(credit) = self.credit.get_mut(&path) {
            credit.available[class.0] -= 1.0;
            credit.in_flight += 1.0;
        }
    }

    pub(crate) fn record_result(&mut self, now: Timestamp, result: &ForwardingResult) {
        let was_served = result.was_served;
        if was_served {
            let mean = &mut self.response_times[result.class.0];
            *mean = TimeDelta(mean.0 + ((result.elapsed - *mean).0 as f64 * SMOOTHING) as i64);
        }
        let Some(credit) = self.credit.get_mut(&result.path) else {
            return;
        };
        credit.in_flight = (credit.in_flight - 1.0).max(0.0);
        credit.refused_ratio += SMOOTHING / 2.0 * (f64::from(!was_served) - credit.refused_ratio);
        credit.window = if was_served {
            credit.window + 1.0 / credit.window
        } else {
            credit.window * (1.0 - SMOOTHING)
        };
        credit.window = credit.window.clamp(MIN_WINDOW, MAX_WINDOW);
        // Pauses the path even if it has credit, so that requests don't travel only to be refused.
        if credit.refused_ratio > REFUSED_RATIO {
            credit.paused_until = now + PAUSE;
            credit.refused_ratio = REFUSED_RATIO / 2.0;
        }
    }

    /// Ends a forwarded request whose response is no longer awaited. It says nothing about the path.
    pub(crate) fn record_abandoned(&mut self, path: PathId) {
        if let Some(credit) = self.credit.get_mut(&path) {
            credit.in_flight = (credit.in_flight - 1.0).max(0.0);
        }
    }

    pub(crate) fn start_interval(&mut self, path_count: usize) {
        for (requested, demand) in self.requested.iter_mut().zip(&mut self.demand) {
            // Demand rises at once and falls slowly.
            *demand = requested.max(*demand * (1.0 - SMOOTHING));
            *requested = 0.0;
        }
        self.path_count = path_count;
    }

    /// The demand to report on each path, which is an equal part of the total.
    pub(crate) fn demand(&self) -> Vec<(ClassId, u16)> {
        let path_share = 1.0 / self.path_count.max(1) as f64;
        let max_count = f64::from(u16::MAX);
        let classes = self.demand.iter().enumerate();
        classes
            .map(|(class, demand)| {
                (
                    ClassId(class),
                    (demand * path_share).ceil().min(max_count) as u16,
                )
            })
            .filter(|(_, count)| *count > 0)
            .collect()
    }

    /// The sum of the valid credit of each class on all paths.
    pub(crate) fn total_credit(&self, now: Timestamp) -> Vec<f64> {
        let mut total = vec![0.0; self.class_count];
        for credit in self.credit.values().filter(|credit| credit.is_valid(now)) {
            for (sum, available) in total.iter_mut().zip(&credit.available) {
                *sum += available;
            }
        }
        total
    }

    pub(crate) fn forget_path(&mut self, path: PathId) {
        self.credit.remove(&path);
    }
}
