//! What an arm has been paid for its outcomes, and the statistics that two payoffs are compared by.

/// The page's η: the confidence of one elimination vote's unit.
pub const ETA: f64 = 0.9;
/// The page's δ: the probability with which a rollout decision may be wrong.
pub const DELTA: f64 = 0.05;
/// Outcomes that each arm must have before it is compared.
pub const MIN_OUTCOMES: f64 = 20.0;

/// The number of outcomes and the sum of what they paid (0 to 1 each).
#[derive(Clone, Copy, Debug, Default)]
pub struct Payoff {
    /// How many outcomes.
    pub count: f64,
    /// What they paid together.
    pub sum: f64,
}

impl Payoff {
    /// The mean of what an outcome paid; 0 without outcomes.
    pub fn mean(&self) -> f64 {
        self.sum / self.count.max(1.0)
    }

    /// What outcomes have not paid.
    pub fn loss(&self) -> f64 {
        self.count - self.sum
    }

    /// This payoff and another one, of which this ratio counts.
    pub fn plus_scaled(&self, other: &Payoff, ratio: f64) -> Payoff {
        Payoff {
            count: self.count + other.count * ratio,
            sum: self.sum + other.sum * ratio,
        }
    }

    /// All of these together.
    pub fn total<'a>(payoffs: impl IntoIterator<Item = &'a Payoff>) -> Payoff {
        payoffs.into_iter().fold(Payoff::default(), |sum, payoff| {
            sum.plus_scaled(payoff, 1.0)
        })
    }

    /// How far the outcomes are from a true mean of `mean`: their count times the Kullback-Leibler divergence.
    pub fn divergence_from(&self, mean: f64) -> f64 {
        let own_mean = self.mean().clamp(0.0, 1.0);
        self.count * (divergence_term(own_mean, mean) + divergence_term(1.0 - own_mean, 1.0 - mean))
    }

    /// How far the outcomes are below those of the rest, of which one more may yet be lost; 0 if they are not.
    pub fn divergence_below(&self, rest: &Payoff) -> f64 {
        let rest_mean = rest.sum / (rest.count + 1.0);
        if self.mean() < rest_mean {
            self.divergence_from(rest_mean)
        } else {
            0.0
        }
    }

    /// How many factors of η the KL-Racing test stands below a better arm by, where being worse by `tolerance` is good enough
    /// (departures A and B in docs/design.md). 0 is no elimination.
    pub fn elimination_weight(&self, better: &Payoff, tolerance: f64) -> usize {
        let outcomes = self.count.min(better.count);
        let mut low = self.mean();
        let mut high = better.mean() - tolerance;
        if outcomes < MIN_OUTCOMES || low >= high {
            return 0;
        }
        // Halves the interval until it is as narrow as floating point allows: where both divergences meet.
        for _ in 0..f64::MANTISSA_DIGITS {
            let middle = (low + high) / 2.0;
            if self.divergence_from(middle) < better.divergence_from(middle + tolerance) {
                low = middle;
            } else {
                high = middle;
            }
        }
        let error_bound = (outcomes.ln() + 1.0) * (-self.divergence_from(low)).exp();
        (error_bound.ln() / ETA.ln()).max(0.0) as usize
    }
}

fn divergence_term(p: f64, q: f64) -> f64 {
    if p > 0.0 {
        p * (p / q.max(f64::EPSILON)).ln()
    } else {
        0.0
    }
}
