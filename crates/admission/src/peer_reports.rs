//! The latest load report of each peer, and the load of the whole fleet: own counts and peers' together, each peer with bounded weight.

use std::collections::BTreeMap;

use harrierdock_types::{PeerId, TimeDelta, Timestamp};

use crate::latency_histogram::LatencyHistogram;
use crate::load_report::{LoadCounts, LoadReport};

/// The most peers whose counts are kept: more than send reports while a report counts.
pub const MAX_REPORTS: usize = 48;
/// The most members remembered: more than the largest fleet has.
pub const MAX_MEMBERS: usize = 1024;
/// No count of one peer counts for more than this many times the median of all, with some margin for chance. A peer that reports wrong
/// counts, by mistake or on purpose, then moves the sustainable ratio by less than eight gateways' part. The cost: where a single gateway
/// has most of the traffic, its peers count it for less than that; its own counts are whole to itself.
const MAX_RATIO_TO_MEDIAN: f32 = 1.4;
/// Decay times after which a report is forgotten.
const REPORT_LIFETIME_DECAYS: f64 = 4.0;

/// How much is kept of peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerCounts {
    /// Members.
    pub members: usize,
    /// Members whose counts are kept.
    pub reports: usize,
}

#[derive(Debug)]
struct Member {
    incarnation: u32,
    /// The number of its latest report.
    last_number: Option<u32>,
}

#[derive(Debug)]
struct ReceivedReport {
    received_at: Timestamp,
    sustainable_ratio: Option<f32>,
    counts: LoadCounts,
    /// What its age leaves of its weight.
    weight: f32,
}

/// The members and their latest reports.
#[derive(Debug, Default)]
pub(crate) struct PeerReports {
    members: BTreeMap<PeerId, Member>,
    reports: BTreeMap<PeerId, ReceivedReport>,
    /// For medians; kept to spare allocations.
    sorted: Vec<f32>,
}

/// The load of the whole fleet, as far as it is known.
#[derive(Debug, Default)]
pub(crate) struct FleetLoad {
    pub(crate) counts: LoadCounts,
    /// The median of peers' sustainable ratios; none if there are none.
    pub(crate) sustainable_ratio: Option<f32>,
    /// The reports' mean age by weight.
    pub(crate) age_seconds: f32,
}

/// The lower one of an even number: of two, the one that is not absurd.
fn median(values: &mut [f32]) -> f32 {
    if values.is_empty() {
        return 0.0;
    }
    let middle = values.len().saturating_sub(1) / 2;
    *values.select_nth_unstable_by(middle, f32::total_cmp).1
}

impl PeerReports {
    /// A peer is a member at this incarnation, or none. What an earlier incarnation reported is forgotten.
    pub(crate) fn update_member(&mut self, peer: PeerId, incarnation: Option<u32>) {
        let Some(incarnation) = incarnation else {
            self.members.remove(&peer);
            self.reports.remove(&peer);
            return;
        };
        let current = self.members.get(&peer).map(|member| member.incarnation);
        if current.is_some_and(|current| current >= incarnation) {
            return;
        }
        self.reports.remove(&peer);
        if self.members.len() < MAX_MEMBERS || current.is_some() {
            let member = Member {
                incarnation,
                last_number: None,
            };
            self.members.insert(peer, member);
        }
    }

    pub(crate) fn kept(&self) -> PeerCounts {
        PeerCounts {
            members: self.members.len(),
            reports: self.reports.len(),
        }
    }

    pub(crate) fn member_at(&self, position: usize) -> Option<PeerId> {
        self.members.keys().nth(position).copied()
    }

    /// Takes a report in. One that is old, duplicated, of an unknown member or another incarnation, or of other numbers of classes, zones
    /// or tenants than `own`, changes nothing.
    pub(crate) fn receive(
        &mut self,
        now: Timestamp,
        from: PeerId,
        report: LoadReport,
        own: &LoadCounts,
    ) {
        if !self.accept(from, &report, own) {
            return;
        }
        if !self.reports.contains_key(&from) && self.reports.len() >= MAX_REPORTS {
            self.forget_oldest();
        }
        let received = self.reports.entry(from).or_insert_with(|| ReceivedReport {
            received_at: now,
            sustainable_ratio: None,
            counts: own.empty_like(),
            weight: 0.0,
        });
        received.received_at = now;
        received.sustainable_ratio = report.sustainable_ratio;
        let counts = &mut received.counts;
        counts.offered = report.offered;
        counts.offered_by_tenant = report.offered_by_tenant;
        counts.in_flight = report.in_flight;
        counts.answered = report.answered;
        for (number, histogram) in report.histograms {
            if let Some(kept) = counts.histograms.get_mut(number) {
                *kept = histogram;
            }
        }
    }

