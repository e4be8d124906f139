//! Answer times of one request class in one zone, relative to the class's latency objective, in buckets a third of an octave wide.
//! Histograms add up bucket by bucket, decay by a factor and widen by spreading counts to the neighbours, each without allocating.

use std::array::from_fn;

/// Bucket 18 ends at the latency objective itself, the first at a sixty-fourth of it; the last is open at the top.
pub const BUCKETS: usize = 24;
const OBJECTIVE_BUCKET: f32 = 18.0;
const BUCKETS_PER_OCTAVE: f32 = 3.0;

/// Answer times by bucket; counts are fractional once they decay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LatencyHistogram {
    /// How many answers came in each bucket.
    pub counts: [f32; BUCKETS],
}

/// Where an answer time, as a ratio to the latency objective, lies: in buckets from the lowest bound.
fn position(ratio: f32) -> f32 {
    // NaN, 0 and less count as the shortest.
    let ratio = if ratio > 0.0 { ratio } else { 0.0 };
    (OBJECTIVE_BUCKET + 1.0 + BUCKETS_PER_OCTAVE * ratio.log2()).clamp(0.0, BUCKETS as f32)
}

/// The answer time at a position, as a ratio to the latency objective.
fn ratio_at(position: f32) -> f32 {
    ((position - OBJECTIVE_BUCKET - 1.0) / BUCKETS_PER_OCTAVE).exp2()
}

impl LatencyHistogram {
    /// Counts an answer time, as a ratio to the latency objective.
    pub fn record(&mut self, ratio: f32) {
        let bucket = (position(ratio).ceil() as usize).clamp(1, BUCKETS) - 1;
        self.counts[bucket] += 1.0;
    }

    /// Multiplies all counts by a factor.
    pub fn decay(&mut self, factor: f32) {
        self.counts.iter_mut().for_each(|count| *count *= factor);
    }

    /// Adds another histogram's counts, each times a weight.
    pub fn merge(&mut self, other: &LatencyHistogram, weight: f32) {
        self.counts
            .iter_mut()
            .zip(&other.counts)
            .for_each(|(count, other)| *count += other * weight);
    }

    /// Spreads this share of each bucket, half at most, to its neighbours, as old counts are less certain. The total stays: what would
    /// leave at an end stays there.
    pub fn widen(&mut self, share: f32) {
        let spread = 0.5 * share.clamp(0.0, 0.5);
        let old = self.counts;
        for bucket in 0..BUCKETS {
            let below = old[bucket.saturating_sub(1)];
            let above = old[(bucket + 1).min(BUCKETS - 1)];
            self.counts[bucket] = old[bucket] + spread * (below + above - 2.0 * old[bucket]);
        }
    }

    /// How many answers there are.
    pub fn total(&self) -> f32 {
        self.counts.iter().sum()
    }

    /// The mean answer time as a ratio to the latency objective; none if there are no answers.
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

    /// The answer time that this share of answers does not exceed, as a ratio to the latency objective; none if there are no answers.
    pub fn quantile(&self, share: f32) -> Option<f32> {
        let mut left = self.total() * share.clamp(0.0, 1.0);
        if left <= 0.0 {
            return None;
        }
        for (bucket, count) in self.counts.iter().enumerate() {
            if left <= *count {
                return Some(ratio_at(bucket as f32 + left / count));
            }
            left -= count;
        }
        Some(ratio_at(BUCKETS as f32))
    }

    /// The cumulative distribution of the answer times.
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

/// The probability of an answer by the end of each bucket.
#[derive(Clone, Copy, Debug)]
pub struct LatencyDistribution {
    cumulative: [f32; BUCKETS + 1],
}

impl LatencyDistribution {
    /// The probability that an answer takes no longer than this ratio to the latency objective.
    pub fn probability_within(&self, ratio: f32) -> f32 {
        let position = position(ratio);
        let bucket = (position as usize).min(BUCKETS - 1);
        let below = self.cumulative[bucket];
        below + (position - bucket as f32) * (self.cumulative[bucket + 1] - below)
    }
}
