//! Statistics of measured values.

/// The median: the upper of the two middle values for an even count, 0 for no values.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
