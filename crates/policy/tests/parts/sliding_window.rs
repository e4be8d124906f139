//! Tests of the sliding window.

use harrierdock_policy::sliding_window::SlidingWindow;

use crate::at;

fn window() -> SlidingWindow<char> {
    let mut window = SlidingWindow::default();
    for (milliseconds, value) in [(1, 'a'), (2, 'b'), (2, 'c'), (3, 'b')] {
        window.push(at(milliseconds), value);
    }
    window
}

#[test]
fn events_after_a_time_are_returned_newest_first() {
    let values: String = window().after(at(1)).collect();
    assert_eq!(values, "bcb");
}

#[test]
fn matching_events_after_a_time_are_counted() {
    assert_eq!(window().count_after(at(1), |value| *value == 'b'), 2.0);
    assert_eq!(window().count_after(at(2), |value| *value == 'b'), 1.0);
}

#[test]
fn a_removal_removes_one_event_with_the_same_time_and_value() {
    let mut window = window();
    window.remove(at(2), &'c');
    window.remove(at(2), &'c');
    window.remove(at(9), &'b');
    let values: String = window.after(at(0)).collect();
    assert_eq!(values, "bba");
}

#[test]
fn events_before_a_time_are_dropped() {
    let mut window = window();
    window.drop_before(at(2));
    assert_eq!((window.len(), window.oldest()), (3, Some(at(2))));
    window.drop_before(at(4));
    assert!(window.is_empty());
}
