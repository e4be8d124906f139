//! Conversion of points in time to timestamps.

use harrierdock_event_loop::Clock;
use harrierdock_types::{TimeDelta, Timestamp};

#[test]
fn a_unix_time_before_the_start_always_has_the_same_timestamp() {
    let clock = Clock::start();
    assert!(clock.now() - TimeDelta::from_seconds(3600.0) > Timestamp::default());
    let at = clock.at_unix_ms(1_700_000_000_000);
    let ages = [clock.now(), clock.now() + TimeDelta::from_seconds(1.0)].map(|now| (now, now - at));
    assert!(ages.iter().all(|(now, age)| *now - *age == at));
}
