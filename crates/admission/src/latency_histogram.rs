//! Answer times of one request class in one zone, as parts of its latency objective, in buckets a third of an octave wide.
//! Slack is what is left of the latency objective (or of the expiry) at the answer. Sketches add up bucket by bucket,
//! fade by a factor and widen by letting mass seep into the neighbours, each without allocating.

use std::array::from_fn;

/// Bucket 18 ends at the latency objective itself, the first at a sixty-fourth of it; the last is open at the top.
pub const BUCKETS: usize = 24;
const AT_SLA: f32 = 18.0;
const AN_OCTAVE: f32 = 3.0;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sketch {
    pub counts: [f32; BUCKETS],
}

/// Where a part of the latency objective lies: the bucket that ends above it, and how far into it.
fn place(part: f32) -> f32 {
    // Guards against NaN, nothing and below: they count as the shortest.
    let part = if part > 0.0 { part } else { 0.0 };
    (AT_SLA + 1.0 + AN_OCTAVE * part.log2()).clamp(0.0, BUCKETS as f32)
}

/// The part of the latency objective at which a place lies.
fn part(place: f32) -> f32 {
    ((place - AT_SLA - 1.0) / AN_OCTAVE).exp2()
}

impl Sketch {
    pub fn add(&mut self, part: f32) {
        let at = (place(part).ceil() as usize).clamp(1, BUCKETS) - 1;
        self.counts[at] += 1.0;
    }

    pub fn fade(&mut self, by: f32) {
        self.counts.iter_mut().for_each(|c| *c *= by);
    }

    pub fn merge(&mut self, other: &Sketch, weight: f32) {
        self.counts
            .iter_mut()
            .zip(&other.counts)
            .for_each(|(c, o)| *c += o * weight);
    }

    /// What is old is less sure: the part `by` of each bucket, half at the most, goes to its neighbours. The
    /// total stays; what would leave at an end stays there.
    pub fn widen(&mut self, by: f32) {
        let seeps = 0.5 * by.clamp(0.0, 0.5);
        let old = self.counts;
        for at in 0..BUCKETS {
            let (below, above) = (old[at.saturating_sub(1)], old[(at + 1).min(BUCKETS - 1)]);
            self.counts[at] = old[at] + seeps * (below + above - 2.0 * old[at]);
        }
    }

    pub fn total(&self) -> f32 {
        self.counts.iter().sum()
    }

    /// The mean answer time in latency objectives.
    pub fn mean(&self) -> Option<f32> {
        let total = self.total();
        let sum: f32 = self
            .counts
            .iter()
            .enumerate()
            .map(|(at, c)| c * part(at as f32 + 0.5))
            .sum();
        (total > 0.0).then(|| sum / total)
    }

    /// The answer time in latency objectives that this part of answers keeps.
    pub fn quantile(&self, of: f32) -> Option<f32> {
        let mut left = self.total() * of.clamp(0.0, 1.0);
        if left <= 0.0 {
            return None;
        }
        for (at, count) in self.counts.iter().enumerate() {
            if left <= *count {
                return Some(part(at as f32 + left / count));
            }
            left -= count;
        }
        Some(part(BUCKETS as f32))
    }

    pub fn odds(&self) -> Odds {
        let total = self.total();
        let mut sum = 0.0;
        Odds {
            up_to: from_fn(|at| {
                if at > 0 {
                    sum += self.counts[at - 1];
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

/// A sketch summed up for reading: the chance of an answer by the end of each bucket.
#[derive(Clone, Copy, Debug)]
pub struct Odds {
    up_to: [f32; BUCKETS + 1],
}

impl Odds {
    /// The chance that the answer takes no longer than this part of the latency objective.
    pub fn within(&self, part: f32) -> f32 {
        let place = place(part);
        let at = (place as usize).min(BUCKETS - 1);
        self.up_to[at] + (place - at as f32) * (self.up_to[at + 1] - self.up_to[at])
    }
}
