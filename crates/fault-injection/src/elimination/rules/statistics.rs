//! Tail probabilities, and their conversion to weights of votes.

use harrierdock_policy::payoff::ETA;

/// Smaller probabilities of error are rounded up to this one.
const MIN_PROBABILITY: f64 = 1e-12;

/// The largest weight whose [`vote_error`] is at least this probability of error.
pub(super) fn vote_weight(error_probability: f64) -> usize {
    let probability = error_probability.clamp(MIN_PROBABILITY, 1.0);
    (probability.ln() / ETA.ln()) as usize
}

/// The probability of error that a vote of this weight claims: η to the power of the weight.
pub(super) fn vote_error(weight: usize) -> f64 {
    ETA.powf(weight as f64)
}

/// The probability that Student's t with `degrees` degrees of freedom is above `t` (Abramowitz and Stegun, 26.7.3 and 26.7.4).
pub(super) fn student_tail(t: f64, degrees: usize) -> f64 {
    if t <= 0.0 || degrees == 0 {
        return 1.0;
    }
    let angle = (t / (degrees as f64).sqrt()).atan();
    let cosine_squared = angle.cos().powi(2);
    let is_odd = degrees % 2 == 1;
    let mut term = if is_odd { angle.cos() } else { 1.0 };
    let mut numerator = if is_odd { 2.0 } else { 1.0 };
    let mut sum = 0.0;
    for _ in 0..degrees / 2 {
        sum += term;
        term *= cosine_squared * numerator / (numerator + 1.0);
        numerator += 2.0;
    }
    let within = if is_odd {
        std::f64::consts::FRAC_2_PI * (angle + angle.sin() * sum)
    } else {
        angle.sin() * sum
    };
    (1.0 - within) / 2.0
}

/// The probability of at least `successes` successes in `trials` independent trials.
pub(super) fn binomial_tail(trials: usize, probability: f64, successes: usize) -> f64 {
    let odds = probability / (1.0 - probability);
    let mut term = (1.0 - probability).powi(trials as i32);
    let mut below = 0.0;
    for count in 0..successes {
        below += term;
        term *= odds * (trials - count) as f64 / (count + 1) as f64;
    }
    1.0 - below
}

/// The binomial coefficient `total` choose `chosen`; infinite if it overflows.
pub(super) fn combinations(total: usize, chosen: usize) -> f64 {
    let fewer = chosen.min(total - chosen);
    (0..fewer)
        .map(|index| (total - index) as f64 / (index + 1) as f64)
        .product()
}
