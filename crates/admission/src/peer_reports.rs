//! The latest load report of each peer, and the load of the whole fleet: the sum of own and peers' counts, with bounded weight per peer.

use std::collections::BTreeMap;

use harrierdock_types::{PeerId, TimeDelta, Timestamp};

use crate::latency_histogram::LatencyHistogram;
use crate::load_report::{LoadCounts, LoadReport};

/// The most peers whose reports are stored. Within the lifetime of a report, fewer peers than this send one to this gateway.
pub const MAX_REPORTS: usize = 48;
/// The most members stored; the largest fleet has fewer.
pub const MAX_MEMBERS: usize = 1024;
/// The bound on one peer's count, as a ratio to the median over all gateways plus a margin for random variation. A peer that reports wrong
/// counts, by mistake or on purpose, then moves the sustainable ratio by less than eight gateways would. The cost: if one gateway has most
/// of the traffic, its peers count only a part of this traffic, while the gateway itself counts it in full.
const MAX_RATIO_TO_MEDIAN: f32 = 1.4;
/// The age at which a report is removed, as a multiple of the decay time.
const REPORT_LIFETIME_DECAYS: f64 = 4.0;

/// How many peers and reports are stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerCounts {
    /// The number of known members of the fleet other than this gateway, at most `MAX_MEMBERS`.
    pub members: usize,
    /// The number of members whose latest report is stored, at most `MAX_REPORTS`.
    pub reports: usize,
}

#[derive(Debug)]
struct Member {
    incarnation: u32,
    /// The sequence number of the member's latest report.
    last_sequence_number: Option<u32>,
}

#[derive(Debug)]
struct ReceivedReport {
    received_at: Timestamp,
    sustainable_ratio: Option<f32>,
    counts: LoadCounts,
    /// The weight of the report: 1 for a new report, approaching 0 with age.
    weight: f32,
}

/// The members of the fleet and their latest reports.
#[derive(Debug, Default)]
pub(crate) struct PeerReports {
    members: BTreeMap<PeerId, Member>,
    reports: BTreeMap<PeerId, ReceivedReport>,
    /// Buffer for computing medians, reused to avoid allocations.
    median_buffer: Vec<f32>,
}

/// The load of the whole fleet as far as reported.
#[derive(Debug, Default)]
pub(crate) struct FleetLoad {
    pub(crate) counts: LoadCounts,
    /// The median of the sustainable ratios that peers reported, moved towards 1 if few peers reported; `None` without reports.
    pub(crate) sustainable_ratio: Option<f32>,
    /// The weighted mean age of the load data, with own counts at age 0.
    pub(crate) age_seconds: f32,
}

/// The median; of an even number of values, the lower of the two middle values, because the higher of only two values may be absurdly wrong.
fn median(values: &mut [f32]) -> f32 {
    if values.is_empty() {
        return 0.0;
    }
    let middle = values.len().saturating_sub(1) / 2;
    *values.select_nth_unstable_by(middle, f32::total_cmp).1
}

