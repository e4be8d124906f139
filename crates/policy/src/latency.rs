//! Usual latencies. Owns the mean latency of each class and, for each machine model, the ratio to that mean.

use std::collections::BTreeMap;

use harrierdock_types::{ClassId, Parameters, TimeDelta};

use crate::context::SLOW_LEARNING_RATE;

/// The initial mean latency of a class is its latency objective divided by this.
const INITIAL_MEAN_DIVISOR: f64 = 4.0;

/// The usual latencies of the baseline.
#[derive(Debug, Default)]
pub struct UsualLatency {
    class_means: Vec<TimeDelta>,
    /// By machine model: the latency as a ratio to the class's mean.
    model_ratios: BTreeMap<usize, f64>,
}

impl UsualLatency {
    /// Creates the initial means, derived from the latency objectives.
    pub fn new(parameters: &Parameters) -> UsualLatency {
        let class_means = parameters
            .classes
            .iter()
            .map(|class| class.latency_objective / INITIAL_MEAN_DIVISOR)
            .collect();
        UsualLatency {
            class_means,
            model_ratios: BTreeMap::new(),
        }
    }

    /// The mean latency of a class, or `None` if the class is not configured.
    pub fn class_mean(&self, class: ClassId) -> Option<TimeDelta> {
        self.class_means.get(class.0).copied()
    }

    /// The longest mean latency of all classes; zero if no class is configured.
    pub fn longest_mean(&self) -> TimeDelta {
        self.class_means
            .iter()
            .copied()
            .max()
            .unwrap_or(TimeDelta::ZERO)
    }

    /// The latency of a machine model as a ratio to the class's mean; 1 for an unknown model.
    pub fn model_ratio(&self, model: usize) -> f64 {
        self.model_ratios.get(&model).copied().unwrap_or(1.0)
    }

    /// The latency estimate of an endpoint without responses yet. Without the model's ratio, a new build's endpoints of a slow
    /// model would be overloaded before their latency is measured.
    pub fn initial_estimate(&self, model: usize) -> f64 {
        self.model_ratio(model).max(1.0)
    }

    /// Updates the means with a baseline response. Called only while no rollout is in progress.
    pub fn record(&mut self, class: ClassId, model: usize, duration: TimeDelta) {
        let Some(mean) = self.class_means.get_mut(class.0) else {
            return;
        };
        let ratio = self.model_ratios.entry(model).or_insert(1.0);
        *ratio += SLOW_LEARNING_RATE * (duration.ratio_to(*mean) - *ratio);
        *mean = *mean + (duration - *mean) * SLOW_LEARNING_RATE;
    }
}
