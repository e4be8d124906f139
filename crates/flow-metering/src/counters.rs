//! The counters of a flow over an interval.

use harrierdock_types::TimeDelta;

use crate::Observation;

/// Buckets of the duration histogram, by ratio to the latency objective: up to 1/8, 1/4, 1/2, 1, 2, 4, 8, and above 8.
pub const DURATION_BUCKETS: usize = 8;

/// Counts of the attempts or requests of a flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlowCounters {
    /// All attempts or requests.
    pub count: u64,
    /// Attempts after the first one of their request.
    pub retries: u64,
    /// Attempts or requests that took longer than the latency objective.
    pub late: u64,
    /// The sum of all durations, in microseconds.
    pub duration_us: u64,
    /// Counts by ratio of duration to latency objective, in the buckets of [`DURATION_BUCKETS`].
    pub duration_histogram: [u64; DURATION_BUCKETS],
    /// Octets of request bodies.
    pub request_octets: u64,
    /// Octets of response bodies.
    pub response_octets: u64,
}

impl FlowCounters {
    /// Counts an observation.
    pub fn add(&mut self, observation: &Observation) {
        let duration = observation.duration;
        let objective = observation.latency_objective;
        let duration_us = duration.0.max(0) as u64;
        self.count += 1;
        self.retries += u64::from(observation.is_retry);
        self.late += u64::from(duration > objective);
        self.duration_us = self.duration_us.saturating_add(duration_us);
        self.duration_histogram[histogram_bucket(duration, objective)] += 1;
        self.request_octets = self
            .request_octets
            .saturating_add(observation.request_octets);
        self.response_octets = self
            .response_octets
            .saturating_add(observation.response_octets);
    }

    /// Adds the counts of another interval. A count that would overflow stays at the maximum.
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

fn histogram_bucket(duration: TimeDelta, latency_objective: TimeDelta) -> usize {
    let eighth = (latency_objective.0 / 8).max(1);
    (0..DURATION_BUCKETS - 1)
        .find(|doublings| duration.0 <= eighth << doublings)
        .unwrap_or(DURATION_BUCKETS - 1)
}
