//! How long an unconfirmed endpoint list is used.

use harrierdock_attempt_guard::{ListFreshness, NOTIFICATION_DEADLINE};
use harrierdock_types::{DiscoveryMode, Parameters, SafetyParameters, TimeDelta, Timestamp};

const START: Timestamp = Timestamp(7_000_000);
const GRACE: TimeDelta = TimeDelta(500_000);

fn cached_list(discovery_mode: DiscoveryMode) -> ListFreshness {
    let safety = SafetyParameters {
        drain_grace: GRACE,
        ..SafetyParameters::default()
    };
    ListFreshness::new(
        &Parameters {
            discovery_mode,
            safety,
            ..Parameters::default()
        },
        START,
    )
}

#[test]
fn a_polled_list_is_stale_after_the_notification_deadline_and_a_cached_one_after_half_of_it() {
    let mut polled = cached_list(DiscoveryMode::Poll);
    let cached_until = START + NOTIFICATION_DEADLINE / 2.0;
    assert!(!polled.is_stale(cached_until - TimeDelta(1)) && polled.is_stale(cached_until));
    polled.confirm(cached_until);
    let confirmed_until = cached_until + NOTIFICATION_DEADLINE + GRACE;
    assert!(!polled.is_stale(confirmed_until - TimeDelta(1)) && polled.is_stale(confirmed_until));
    polled.confirm(confirmed_until);
    assert!(!polled.is_stale(confirmed_until));
}

#[test]
fn a_pushed_list_is_never_stale() {
    let pushed = cached_list(DiscoveryMode::Push);
    assert!(!pushed.is_stale(START + NOTIFICATION_DEADLINE * 100.0));
}

// Guards against a list of the former address that is used for as long as one that the new address has confirmed.
#[test]
fn a_move_of_discovery_shortens_the_use_of_a_polled_list_until_it_is_confirmed() {
    const MOVE_DEADLINE: TimeDelta = TimeDelta(4_000_000);
    let mut polled = cached_list(DiscoveryMode::Poll);
    polled.confirm(START);
    let moved_at = START + TimeDelta(1_000_000);
    polled.record_move(moved_at);
    // Later moves do not extend the use of a list that nobody has confirmed since the first.
    polled.record_move(moved_at + TimeDelta(1_000_000));
    let usable_until = moved_at + MOVE_DEADLINE + GRACE;
    assert!(!polled.is_stale(usable_until - TimeDelta(1)) && polled.is_stale(usable_until));
    polled.confirm(usable_until);
    let confirmed_until = usable_until + NOTIFICATION_DEADLINE + GRACE;
    assert!(!polled.is_stale(confirmed_until - TimeDelta(1)) && polled.is_stale(confirmed_until));
    // A move does not extend the use of an old list.
    polled.record_move(confirmed_until - TimeDelta(1));
    assert!(polled.is_stale(confirmed_until));
    let mut pushed = cached_list(DiscoveryMode::Push);
    pushed.record_move(START);
    assert!(!pushed.is_stale(START + NOTIFICATION_DEADLINE * 100.0));
}
