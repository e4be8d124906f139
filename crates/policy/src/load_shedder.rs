//! Which share of requests is rejected or failed at once, as endpoints have queues (departure I in docs/design.md). Owns that
//! share and each class's share of the traffic.

use harrierdock_types::{ClassId, Parameters, Timestamp};

use crate::context::{Context, LEARNING_RATE, SLOW_LEARNING_RATE};
use crate::traffic::TrafficCounts;

/// The largest share of requests that is shed, of all and of each class.
const MAX_SHED_RATIO: f64 = 1.0 - LEARNING_RATE;
/// The least traffic share that a class's shed share is spread over.
const MIN_CLASS_RATIO: f64 = SLOW_LEARNING_RATE;
/// The usual queue: attempts in flight over answers in a latency objective. Above it load is shed.
const MAX_QUEUE_RATIO: f64 = 0.6;
/// Attempts in flight that are no queue whatever the traffic.
const QUEUE_ALLOWANCE_ATTEMPTS: f64 = 5.0;
/// Share of what is answered that is admitted while there is a queue.
const QUEUE_DRAIN_RATIO: f64 = 0.85;
/// By how much the admitted share grows with each tick once the queue is gone, as a ratio to it.
const ADMISSION_GROWTH_RATIO: f64 = 0.12;

/// The queue of a gossip group's attempts.
#[derive(Clone, Copy, Debug)]
pub struct GroupLoad {
    /// The group's attempts in flight.
    pub in_flight: f64,
    /// The group's traffic in the last latency objective.
    pub recent: TrafficCounts,
    /// Whether there has been traffic for a latency objective.
    pub is_settled: bool,
}

/// Sheds load of the lowest priority weight first.
///
/// A group's attempts in flight over its answers say at once how long the endpoints' queues are. While these are long, a part of
/// as many requests as are answered is admitted. Endpoints that need half the latency objective by nature look as though they
/// had queues.
#[derive(Debug, Default)]
pub struct LoadShedder {
    shed_ratio: f64,
    raised_at: Timestamp,
    class_ratios: Vec<f64>,
}

impl LoadShedder {
    /// Sheds nothing yet; all classes count alike until requests come.
    pub fn new(parameters: &Parameters) -> LoadShedder {
        let class_count = parameters.classes.len();
        LoadShedder {
            class_ratios: vec![1.0 / class_count.max(1) as f64; class_count],
            ..LoadShedder::default()
        }
    }

    /// The share of all requests that is shed.
    pub fn shed_ratio(&self) -> f64 {
        self.shed_ratio
    }

    /// Sheds what the group's aggregator sheds.
    pub fn follow(&mut self, shed_ratio: f64) {
        self.shed_ratio = shed_ratio.min(MAX_SHED_RATIO);
    }

    /// Notes a request's class.
    pub fn record_request(&mut self, class: ClassId) {
        for (index, ratio) in self.class_ratios.iter_mut().enumerate() {
            *ratio += SLOW_LEARNING_RATE * (f64::from(index == class.0) - *ratio);
        }
    }

    /// Sheds more while the group has a queue, at most once in a latency objective, as it takes that long to show; else less.
    /// Without `load`, as at a member, it sheds ever less until the aggregator is heard again.
    pub fn update(&mut self, context: &Context, load: Option<&GroupLoad>) {
        let headroom = match load {
            Some(load) => self.raise(context, load),
            None => 1.0,
        };
        let growth = 1.0 + ADMISSION_GROWTH_RATIO * headroom.max(0.0);
        self.shed_ratio = (1.0 - (1.0 - self.shed_ratio) * growth).max(0.0);
    }

    /// Sheds more if there is a queue. Returns the headroom: the share of the usual queue that is free, negative above it.
    fn raise(&mut self, context: &Context, load: &GroupLoad) -> f64 {
        let usual_queue = MAX_QUEUE_RATIO * load.recent.answered as f64;
        let max_queue = usual_queue + 2.0 * usual_queue.sqrt() + QUEUE_ALLOWANCE_ATTEMPTS;
        let headroom = 1.0 - load.in_flight / max_queue;
        let latency_objective = context.shortest_latency_objective();
        if headroom < 0.0 && context.now - self.raised_at >= latency_objective && load.is_settled {
            self.raised_at = context.now;
            let answered_ratio = load.recent.answered as f64 / load.recent.received.max(1) as f64;
            self.shed_ratio = (1.0 - QUEUE_DRAIN_RATIO * answered_ratio / (1.0 - headroom))
                .clamp(self.shed_ratio, MAX_SHED_RATIO);
        }
        headroom
    }

    /// The share of a class's requests that is shed.
    pub fn class_shed_ratio(&self, context: &Context, class: ClassId) -> f64 {
        let weight = context.class(class).priority_weight;
        let lower_ratio = self.traffic_ratio(context, |other| other < weight);
        let equal_ratio = self.traffic_ratio(context, |other| other == weight);
        ((self.shed_ratio - lower_ratio * MAX_SHED_RATIO) / equal_ratio.max(MIN_CLASS_RATIO))
            .clamp(0.0, MAX_SHED_RATIO)
    }

    /// The traffic share of the classes whose priority weight matches.
    fn traffic_ratio(&self, context: &Context, matches: impl Fn(f64) -> bool) -> f64 {
        context
            .parameters
            .classes
            .iter()
            .zip(&self.class_ratios)
            .filter(|(class, _)| matches(class.priority_weight))
            .map(|(_, ratio)| ratio)
            .sum()
    }
}
