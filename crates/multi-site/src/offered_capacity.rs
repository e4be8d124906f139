//! The capacity that this gateway offers to the other site: credit, by path and request class, in proportion to what its endpoints
//! have served in time beside its own traffic. Credit is granted anew in each heartbeat interval.

use std::collections::BTreeMap;

use harrierdock_types::ClassId;

use crate::{PathId, RequestClass, RequestEnd};

/// What is offered before anything was forwarded, as a share of what is served here in an interval.
const INITIAL_OFFER_RATIO: f64 = 0.5;
/// The offer grows by this factor in an interval in which it was used and served in time, and shrinks by that one otherwise.
const GROWTH_FACTOR: f64 = 1.2;
const OVERLOAD_FACTOR: f64 = 0.8;
/// The share of requests, not succeeded or late, from which an interval counts as overloaded, and the least number of them.
const OVERLOAD_RATIO: f64 = 0.08;
const MIN_OVERLOAD_REQUESTS: f64 = 2.0;
/// The share of the offer that must have been used for it to grow.
const USED_RATIO: f64 = 0.5;
/// Intervals without overload before the offer changes again, so that an overloaded site doesn't offer capacity in the moments in
/// which nothing happens to fail.
const RECOVERY_INTERVALS: u32 = 10;
/// An unused offer above the initial one shrinks by this factor in each interval.
const UNUSED_FACTOR: f64 = 0.97;
/// The weight of a new interval in running means.
const SMOOTHING: f64 = 0.1;
/// As much as was granted, again, may be on its way.
const IN_FLIGHT_FACTOR: f64 = 2.0;
/// For how many intervals the receiver of credit may save it up; what then arrives is still admitted.
pub(crate) const CREDIT_SAVED_INTERVALS: f64 = 3.0;

/// What one path may use.
#[derive(Default)]
struct PathGrant {
    demand: Vec<f64>,
    granted: Vec<f64>,
    /// What is still admitted.
    admissible: Vec<f64>,
}

/// What was counted in the current interval.
#[derive(Default)]
struct IntervalStats {
    /// Inbound requests admitted.
    admitted: f64,
    /// Requests that the local endpoints were to serve.
    ended: f64,
    /// Those of them that did not succeed, or were late.
    troubled: f64,
    succeeded: f64,
}

impl IntervalStats {
    fn is_overloaded(&self) -> bool {
        self.troubled > OVERLOAD_RATIO * self.ended && self.troubled >= MIN_OVERLOAD_REQUESTS
    }
}

pub(crate) struct OfferedCapacity {
    class_count: usize,
    /// The classes in the order in which scarce credit is granted: by priority weight.
    grant_order: Vec<ClassId>,
    grants: BTreeMap<PathId, PathGrant>,
    /// Requests offered in an interval, on all paths together.
    offer: f64,
    /// The mean number of requests served in an interval.
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

    /// A request that the local endpoints were to serve has ended, be it a client's or an inbound one.
    pub(crate) fn record_request_end(&mut self, end: RequestEnd, is_late: bool) {
        if end == RequestEnd::ClientGone {
            return;
        }
        let succeeded = end == RequestEnd::Succeeded;
        self.current.ended += 1.0;
        self.current.succeeded += f64::from(succeeded);
        self.current.troubled += f64::from(!succeeded || is_late);
    }

    /// The other end of a path reports how much it would forward in an interval.
    pub(crate) fn set_demand(&mut self, path: PathId, demand: &[(ClassId, f64)]) {
        let grant = self.grants.entry(path).or_default();
        grant.demand = vec![0.0; self.class_count];
        for (class, count) in demand {
            grant.demand[class.0] = *count;
        }
    }

    /// Admits one request of this class on this path if the credit granted covers it.
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

    /// Starts an interval: decides how much is offered, and shares it among the paths. Nothing is offered unless `is_open`.
    pub(crate) fn start_interval(&mut self, paths: &[PathId], is_open: bool) {
        self.adjust_offer();
        self.current = IntervalStats::default();
        if !is_open {
            self.offer = 0.0;
        }
        self.share(paths, is_open && self.has_recovered());
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
            // The local site's own clients come first.
            self.offer *= OVERLOAD_FACTOR;
        } else if !self.has_recovered() {
            // It is not known yet how much the endpoints carry.
        } else if current.admitted >= USED_RATIO * self.offer.floor().max(1.0) {
            self.offer = self.offer * GROWTH_FACTOR + 1.0;
        } else if self.offer < initial_offer {
            self.offer = initial_offer.min(self.offer * GROWTH_FACTOR + 1.0);
        } else {
            self.offer = initial_offer.max(self.offer * UNUSED_FACTOR);
        }
    }

    /// Demand is met first, by priority weight. The rest is spread, so that no gateway waits an interval to begin.
    fn share(&mut self, paths: &[PathId], grants_minimum: bool) {
        let rest = self.meet_demand(paths);
        let share_count = (paths.len() * self.class_count).max(1) as f64;
        let extra = rest / share_count;
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

    /// Grants what is in demand, and returns what is left of the offer.
    fn meet_demand(&mut self, paths: &[PathId]) -> f64 {
        let mut rest = self.offer;
        for path in paths {
            let grant = self.grants.entry(*path).or_default();
            grant.demand.resize(self.class_count, 0.0);
            grant.granted = vec![0.0; self.class_count];
        }
        for class in &self.grant_order {
            let demand: f64 = paths.iter().map(|p| self.grants[p].demand[class.0]).sum();
            let ratio = if demand > rest { rest / demand } else { 1.0 };
            for path in paths {
                if let Some(grant) = self.grants.get_mut(path) {
                    grant.granted[class.0] = grant.demand[class.0] * ratio;
                }
            }
            rest -= demand * ratio;
        }
        rest
    }

    /// The number of requests granted on a path in this interval.
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
    /// Adds an equal share of what is not in demand. With a minimum, one request of each class is granted on each path: otherwise
    /// many paths would get less than one each and so nothing, and so would all where nothing was served yet.
    fn add_extra(&mut self, class: usize, extra: f64, grants_minimum: bool) {
        let mut granted = self.granted[class] + extra;
        if grants_minimum {
            granted = granted.max(1.0);
        }
        self.granted[class] = granted.floor();
        let most = granted * CREDIT_SAVED_INTERVALS * IN_FLIGHT_FACTOR;
        self.admissible[class] = (self.admissible[class] + granted * IN_FLIGHT_FACTOR)
            .min(most.max(self.admissible[class] / 2.0));
    }
}
