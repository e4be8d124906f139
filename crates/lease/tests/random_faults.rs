//! Whatever happens, no two may act at one time, and epochs never decrease.

mod support;

use harrierdock_lease::Event;
use proptest::prelude::*;
use support::Simulation;

#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Ends(usize),
    Still(usize, i64),
    /// Copies of what was sent come once more, so late.
    Again(usize, i64),
    Cut(usize),
    Whole,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..5usize).prop_map(Fault::Kill),
        (0..5usize).prop_map(Fault::Ends),
        (0..5usize, 100..5000i64).prop_map(|(node, ms)| Fault::Still(node, ms)),
        (0..200usize, 0..3000i64).prop_map(|(n, ms)| Fault::Again(n, ms)),
        (0..4usize).prop_map(Fault::Cut),
        Just(Fault::Whole),
    ]
}

fn cut(which: usize) -> fn(usize, usize, i64) -> bool {
    match which {
        0 => |from, to, _| (from < 2) == (to < 2),
        1 => |from, to, _| from >= 2 || to < 2,
        2 => |from, to, now| (from + to) as i64 % 3 != now / 500_000 % 3,
        _ => |from, to, now| (now / 1000 * 7 + (from * 3 + to) as i64) % 10 > 2,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 192, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn no_two_hold_a_lease_and_epochs_never_decrease_under_random_faults(
        rates in prop::collection::vec(0.98..1.02f64, 5),
        faults in prop::collection::vec((50..1500i64, fault()), 1..24),
    ) {
        let mut simulation = Simulation::new(5, 3);
        simulation.rates = rates;
        let mut at = 3_000;
        simulation.run(at);
        for (after, fault) in faults {
            match fault {
                Fault::Kill(node) => {
                    simulation.kill(node);
                    simulation.start(node);
                }
                Fault::Ends(node) => simulation.give(node, Event::ShutdownStarted),
                Fault::Still(node, ms) => simulation.stalled_until[node] = simulation.now + ms * 1000,
                Fault::Again(n, ms) => {
                    let from = simulation.sent.len().saturating_sub(n);
                    for (from, to, bytes) in simulation.sent.split_off(from) {
                        simulation.send(from, to, bytes, ms * 1000);
                    }
                }
                Fault::Cut(which) => simulation.passes = cut(which),
                Fault::Whole => simulation.passes = |_, _, _| true,
            }
            at += after;
            simulation.run(at);
        }
        prop_assert_eq!((simulation.two_holders, simulation.older_epochs), (0, 0), "{}", simulation.lines);
        simulation.passes = |_, _, _| true;
        (0..5).for_each(|node| simulation.stalled_until[node] = 0);
        for node in 0..5 {
            simulation.kill(node);
            simulation.start(node);
        }
        simulation.run(at + 8_000);
        prop_assert!(simulation.holder().is_some(), "nobody holds at the end: {}", simulation.lines);
        prop_assert_eq!((simulation.two_holders, simulation.older_epochs), (0, 0), "{}", simulation.lines);
    }
}
