//! How long an unconfirmed endpoint list is acted on.

use harrierdock_attempt_guard::{ListFreshness, NOTIFICATION_DEADLINE};
use harrierdock_types::{DiscoveryMode, Parameters, SafetyParameters, TimeDelta, Timestamp};

const START: Timestamp = Timestamp(7_000_000);
const GRACE: TimeDelta = TimeDelta(500_000);

fn kept_over_start(discovery_mode: DiscoveryMode) -> ListFreshness {
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
    let mut polled = kept_over_start(DiscoveryMode::Poll);
    let half = START + NOTIFICATION_DEADLINE / 2.0;
    assert!(!polled.is_stale(half - TimeDelta(1)) && polled.is_stale(half));
    polled.confirm(half);
    let whole = half + NOTIFICATION_DEADLINE + GRACE;
    assert!(!polled.is_stale(whole - TimeDelta(1)) && polled.is_stale(whole));
    polled.confirm(whole);
    assert!(!polled.is_stale(whole));
}

#[test]
fn a_pushed_list_is_never_stale() {
    let pushed = kept_over_start(DiscoveryMode::Push);
    assert!(!pushed.is_stale(START + NOTIFICATION_DEADLINE * 100.0));
}
