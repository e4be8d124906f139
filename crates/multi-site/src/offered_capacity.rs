//! The capacity that this gateway offers to the other site, as credit by path and request class. The offer follows how many
//! requests the local endpoints serve in time. Credit is granted in each heartbeat interval.

use std::collections::BTreeMap;

use harrierdock_types::ClassId;

use crate::{PathId, RequestClass, RequestEnd};

/// The ratio of the initial offer to the requests that the local endpoints serve in an interval.
const INITIAL_OFFER_RATIO: f64 = 0.5;
/// The offer grows by this factor after an interval in which it was used without overload, or while it is below the initial
/// offer.
const GROWTH_FACTOR: f64 = 1.2;
/// The offer shrinks by this factor after an overloaded interval.
const OVERLOAD_FACTOR: f64 = 0.8;
/// An interval is overloaded if at least [`MIN_OVERLOAD_REQUESTS`] of its finished requests, and more than this ratio of them,
/// were late or did not succeed.
const OVERLOAD_RATIO: f64 = 0.08;
const MIN_OVERLOAD_REQUESTS: f64 = 2.0;
/// The offer counts as used if at least this ratio of it was used in an interval.
const USED_RATIO: f64 = 0.5;
/// Intervals without overload before the offer may grow. Without this delay, an overloaded site would offer capacity whenever
/// no request happens to fail for a moment.
const RECOVERY_INTERVALS: u32 = 10;
/// An unused offer shrinks by this factor in each interval, down to the initial offer.
const UNUSED_FACTOR: f64 = 0.97;
/// The weight of a new interval in the moving average.
const SMOOTHING: f64 = 0.1;
/// A path admits up to this many times its grant, since requests of the last grant may still be in flight.
const IN_FLIGHT_FACTOR: f64 = 2.0;
/// For how many intervals a gateway may save up its credit. Requests within the saved credit are admitted.
pub(crate) const CREDIT_SAVED_INTERVALS: f64 = 3.0;

/// The credit of one path: requests per interval, indexed by request class.
#[derive(Default)]
struct PathGrant {
    /// How many requests the other end would forward per interval.
    demand: Vec<f64>,
    granted: Vec<f64>,
    /// How many more requests are admitted, saved credit included.
    admissible: Vec<f64>,
}

/// How many requests were admitted and finished in the current interval.
#[derive(Default)]
struct IntervalStats {
    /// Inbound requests admitted.
    admitted: f64,
    /// Requests that the local policy has finished.
    finished: f64,
    /// Finished requests that were late or did not succeed.
    failed_or_late: f64,
    succeeded: f64,
}

impl IntervalStats {
    fn is_overloaded(&self) -> bool {
        self.failed_or_late > OVERLOAD_RATIO * self.finished
            && self.failed_or_late >= MIN_OVERLOAD_REQUESTS
    }
}

pub(crate) struct OfferedCapacity {
    class_count: usize,
    /// The classes by falling priority weight, which is the order in which scarce credit is granted.
    grant_order: Vec<ClassId>,
    grants: BTreeMap<PathId, PathGrant>,
    /// Requests offered per interval on all paths together.
    offer: f64,
    /// The moving average of requests served per interval.
    served_mean: f64,
    current: IntervalStats,
    intervals_since_overload: u32,
}

impl OfferedCapacity {
    pub(crate) fn new(classes: &[RequestClass]) -> OfferedCapacity {
        let weight = |class: &ClassId| classes[class.0].priority_weight;
        let mut grant_order: Vec<ClassId> = (0..classes.len()).map(ClassId).collect();
        grant_order.sort_by(|a, b| weight(b).total_cmp(&weight(a)));
        OfferedCapacity {
            class_count: classes.len(),
            grant_order,
            grants: BTreeMap::new(),
            offer: 0.0,
            served_mean: 0.0,
            current: IntervalStats::default(),
            intervals_since_overload: RECOVERY_INTERVALS,
        }
    }

    /// Records the end of a client's or an inbound request that the local policy handled.
    pub(crate) fn record_request_end(&mut self, end: RequestEnd, is_late: bool) {
        if end == RequestEnd::ClientDisconnected {
            return;
        }
        let succeeded = end == RequestEnd::Succeeded;
        self.current.finished += 1.0;
        self.current.succeeded += f64::from(succeeded);
        self.current.failed_or_late += f64::from(!succeeded || is_late);
    }

    /// Sets how many requests the other end of a path would forward in an interval.
    pub(crate) fn set_demand(&mut self, path: PathId, demand: &[(ClassId, f64)]) {
        let grant = self.grants.entry(path).or_default();
        grant.demand = vec![0.0; self.class_count];
        for (class, count) in demand {
            grant.demand[class.0] = *count;
        }
    }

