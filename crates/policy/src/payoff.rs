//! The payoffs of outcomes, and the statistics that compare two payoffs.

/// η: the base of elimination weights. A weight of n stands for an error probability of η to the power of n.
pub const ETA: f64 = 0.9;
/// δ: the acceptable probability of a wrong rollout decision.
pub const DELTA: f64 = 0.05;
/// Number of outcomes that each arm needs before the arms are compared.
pub const MIN_OUTCOMES: f64 = 20.0;

/// The number of outcomes, and the sum of their payoffs (0 to 1 each).
#[derive(Clone, Copy, Debug, Default)]
pub struct Payoff {
    /// Number of outcomes.
    pub count: f64,
    /// Sum of their payoffs.
    pub sum: f64,
}

impl Payoff {
    /// The mean payoff of an outcome; 0 without outcomes.
    pub fn mean(&self) -> f64 {
        self.sum / self.count.max(1.0)
    }

    /// The difference between the highest possible sum and the actual one.
    pub fn loss(&self) -> f64 {
        self.count - self.sum
    }

    /// The sum of this payoff and `other`, scaled by `ratio`.
    pub fn plus_scaled(&self, other: &Payoff, ratio: f64) -> Payoff {
        Payoff {
            count: self.count + other.count * ratio,
            sum: self.sum + other.sum * ratio,
        }
    }

    /// The sum of several payoffs.
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

    /// The divergence from the mean of `rest` if this mean is lower, else 0. One more outcome, with payoff 0, is added to `rest`.
    pub fn divergence_below(&self, rest: &Payoff) -> f64 {
        let rest_mean = rest.sum / (rest.count + 1.0);
        if self.mean() < rest_mean {
            self.divergence_from(rest_mean)
        } else {
            0.0
        }
    }

    /// The confidence of the KL-Racing test, as an exponent of η, that this arm is worse than `better` by more than `tolerance`
    /// 0 means no elimination. See departures A and B in docs/design.md.
    pub fn elimination_weight(&self, better: &Payoff, tolerance: f64) -> usize {
        let outcomes = self.count.min(better.count);
        let mut low = self.mean();
        let mut high = better.mean() - tolerance;
        if outcomes < MIN_OUTCOMES || low >= high {
            return 0;
        }
        // Finds by bisection the mean at which both divergences are equal, as precisely as floating point allows.
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

fn divergence_term(observed: f64, expected: f64) -> f64 {
    if observed > 0.0 {
        observed * (observed / expected.max(f64::EPSILON)).ln()
    } else {
        0.0
    }
}
