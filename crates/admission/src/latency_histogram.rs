//! Histograms of the response times of one request class in one zone, relative to the class's latency objective, in buckets a third of an
//! octave wide. Merging, decaying and widening a histogram allocate nothing.

use std::array::from_fn;

/// The number of buckets. Bucket 0 ends at 1/64 of the latency objective and bucket 18 at the objective; the last one has no upper bound.
pub const BUCKETS: usize = 24;
const OBJECTIVE_BUCKET: f32 = 18.0;
const BUCKETS_PER_OCTAVE: f32 = 3.0;

/// A histogram of response times.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LatencyHistogram {
    /// The number of responses in each bucket; fractional once decayed.
    pub counts: [f32; BUCKETS],
}

/// The position of a response time, given as a ratio to the latency objective, in buckets from the lower bound of bucket 0.
fn position_of(ratio: f32) -> f32 {
    // NaN and values of 0 or less count as the shortest time.
    let ratio = if ratio > 0.0 { ratio } else { 0.0 };
    (OBJECTIVE_BUCKET + 1.0 + BUCKETS_PER_OCTAVE * ratio.log2()).clamp(0.0, BUCKETS as f32)
}

/// The response time at a position, as a ratio to the latency objective.
fn ratio_at(position: f32) -> f32 {
    ((position - OBJECTIVE_BUCKET - 1.0) / BUCKETS_PER_OCTAVE).exp2()
}

impl LatencyHistogram {
    /// Counts a response time, given as a ratio to the latency objective.
    pub fn record(&mut self, ratio: f32) {
        let bucket = (position_of(ratio).ceil() as usize).clamp(1, BUCKETS) - 1;
        self.counts[bucket] += 1.0;
    }

    /// Multiplies all counts by a factor.
    pub fn decay(&mut self, factor: f32) {
        self.counts.iter_mut().for_each(|count| *count *= factor);
    }

    /// Adds the counts of another histogram, multiplied by `weight`.
    pub fn merge(&mut self, other: &LatencyHistogram, weight: f32) {
        self.counts
            .iter_mut()
            .zip(&other.counts)
            .for_each(|(count, other)| *count += other * weight);
    }

    /// Spreads `share` of each bucket, at most half of it, evenly to its neighbours, as old counts are less certain. The total stays the
    /// same: the first and the last bucket keep what would fall outside.
    pub fn widen(&mut self, share: f32) {
        let spread = 0.5 * share.clamp(0.0, 0.5);
        let old = self.counts;
        for bucket in 0..BUCKETS {
            let below = old[bucket.saturating_sub(1)];
            let above = old[(bucket + 1).min(BUCKETS - 1)];
            self.counts[bucket] = old[bucket] + spread * (below + above - 2.0 * old[bucket]);
        }
    }

    /// The number of responses in all buckets.
    pub fn total(&self) -> f32 {
        self.counts.iter().sum()
    }

    /// The mean response time as a ratio to the latency objective; `None` if the histogram is empty.
    pub fn mean(&self) -> Option<f32> {
        let total = self.total();
        let sum: f32 = self
            .counts
            .iter()
            .enumerate()
            .map(|(bucket, count)| count * ratio_at(bucket as f32 + 0.5))
            .sum();
        (total > 0.0).then(|| sum / total)
    }

    /// The response time that `share` of all responses do not exceed, as a ratio to the latency objective; `None` if the histogram is empty.
    pub fn quantile(&self, share: f32) -> Option<f32> {
        let mut remaining = self.total() * share.clamp(0.0, 1.0);
        if remaining <= 0.0 {
            return None;
        }
        for (bucket, count) in self.counts.iter().enumerate() {
            if remaining <= *count {
                return Some(ratio_at(bucket as f32 + remaining / count));
            }
            remaining -= count;
        }
        Some(ratio_at(BUCKETS as f32))
    }

    /// The cumulative distribution of the response times; without responses, every time has a probability of 1.
    pub fn distribution(&self) -> LatencyDistribution {
        let total = self.total();
        let mut sum = 0.0;
        LatencyDistribution {
            cumulative: from_fn(|bound| {
                if bound > 0 {
                    sum += self.counts[bound - 1];
                }
                if total > 0.0 {
                    (sum / total).min(1.0)
                } else {
                    1.0
                }
            }),
        }
    }
}

/// A cumulative distribution of response times.
#[derive(Clone, Copy, Debug)]
pub struct LatencyDistribution {
    /// The probability of a response time below each bucket bound.
    cumulative: [f32; BUCKETS + 1],
}

impl LatencyDistribution {
    /// The probability of a response time of at most `ratio` times the latency objective.
    pub fn probability_within(&self, ratio: f32) -> f32 {
        let position = position_of(ratio);
        let bucket = (position as usize).min(BUCKETS - 1);
        let below = self.cumulative[bucket];
        below + (position - bucket as f32) * (self.cumulative[bucket + 1] - below)
    }
}
