//! Under random faults, no two gateways may act at the same time, and epochs never decrease.

mod support;

use harrierdock_lease::Event;
use proptest::prelude::*;
use support::Simulation;

#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    ShutDown(usize),
    Stall {
        node: usize,
        duration_ms: i64,
    },
    /// Duplicates of the latest messages arrive after a delay.
    Duplicate {
        count: usize,
        delay_ms: i64,
    },
    /// Partitions the network in one of several patterns.
    Partition(usize),
    Heal,
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..5usize).prop_map(Fault::Kill),
        (0..5usize).prop_map(Fault::ShutDown),
        (0..5usize, 100..5000i64)
            .prop_map(|(node, duration_ms)| Fault::Stall { node, duration_ms }),
        (0..200usize, 0..3000i64)
            .prop_map(|(count, delay_ms)| Fault::Duplicate { count, delay_ms }),
        (0..4usize).prop_map(Fault::Partition),
        Just(Fault::Heal),
    ]
}

/// Returns whether a message from one gateway to another passes at a time in microseconds.
fn partition(pattern: usize) -> fn(usize, usize, i64) -> bool {
    match pattern {
        0 => |from, to, _| (from < 2) == (to < 2),
        1 => |from, to, _| from >= 2 || to < 2,
        2 => |from, to, now| (from + to) as i64 % 3 != now / 500_000 % 3,
        _ => |from, to, now| (now / 1000 * 7 + (from * 3 + to) as i64) % 10 > 2,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 192, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn no_two_gateways_hold_a_lease_and_epochs_never_decrease_under_random_faults(
        clock_rates in prop::collection::vec(0.98..1.02f64, 5),
        faults in prop::collection::vec((50..1500i64, any_fault()), 1..24),
    ) {
        let mut simulation = Simulation::new(5, 3);
        simulation.clock_rates = clock_rates;
        let mut now_ms = 3_000;
        simulation.run(now_ms);
        for (delay_ms, fault) in faults {
            match fault {
                Fault::Kill(node) => {
                    simulation.kill(node);
                    simulation.start(node);
                }
                Fault::ShutDown(node) => simulation.deliver(node, Event::ShutdownStarted),
                Fault::Stall { node, duration_ms } => simulation.stalled_until_us[node] = simulation.now_us + duration_ms * 1000,
                Fault::Duplicate { count, delay_ms } => {
                    let first = simulation.sent.len().saturating_sub(count);
                    for (from, to, bytes) in simulation.sent.split_off(first) {
                        simulation.send(from, to, bytes, delay_ms * 1000);
                    }
                }
                Fault::Partition(pattern) => simulation.passes = partition(pattern),
                Fault::Heal => simulation.passes = |_, _, _| true,
            }
            now_ms += delay_ms;
            simulation.run(now_ms);
        }
        prop_assert_eq!((simulation.double_holders, simulation.decreased_epochs), (0, 0), "{}", simulation.trace);
        simulation.passes = |_, _, _| true;
        (0..5).for_each(|node| simulation.stalled_until_us[node] = 0);
        for node in 0..5 {
            simulation.kill(node);
            simulation.start(node);
        }
        simulation.run(now_ms + 8_000);
        prop_assert!(simulation.holder().is_some(), "no gateway holds the lease at the end: {}", simulation.trace);
        prop_assert_eq!((simulation.double_holders, simulation.decreased_epochs), (0, 0), "{}", simulation.trace);
    }
}
