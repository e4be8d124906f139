//! Sheds load: while endpoints have queues, a share of the requests is rejected or failed at once (departure I in
//! docs/design.md). Owns this share, called the shed ratio, and each class's share of the traffic.

use harrierdock_types::{ClassId, Parameters, Timestamp};

use crate::context::{Context, LEARNING_RATE, SLOW_LEARNING_RATE};
use crate::traffic::TrafficCounts;

/// The largest shed ratio, for all requests and for each class. Some requests are always admitted.
const MAX_SHED_RATIO: f64 = 1.0 - LEARNING_RATE;
/// The lower bound of the traffic share that a class's shed ratio is divided by.
const MIN_CLASS_RATIO: f64 = SLOW_LEARNING_RATE;
/// The usual queue: attempts in flight, as a ratio to the requests answered in a latency objective. Above it, load is shed.
const MAX_QUEUE_RATIO: f64 = 0.6;
/// This many attempts in flight never count as a queue, regardless of the traffic.
const QUEUE_ALLOWANCE_ATTEMPTS: f64 = 5.0;
/// The admitted requests while endpoints have queues, as a ratio to the answered requests.
const QUEUE_DRAIN_RATIO: f64 = 0.85;
/// The growth of the admitted share per tick once the queue is gone, as a ratio to that share.
const ADMISSION_GROWTH_RATIO: f64 = 0.12;

/// The load of a gossip group, from which its aggregator computes the shed ratio.
#[derive(Clone, Copy, Debug)]
pub struct GroupLoad {
    /// The group's attempts in flight.
    pub in_flight: f64,
    /// The group's traffic during the last latency objective.
    pub recent: TrafficCounts,
    /// Whether there has been traffic for at least a latency objective.
    pub is_settled: bool,
}

/// Sheds load of the lowest priority weight first.
///
/// The ratio of a group's attempts in flight to its answered requests shows the length of the endpoints' queues without delay.
/// While the queues are long, fewer requests are admitted than are answered. Endpoints whose unloaded latency is half the latency
/// objective appear to have queues.
#[derive(Debug, Default)]
pub struct LoadShedder {
    /// The share of all requests that is shed (0 to 1).
    shed_ratio: f64,
    /// When the shed ratio was last raised.
    raised_at: Timestamp,
    /// By class: its requests as a ratio to all requests (0 to 1), as a running mean.
    class_ratios: Vec<f64>,
}

impl LoadShedder {
    /// Creates a shedder that sheds nothing. All classes have equal traffic shares until requests arrive.
    pub fn new(parameters: &Parameters) -> LoadShedder {
        let class_count = parameters.classes.len();
        LoadShedder {
            class_ratios: vec![1.0 / class_count.max(1) as f64; class_count],
            ..LoadShedder::default()
        }
    }

    /// The share of all requests that is shed (0 to 1).
    pub fn shed_ratio(&self) -> f64 {
        self.shed_ratio
    }

    /// Adopts the shed ratio of the group's aggregator.
    pub fn adopt_shed_ratio(&mut self, shed_ratio: f64) {
        self.shed_ratio = shed_ratio.min(MAX_SHED_RATIO);
    }

    /// Updates the classes' traffic shares with a request.
    pub fn record_request(&mut self, class: ClassId) {
        for (index, ratio) in self.class_ratios.iter_mut().enumerate() {
            *ratio += SLOW_LEARNING_RATE * (f64::from(index == class.0) - *ratio);
        }
    }

    /// Raises the shed ratio while the group has a queue, and lowers it otherwise. It is raised at most once per latency objective,
    /// as the effect takes that long to show.
    ///
    /// Members of a group pass no `load`: their shed ratio decays until the aggregator reports a new shed ratio.
    pub fn update(&mut self, context: &Context, load: Option<&GroupLoad>) {
        let headroom = match load {
            Some(load) => self.raise_if_queued(context, load),
            None => 1.0,
        };
        let growth = 1.0 + ADMISSION_GROWTH_RATIO * headroom.max(0.0);
        self.shed_ratio = (1.0 - (1.0 - self.shed_ratio) * growth).max(0.0);
    }

    /// Raises the shed ratio if there is a queue. Returns the headroom: the unused share of the largest acceptable queue, which is
    /// negative if the queue is longer.
    fn raise_if_queued(&mut self, context: &Context, load: &GroupLoad) -> f64 {
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

    /// The share of a class's requests that is shed (0 to 1).
    pub fn class_shed_ratio(&self, context: &Context, class: ClassId) -> f64 {
        let weight = context.class(class).priority_weight;
        let lower_ratio = self.traffic_ratio(context, |other| other < weight);
        let equal_ratio = self.traffic_ratio(context, |other| other == weight);
        ((self.shed_ratio - lower_ratio * MAX_SHED_RATIO) / equal_ratio.max(MIN_CLASS_RATIO))
            .clamp(0.0, MAX_SHED_RATIO)
    }

    /// The total traffic share of the classes whose priority weight matches.
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