impl PeerReports {
    /// Sets the incarnation of a member, or removes the member if it is `None`. Reports of an earlier incarnation are removed.
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
                last_sequence_number: None,
            };
            self.members.insert(peer, member);
        }
    }

    pub(crate) fn counts(&self) -> PeerCounts {
        PeerCounts {
            members: self.members.len(),
            reports: self.reports.len(),
        }
    }

    pub(crate) fn member_at(&self, position: usize) -> Option<PeerId> {
        self.members.keys().nth(position).copied()
    }

    /// Stores a report. Ignores reports that are outdated, duplicated, or from an unknown member or another incarnation. Also ignores
    /// reports whose numbers of classes, zones or tenants differ from `own_counts`.
    pub(crate) fn receive(
        &mut self,
        now: Timestamp,
        from: PeerId,
        report: LoadReport,
        own_counts: &LoadCounts,
    ) {
        if !self.accept(from, &report, own_counts) {
            return;
        }
        if !self.reports.contains_key(&from) && self.reports.len() >= MAX_REPORTS {
            self.remove_oldest();
        }
        let received = self.reports.entry(from).or_insert_with(|| ReceivedReport {
            received_at: now,
            sustainable_ratio: None,
            counts: own_counts.empty_like(),
            weight: 0.0,
        });
        received.received_at = now;
        received.sustainable_ratio = report.sustainable_ratio;
        let counts = &mut received.counts;
        counts.offered = report.offered;
        counts.offered_by_tenant = report.offered_by_tenant;
        counts.in_flight = report.in_flight;
        counts.answered = report.answered;
        for (index, histogram) in report.histograms {
            if let Some(stored) = counts.histograms.get_mut(index) {
                *stored = histogram;
            }
        }
    }

    /// Returns whether a report is accepted, and records the sequence number of an accepted one.
    fn accept(&mut self, from: PeerId, report: &LoadReport, own_counts: &LoadCounts) -> bool {
        let Some(member) = self.members.get_mut(&from) else {
            return false;
        };
        let has_same_sizes = report.offered.len() == own_counts.offered.len()
            && report.in_flight.len() == own_counts.in_flight.len()
            && report.answered.len() == own_counts.answered.len()
            && report.offered_by_tenant.len() == own_counts.offered_by_tenant.len();
        let is_newer = member
            .last_sequence_number
            .is_none_or(|last| report.sequence_number > last);
        if !has_same_sizes || member.incarnation != report.incarnation || !is_newer {
            return false;
        }
        member.last_sequence_number = Some(report.sequence_number);
        true
    }

    fn remove_oldest(&mut self) {
        let oldest = self
            .reports
            .iter()
            .min_by_key(|(_, report)| report.received_at)
            .map(|(peer, _)| *peer);
        if let Some(peer) = oldest {
            self.reports.remove(&peer);
        }
    }

    /// Computes the fleet's load from own counts and the peers' reports, each weighted by age and bounded.
    pub(crate) fn sum(
        &mut self,
        now: Timestamp,
        own_counts: &LoadCounts,
        decay_time: TimeDelta,
        load: &mut FleetLoad,
    ) {
        self.reports
            .retain(|_, report| now - report.received_at < decay_time * REPORT_LIFETIME_DECAYS);
        for report in self.reports.values_mut() {
            let age = (now - report.received_at).ratio_to(decay_time);
            report.weight = (-age).exp().min(1.0) as f32;
        }
        load.counts.clone_from(own_counts);
        self.sum_counts(&mut load.counts);
        for class in 0..own_counts.offered.len() {
            self.merge_histograms(class, own_counts, &mut load.counts);
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

    /// Sums one count of this gateway and its peers, with a bound on each peer's count.
    fn bounded_sum(&mut self, own_count: f32, count_of: impl Fn(&LoadCounts) -> f32) -> f32 {
        let PeerReports {
            reports,
            median_buffer,
            ..
        } = self;
        median_buffer.clear();
        median_buffer.push(own_count);
        median_buffer.extend(reports.values().map(|report| count_of(&report.counts)));
        let median = median(median_buffer);
        let bound = MAX_RATIO_TO_MEDIAN * (median + median.sqrt() + 1.0);
        own_count
            + reports
                .values()
                .map(|report| report.weight * count_of(&report.counts).min(bound))
                .sum::<f32>()
    }

    /// Adds the peers' histograms of one class. The bound applies to a peer's total in the class: otherwise a peer that reports all its
    /// responses in one class would determine that class's probabilities.
    fn merge_histograms(&mut self, class: usize, own_counts: &LoadCounts, sum: &mut LoadCounts) {
        let PeerReports {
            reports,
            median_buffer,
            ..
        } = self;
        let zones = own_counts.in_flight.len();
        let range = class * zones..(class + 1) * zones;
        let total = |counts: &LoadCounts| {
            counts.histograms[range.clone()]
                .iter()
                .map(LatencyHistogram::total)
                .sum::<f32>()
        };
        median_buffer.clear();
        median_buffer.push(total(own_counts));
        median_buffer.extend(reports.values().map(|report| total(&report.counts)));
        let bound = median(median_buffer) + 1.0;
        for report in reports.values() {
            let weight = report.weight * (bound / total(&report.counts).max(1.0)).min(1.0);
            sum.histograms[range.clone()]
                .iter_mut()
                .zip(&report.counts.histograms[range.clone()])
                .for_each(|(merged, reported)| merged.merge(reported, weight));
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

    /// The median sustainable ratio of the reports within one decay time. With few reports the result is moved towards 1, as the median of
    /// one or two reports may be absurdly wrong.
    fn median_ratio(&mut self, now: Timestamp, decay_time: TimeDelta) -> Option<f32> {
        let PeerReports {
            reports,
            median_buffer,
            ..
        } = self;
        median_buffer.clear();
        median_buffer.extend(
            reports
                .values()
                .filter(|report| now - report.received_at < decay_time)
                .filter_map(|report| report.sustainable_ratio),
        );
        if median_buffer.is_empty() {
            return None;
        }
        let count = median_buffer.len() as f32;
        let confidence = count / (count + 1.0);
        Some(
            median(median_buffer)
                .max(f32::MIN_POSITIVE)
                .powf(confidence),
        )
    }
}
