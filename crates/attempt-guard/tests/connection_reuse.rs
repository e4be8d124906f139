//! An idle connection cools down, becomes reusable, then expires.

use harrierdock_attempt_guard::{IdleState, ReusePolicy};
use harrierdock_types::{TimeDelta, Timestamp};

#[test]
fn an_idle_connection_is_reusable_after_its_cooldown_until_its_endpoint_may_close_it() {
    let policy = ReusePolicy::new(TimeDelta(250_000), TimeDelta(30_000_000));
    let idle_times_us = [0, 19_999, 20_000, 29_749_999, 29_750_000];
    let states = idle_times_us.map(|idle| policy.state(Timestamp(7), Timestamp(7 + idle)));
    assert_eq!(
        states,
        [
            IdleState::CoolingDown,
            IdleState::CoolingDown,
            IdleState::Reusable,
            IdleState::Reusable,
            IdleState::Expired
        ]
    );
    // If endpoints close idle connections within the connect timeout, no connection is reused.
    let short_idle_timeout = ReusePolicy::new(TimeDelta(900_000), TimeDelta(400_000));
    assert_eq!(
        short_idle_timeout.state(Timestamp(0), Timestamp(0)),
        IdleState::Expired
    );
}