    /// Whether a report counts; its number is recorded then.
    fn accept(&mut self, from: PeerId, report: &LoadReport, own: &LoadCounts) -> bool {
        let Some(member) = self.members.get_mut(&from) else {
            return false;
        };
        let fits = report.offered.len() == own.offered.len()
            && report.in_flight.len() == own.in_flight.len()
            && report.answered.len() == own.answered.len()
            && report.offered_by_tenant.len() == own.offered_by_tenant.len();
        let is_newer = member.last_number.is_none_or(|last| report.number > last);
        if !fits || member.incarnation != report.incarnation || !is_newer {
            return false;
        }
        member.last_number = Some(report.number);
        true
    }

    fn forget_oldest(&mut self) {
        let oldest = self
            .reports
            .iter()
            .min_by_key(|(_, report)| report.received_at)
            .map(|(peer, _)| *peer);
        if let Some(peer) = oldest {
            self.reports.remove(&peer);
        }
    }

    /// Adds up own counts and peers': each by its counts, its age and at most its bounded part.
    pub(crate) fn sum(
        &mut self,
        now: Timestamp,
        own: &LoadCounts,
        decay_time: TimeDelta,
        load: &mut FleetLoad,
    ) {
        self.reports
            .retain(|_, report| now - report.received_at < decay_time * REPORT_LIFETIME_DECAYS);
        for report in self.reports.values_mut() {
            let age = (now - report.received_at).ratio_to(decay_time);
            report.weight = (-age).exp().min(1.0) as f32;
        }
        load.counts.clone_from(own);
        self.sum_counts(&mut load.counts);
        for class in 0..own.offered.len() {
            self.merge_histograms(class, own, &mut load.counts);
        }
        load.age_seconds = self.mean_age_seconds(now);
        load.sustainable_ratio = self.median_ratio(now, decay_time);
    }

    fn sum_counts(&mut self, counts: &mut LoadCounts) {
        for (class, count) in counts.offered.iter_mut().enumerate() {
            *count = self.bounded_sum(*count, |counts| counts.offered[class]);
        }
        for (tenant, count) in counts.offered_by_tenant.iter_mut().enumerate() {
            *count = self.bounded_sum(*count, |counts| counts.offered_by_tenant[tenant]);
        }
        for (zone, count) in counts.in_flight.iter_mut().enumerate() {
            *count = self.bounded_sum(*count, |counts| counts.in_flight[zone]);
        }
        for (zone, count) in counts.answered.iter_mut().enumerate() {
            *count = self.bounded_sum(*count, |counts| counts.answered[zone]);
        }
    }

    /// The sum of one count over this gateway and its peers.
    fn bounded_sum(&mut self, own: f32, count_of: impl Fn(&LoadCounts) -> f32) -> f32 {
        let PeerReports {
            reports, sorted, ..
        } = self;
        sorted.clear();
        sorted.push(own);
        sorted.extend(reports.values().map(|report| count_of(&report.counts)));
        let median = median(sorted);
        let bound = MAX_RATIO_TO_MEDIAN * (median + median.sqrt() + 1.0);
        own + reports
            .values()
            .map(|report| report.weight * count_of(&report.counts).min(bound))
            .sum::<f32>()
    }

    /// Adds peers' histograms of one class. A peer is bounded in the class as a whole: otherwise one that reports all its answers in one
    /// class would set that class's probabilities.
    fn merge_histograms(&mut self, class: usize, own: &LoadCounts, sum: &mut LoadCounts) {
        let PeerReports {
            reports, sorted, ..
        } = self;
        let zones = own.in_flight.len();
        let range = class * zones..(class + 1) * zones;
        let total = |counts: &LoadCounts| {
            counts.histograms[range.clone()]
                .iter()
                .map(LatencyHistogram::total)
                .sum::<f32>()
        };
        sorted.clear();
        sorted.push(total(own));
        sorted.extend(reports.values().map(|report| total(&report.counts)));
        let bound = median(sorted) + 1.0;
        for report in reports.values() {
            let weight = report.weight * (bound / total(&report.counts).max(1.0)).min(1.0);
            sum.histograms[range.clone()]
                .iter_mut()
                .zip(&report.counts.histograms[range.clone()])
                .for_each(|(kept, reported)| kept.merge(reported, weight));
        }
    }

    fn mean_age_seconds(&self, now: Timestamp) -> f32 {
        let mut weights = 1.0;
        let mut weighted_age = 0.0;
        for report in self.reports.values() {
            weights += report.weight;
            weighted_age += report.weight * (now - report.received_at).as_seconds() as f32;
        }
        weighted_age / weights
    }

    /// The median of fresh reports. Of one or two, one may be absurd: the fewer, the nearer to all that is offered.
    fn median_ratio(&mut self, now: Timestamp, decay_time: TimeDelta) -> Option<f32> {
        let PeerReports {
            reports, sorted, ..
        } = self;
        sorted.clear();
        sorted.extend(
            reports
                .values()
                .filter(|report| now - report.received_at < decay_time)
                .filter_map(|report| report.sustainable_ratio),
        );
        if sorted.is_empty() {
            return None;
        }
        let count = sorted.len() as f32;
        let confidence = count / (count + 1.0);
        Some(median(sorted).max(f32::MIN_POSITIVE).powf(confidence))
    }
}
