//! Unit tests of the policy's modules that don't depend on the whole policy.

mod concurrency_limit;
mod discovery_watch;
mod elimination_test;
mod exposure_limiter;
mod load_shedder;
mod outlier_ejection;
mod payoff;
mod request_table;
mod rollout_state;
mod sliding_window;
mod sticky_versions;
mod timer;
mod traffic;

use harrierdock_policy::context::Context;
use harrierdock_types::{ClassParameters, Parameters, TimeDelta, Timestamp};

/// A time span in milliseconds.
fn ms(milliseconds: i64) -> TimeDelta {
    TimeDelta::from_millis(milliseconds)
}

/// The time this many milliseconds after the clock's origin.
fn at(milliseconds: i64) -> Timestamp {
    Timestamp(0) + ms(milliseconds)
}

/// A context at a time, with one class for each priority weight. The latency objective of each class is 100 ms.
fn context_at(milliseconds: i64, priority_weights: &[f64]) -> Context {
    let class = |priority_weight: &f64| ClassParameters {
        latency_objective: ms(100),
        timeout: ms(300),
        priority_weight: *priority_weight,
        ..ClassParameters::default()
    };
    Context {
        parameters: Parameters {
            gateway_count: 1,
            clock_resolution: ms(5),
            classes: priority_weights.iter().map(class).collect(),
            ..Parameters::default()
        },
        now: at(milliseconds),
    }
}
