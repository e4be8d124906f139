//! When a soak's discovery publishes changes that are made during a fault. Uses no sockets.

use std::time::Duration;

use harrierdock_fault_injection::soak::plan::{DiscoveryFault, DiscoveryWindow, Plan};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn window(fault: DiscoveryFault) -> DiscoveryWindow {
    DiscoveryWindow {
        fault,
        from: ms(1_000),
        until: ms(3_000),
    }
}

#[test]
fn changes_during_an_outage_of_discovery_are_published_at_its_end() {
    let outage = window(DiscoveryFault::Unavailable);
    for (at, published_at) in [(999, 999), (1_000, 3_000), (2_999, 3_000), (3_000, 3_000)] {
        assert_eq!(outage.published_at(ms(at)), ms(published_at), "{at} ms");
    }
}

#[test]
fn changes_during_a_delay_of_discovery_are_published_that_much_later() {
    let delay = window(DiscoveryFault::Delayed(ms(700)));
    for (at, published_at) in [(999, 999), (1_000, 1_700), (2_999, 3_699), (3_000, 3_000)] {
        assert_eq!(delay.published_at(ms(at)), ms(published_at), "{at} ms");
    }
}

#[test]
fn one_seed_in_three_draws_a_discovery_fault_and_a_drain_during_it() {
    let plans = (0..300).map(|seed| Plan::draw(seed, 3, ms(9_000)));
    let failing: Vec<Plan> = plans
        .filter(|plan| plan.discovery_window.is_some())
        .collect();
    assert!((60..140).contains(&failing.len()), "{}", failing.len());
    for plan in &failing {
        let window = plan.discovery_window.expect("the plans are filtered by it");
        let drain_at = plan.drain_at.expect("an endpoint drains during the fault");
        assert!((window.from..window.until).contains(&drain_at));
        assert!(window.until <= ms(7_000), "{window}");
    }
}