    /// Uses up credit for one request. Returns false if the path has none left for this class.
    pub(crate) fn admit(&mut self, path: PathId, class: ClassId) -> bool {
        let admissible = self
            .grants
            .get_mut(&path)
            .and_then(|grant| grant.admissible.get_mut(class.0));
        let Some(admissible) = admissible.filter(|count| **count >= 1.0) else {
            return false;
        };
        *admissible -= 1.0;
        self.current.admitted += 1.0;
        true
    }

    /// Starts an interval: adjusts the offer and divides it among the paths. Offers nothing unless `is_open`.
    pub(crate) fn start_interval(&mut self, paths: &[PathId], is_open: bool) {
        self.adjust_offer();
        self.current = IntervalStats::default();
        if !is_open {
            self.offer = 0.0;
        }
        self.distribute(paths, is_open && self.has_recovered());
    }

    fn has_recovered(&self) -> bool {
        self.intervals_since_overload >= RECOVERY_INTERVALS
    }

    fn adjust_offer(&mut self) {
        let current = &self.current;
        let is_overloaded = current.is_overloaded();
        self.served_mean += SMOOTHING * (current.succeeded - self.served_mean);
        let initial_offer = INITIAL_OFFER_RATIO * self.served_mean.max(current.succeeded);
        self.intervals_since_overload = if is_overloaded {
            0
        } else {
            self.intervals_since_overload.saturating_add(1)
        };
        if is_overloaded {
            // The local site's own clients have precedence.
            self.offer *= OVERLOAD_FACTOR;
        } else if !self.has_recovered() {
            // Keeps the offer, since the endpoints' capacity is unknown until they have recovered.
        } else if current.admitted >= USED_RATIO * self.offer.floor().max(1.0) {
            self.offer = self.offer * GROWTH_FACTOR + 1.0;
        } else if self.offer < initial_offer {
            self.offer = initial_offer.min(self.offer * GROWTH_FACTOR + 1.0);
        } else {
            self.offer = initial_offer.max(self.offer * UNUSED_FACTOR);
        }
    }

    /// Meets the demand first, by priority weight. Spreads the remaining offer evenly, so that a gateway can forward its first
    /// requests without waiting an interval for credit.
    fn distribute(&mut self, paths: &[PathId], grants_minimum: bool) {
        let remaining_offer = self.meet_demand(paths);
        let share_count = (paths.len() * self.class_count).max(1) as f64;
        let extra = remaining_offer / share_count;
        for path in paths {
            if let Some(grant) = self.grants.get_mut(path) {
                grant.admissible.resize(self.class_count, 0.0);
                for class in 0..self.class_count {
                    grant.add_extra(class, extra, grants_minimum);
                }
            }
        }
        self.grants.retain(|path, _| paths.contains(path));
    }

    /// Grants the demand and returns the remaining offer.
    fn meet_demand(&mut self, paths: &[PathId]) -> f64 {
        let mut remaining_offer = self.offer;
        for path in paths {
            let grant = self.grants.entry(*path).or_default();
            grant.demand.resize(self.class_count, 0.0);
            grant.granted = vec![0.0; self.class_count];
        }
        for class in &self.grant_order {
            let demand: f64 = paths.iter().map(|p| self.grants[p].demand[class.0]).sum();
            let ratio = if demand > remaining_offer {
                remaining_offer / demand
            } else {
                1.0
            };
            for path in paths {
                if let Some(grant) = self.grants.get_mut(path) {
                    grant.granted[class.0] = grant.demand[class.0] * ratio;
                }
            }
            remaining_offer -= demand * ratio;
        }
        remaining_offer
    }

    /// The number of requests of each class granted on a path in this interval.
    pub(crate) fn grants(&self, path: PathId) -> Vec<(ClassId, u16)> {
        let Some(grant) = self.grants.get(&path) else {
            return Vec::new();
        };
        let classes = grant.granted.iter().enumerate();
        classes
            .filter(|(_, count)| **count >= 1.0)
            .map(|(class, count)| (ClassId(class), count.min(f64::from(u16::MAX)) as u16))
            .collect()
    }

    pub(crate) fn forget_path(&mut self, path: PathId) {
        self.grants.remove(&path);
    }
}

impl PathGrant {
    /// Adds an equal share of the remaining offer. With `grants_minimum`, each class gets at least one request. Otherwise
    /// shares below one would round down to nothing: with many paths, and before any request was served.
    fn add_extra(&mut self, class: usize, extra: f64, grants_minimum: bool) {
        let mut granted = self.granted[class] + extra;
        if grants_minimum {
            granted = granted.max(1.0);
        }
        self.granted[class] = granted.floor();
        let max_admissible = granted * CREDIT_SAVED_INTERVALS * IN_FLIGHT_FACTOR;
        self.admissible[class] = (self.admissible[class] + granted * IN_FLIGHT_FACTOR)
            .min(max_admissible.max(self.admissible[class] / 2.0));
    }
}
