//! The watch for endpoint lists.

use harrierdock_policy::discovery_watch::DiscoveryWatch;
use harrierdock_types::{Action, DiscoveryMode, UpdateKind};

use crate::{at, ms};

/// Whether the watch asks for lists at this time, where they are polled every 8 s at the latest.
fn asks(watch: &mut DiscoveryWatch, milliseconds: i64) -> bool {
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
fn pushed_lists_are_never_asked_for() {
    let mut actions = Vec::new();
    DiscoveryWatch::default().emit(at(0), DiscoveryMode::Push, ms(8000), &mut actions);
    assert_eq!(actions, []);
}

#[test]
fn an_unanswered_watch_is_asked_for_again_and_an_established_one_is_not() {
    let mut watch = DiscoveryWatch::default();
    assert!(asks(&mut watch, 0));
    assert!(!asks(&mut watch, 3999));
    assert!(asks(&mut watch, 4000));
    watch.list_received(at(4100), UpdateKind::Snapshot);
    assert!(!asks(&mut watch, 100_000));
}

#[test]
fn a_failed_watch_is_asked_for_again_sooner() {
    let mut watch = DiscoveryWatch::default();
    assert!(asks(&mut watch, 0));
    watch.list_received(at(100), UpdateKind::Failed);
    assert!(!asks(&mut watch, 1099));
    assert!(asks(&mut watch, 1100));
}
