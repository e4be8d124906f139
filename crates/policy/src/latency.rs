//! Usual latencies. Owns the mean and the shortest latency of each class and, for each machine model, the ratio to that mean.

use std::collections::BTreeMap;

use harrierdock_types::{ClassId, Parameters, TimeDelta};

use crate::context::{Context, SLOW_LEARNING_RATE};

/// The initial mean latency of a class is its latency objective divided by this.
const INITIAL_MEAN_DIVISOR: f64 = 4.0;

/// The usual latencies of the baseline, and the shortest latencies of both arms.
#[derive(Debug, Default)]
pub struct UsualLatency {
    class_means: Vec<TimeDelta>,
    /// By class: a latency that few responses are shorter than; `None` before the first response.
    shortest: Vec<Option<TimeDelta>>,
    /// By machine model: the latency as a ratio to the class's mean.
    model_ratios: BTreeMap<usize, f64>,
}

impl UsualLatency {
    /// Creates the initial means, derived from the latency objectives.
    pub fn new(parameters: &Parameters) -> UsualLatency {
        let class_means: Vec<TimeDelta> = parameters
            .classes
            .iter()
            .map(|class| class.latency_objective / INITIAL_MEAN_DIVISOR)
            .collect();
        UsualLatency {
            shortest: vec![None; class_means.len()],
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

    /// The time without which hardly any request of a class is answered; zero before the first response.
    ///
    /// It is at most the initial mean, so that slow responses alone can't keep it above what clients usually wait.
    pub fn shortest_response(&self, context: &Context, class: ClassId) -> TimeDelta {
        let shortest = self.shortest.get(class.0).copied().flatten();
        shortest.map_or(TimeDelta::ZERO, |shortest| {
            shortest.min(initial_mean(context, class))
        })
    }

    /// The time in which a response of a class usually comes: its mean latency, but at most the initial mean.
    pub fn usual_response(&self, context: &Context, class: ClassId) -> TimeDelta {
        let initial = initial_mean(context, class);
        self.class_mean(class).unwrap_or(initial).min(initial)
    }

    /// Updates the shortest latency of a class: at once if the response was faster, slowly if it was slower.
    pub fn record_response(&mut self, class: ClassId, duration: TimeDelta) {
        if let Some(shortest) = self.shortest.get_mut(class.0) {
            *shortest = Some(match *shortest {
                Some(known) if known < duration => known + (duration - known) * SLOW_LEARNING_RATE,
                _ => duration,
            });
        }
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

fn initial_mean(context: &Context, class: ClassId) -> TimeDelta {
    context.class(class).latency_objective / INITIAL_MEAN_DIVISOR
}
