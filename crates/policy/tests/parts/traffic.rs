//! Tests of the traffic counts.

use harrierdock_policy::traffic::{TrafficCounts, TrafficMonitor};

use crate::{at, context_at, ms};

#[test]
fn one_retry_is_assumed_per_unanswered_request_if_retries_are_not_marked() {
    let context = context_at(0, &[1.0]);
    let mut traffic = TrafficMonitor::default();
    traffic.record_request(&context, true);
    traffic.record_request_end(true);
    traffic.record_request(&context, false);
    traffic.record_request(&context, false);
    let counts = traffic.take_unreported();
    assert_eq!((counts.received, counts.original_requests), (3, 2));
}

#[test]
fn retries_are_counted_by_their_mark_if_clients_mark_them() {
    let mut context = context_at(0, &[1.0]);
    context.parameters.clients_mark_retries = true;
    let mut traffic = TrafficMonitor::default();
    traffic.record_request_end(true);
    traffic.record_request(&context, false);
    traffic.record_request(&context, true);
    let counts = traffic.take_unreported();
    assert_eq!((counts.received, counts.original_requests), (2, 1));
    assert_eq!(traffic.take_unreported().received, 0);
}

#[test]
fn a_window_contains_the_traffic_after_its_start() {
    let counts = TrafficCounts {
        received: 4,
        original_requests: 3,
        answered: 2,
    };
    let mut traffic = TrafficMonitor::default();
    traffic.record_group(at(0), TrafficCounts::default());
    traffic.record_group(at(50), counts);
    traffic.record_group(at(100), counts);
    assert_eq!(traffic.recent(at(140), ms(100)).answered, 4);
    assert_eq!(traffic.recent(at(150), ms(100)).answered, 2);
    assert!(traffic.covers(at(150), ms(100)));
    assert!(!traffic.covers(at(149), ms(100)));
}
