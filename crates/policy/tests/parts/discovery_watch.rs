//! Tests of the watch for endpoint lists.

use harrierdock_policy::discovery_watch::DiscoveryWatch;
use harrierdock_types::{Action, DiscoveryMode, UpdateKind};

use crate::{at, ms};

/// Whether the watch requests lists at this time. The longest poll interval is 8 s.
fn requests_lists(watch: &mut DiscoveryWatch, milliseconds: i64) -> bool {
    let mut actions = Vec::new();
    watch.emit(
        at(milliseconds),
        DiscoveryMode::Poll,
        ms(8000),
        &mut actions,
    );
    actions == [Action::WatchEndpoints]
}

#[test]
fn lists_are_never_requested_in_push_mode() {
    let mut actions = Vec::new();
    DiscoveryWatch::default().emit(at(0), DiscoveryMode::Push, ms(8000), &mut actions);
    assert_eq!(actions, []);
}

#[test]
fn an_unanswered_watch_is_requested_again_and_an_established_one_is_not() {
    let mut watch = DiscoveryWatch::default();
    assert!(requests_lists(&mut watch, 0));
    assert!(!requests_lists(&mut watch, 3999));
    assert!(requests_lists(&mut watch, 4000));
    watch.record_list(at(4100), UpdateKind::Snapshot);
    assert!(!requests_lists(&mut watch, 100_000));
}

#[test]
fn a_failed_watch_is_requested_again_sooner() {
    let mut watch = DiscoveryWatch::default();
    assert!(requests_lists(&mut watch, 0));
    watch.record_list(at(100), UpdateKind::Failed);
    assert!(!requests_lists(&mut watch, 1099));
    assert!(requests_lists(&mut watch, 1100));
}
