//! The counters of a flow.

use harrierdock_types::TimeDelta;

use crate::Observation;

/// Buckets of the duration histogram, by the ratio to the latency objective: up to 1/8, 1/4, 1/2, 1, 2, 4, 8, and beyond.
pub const DURATION_BUCKETS: usize = 8;

/// The counts of a flow over an interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlowCounters {
    /// Attempts or requests.
    pub count: u64,
    /// Attempts after their request's first one.
    pub retries: u64,
    /// Those that took longer than the latency objective.
    pub late: u64,
    /// The sum of all durations, in microseconds.
    pub duration_us: u64,
    /// How many took how long, by ratio to the latency objective.
    pub duration_histogram: [u64; DURATION_BUCKETS],
    /// Octets of request bodies.
    pub request_octets: u64,
    /// Octets of response bodies.
    pub response_octets: u64,
}

impl FlowCounters {
    /// Counts one observation.
    pub fn add(&mut self, observation: &Observation) {
        let duration = observation.duration;
        let objective = observation.latency_objective;
        let duration_us = duration.0.max(0) as u64;
        self.count += 1;
        self.retries += u64::from(observation.is_retry);
        self.late += u64::from(duration > objective);
        self.duration_us = self.duration_us.saturating_add(duration_us);
        self.duration_histogram[bucket(duration, objective)] += 1;
        self.request_octets = self
            .request_octets
            .saturating_add(observation.request_octets);
        self.response_octets = self
            .response_octets
            .saturating_add(observation.response_octets);
    }

    /// Adds the counts of another interval. A count that would wrap stays at the largest number.
    pub fn merge(&mut self, other: &FlowCounters) {
        let pairs = [
            (&mut self.count, other.count),
            (&mut self.retries, other.retries),
            (&mut self.late, other.late),
            (&mut self.duration_us, other.duration_us),
            (&mut self.request_octets, other.request_octets),
            (&mut self.response_octets, other.response_octets),
        ];
        for (count, added) in pairs {
            *count = count.saturating_add(added);
        }
        let histograms = self
            .duration_histogram
            .iter_mut()
            .zip(other.duration_histogram);
        for (count, added) in histograms {
            *count = count.saturating_add(added);
        }
    }
}

fn bucket(duration: TimeDelta, latency_objective: TimeDelta) -> usize {
    let eighth = (latency_objective.0 / 8).max(1);
    (0..DURATION_BUCKETS - 1)
        .find(|n| duration.0 <= eighth << n)
        .unwrap_or(DURATION_BUCKETS - 1)
}
