//! Tests of the load shedder.

use harrierdock_policy::load_shedder::{GroupLoad, LoadShedder};
use harrierdock_policy::traffic::TrafficCounts;
use harrierdock_types::ClassId;

use crate::context_at;

/// A load of 100 requests in the last latency objective, 50 of them answered, with `in_flight` attempts in flight.
fn load(in_flight: f64) -> GroupLoad {
    GroupLoad {
        in_flight,
        recent: TrafficCounts {
            received: 100,
            original_requests: 100,
            answered: 50,
        },
        is_settled: true,
    }
}

#[test]
fn load_is_shed_while_there_is_a_queue_and_admitted_again_afterwards() {
    let mut context = context_at(1000, &[1.0]);
    let mut shedder = LoadShedder::new(&context.parameters);
    shedder.update(&context, Some(&load(20.0)));
    assert_eq!(shedder.shed_ratio(), 0.0);
    shedder.update(&context, Some(&load(200.0)));
    let shed_ratio = shedder.shed_ratio();
    assert!(shed_ratio > 0.5, "{shed_ratio}");
    for tick in 1..60 {
        context.now = context.now + crate::ms(10 * tick);
        shedder.update(&context, Some(&load(0.0)));
    }
    assert_eq!(shedder.shed_ratio(), 0.0);
}

#[test]
fn nothing_is_shed_before_traffic_has_settled() {
    let context = context_at(1000, &[1.0]);
    let mut shedder = LoadShedder::new(&context.parameters);
    let load = GroupLoad {
        is_settled: false,
        ..load(200.0)
    };
    shedder.update(&context, Some(&load));
    assert_eq!(shedder.shed_ratio(), 0.0);
}

#[test]
fn the_class_of_the_lowest_priority_weight_is_shed_first() {
    let context = context_at(1000, &[5.0, 1.0]);
    let mut shedder = LoadShedder::new(&context.parameters);
    shedder.adopt_shed_ratio(0.3);
    assert_eq!(shedder.class_shed_ratio(&context, ClassId(0)), 0.0);
    assert!(shedder.class_shed_ratio(&context, ClassId(1)) > 0.3);
}

#[test]
fn some_requests_of_each_class_are_always_admitted() {
    let context = context_at(1000, &[5.0, 1.0]);
    let mut shedder = LoadShedder::new(&context.parameters);
    shedder.adopt_shed_ratio(1.0);
    for class in [ClassId(0), ClassId(1)] {
        assert!(shedder.class_shed_ratio(&context, class) <= 0.9);
    }
}
