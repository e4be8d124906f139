//! Usual answer times. Owns the mean of each class and, for each machine model, the ratio to it.

use std::collections::BTreeMap;

use harrierdock_types::{ClassId, Parameters, TimeDelta};

use crate::context::SLOW_LEARNING_RATE;

/// The mean answer time of a class before any answer has come, as a ratio to its latency objective.
const INITIAL_MEAN_DIVISOR: f64 = 4.0;

/// The usual answer times of the baseline.
#[derive(Debug, Default)]
pub struct UsualLatency {
    class_means: Vec<TimeDelta>,
    /// By machine model: answer times over the class's mean.
    model_ratios: BTreeMap<usize, f64>,
}

impl UsualLatency {
    /// Means that no answer has changed yet.
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

    /// The mean answer time of a class, or `None` if the class is not configured.
    pub fn class_mean(&self, class: ClassId) -> Option<TimeDelta> {
        self.class_means.get(class.0).copied()
    }

    /// The longest mean answer time of all classes.
    pub fn longest_mean(&self) -> TimeDelta {
        self.class_means
            .iter()
            .copied()
            .max()
            .unwrap_or(TimeDelta::ZERO)
    }

    /// How answer times of a machine model compare to the class's mean.
    pub fn model_ratio(&self, model: usize) -> f64 {
        self.model_ratios.get(&model).copied().unwrap_or(1.0)
    }

    /// The latency estimate of an endpoint that has not answered yet. A new build's endpoints of a slow model would otherwise be
    /// overloaded before they have shown that they are slow.
    pub fn initial_estimate(&self, model: usize) -> f64 {
        self.model_ratio(model).max(1.0)
    }

    /// Learns from an answer of the baseline while no rollout is in question.
    pub fn record(&mut self, class: ClassId, model: usize, duration: TimeDelta) {
        let Some(mean) = self.class_means.get_mut(class.0) else {
            return;
        };
        let ratio = self.model_ratios.entry(model).or_insert(1.0);
        *ratio += SLOW_LEARNING_RATE * (duration.ratio_to(*mean) - *ratio);
        *mean = *mean + (duration - *mean) * SLOW_LEARNING_RATE;
    }
}
