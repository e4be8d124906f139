//! Properties of the structures and of what is kept: sums stay whole, what is dropped is counted to the unit.

use std::collections::BTreeMap;

use harrierdock_flow_metering::*;
use harrierdock_types::{TimeDelta, Timestamp};
use nanorand::{Rng, WyRand};
use proptest::prelude::*;

const SECOND: TimeDelta = TimeDelta(1_000_000);

fn ended(chance: &mut WyRand, endpoints: u32, builds: u32) -> Ended {
    Ended {
        kind: Kind::ALL[chance.generate_range(0..2_usize)],
        build: chance.generate_range(1..=builds),
        stage: chance.generate_range(0..4_u8),
        class: chance.generate_range(0..3_u8),
        outcome: Outcome::ALL[chance.generate_range(0..12_usize)],
        road: Road::Here,
        endpoint: Some(chance.generate_range(0..endpoints)),
        second: chance.generate_range(0..10_u32) == 0,
        took: TimeDelta(chance.generate_range(0..900_000)),
        sla: TimeDelta(400_000),
        out: 100,
        back: 20,
    }
}

type ByBuild = BTreeMap<(Kind, u32), u64>;

fn add(sums: &mut ByBuild, flow: &Flow) {
    *sums.entry((flow.key.kind, flow.key.build)).or_default() += flow.sums.count;
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    #[test]
    fn the_table_does_what_an_ordered_map_does(moves in proptest::collection::vec((0..3_u8, 0..60_u32), 1..600)) {
        let mut chance = WyRand::new_seed(1);
        let key = |n: u32, chance: &mut WyRand| Key { endpoint: Some(n), build: n % 7, ..Key::of(&ended(chance, 1, 1), None) };
        let keys: Vec<Key> = (0..60).map(|n| key(n, &mut chance)).collect();
        let (mut table, mut plain) = (Table::new(), BTreeMap::new());
        for (at, (what, n)) in moves.into_iter().enumerate() {
            let key = keys[n as usize];
            match what {
                0 => prop_assert_eq!(table.insert(key, at), plain.insert(key, at)),
                1 => prop_assert_eq!(table.remove(&key), plain.remove(&key)),
                _ => prop_assert_eq!(table.get_mut(&key).copied(), plain.get(&key).copied()),
            }
            prop_assert_eq!(table.len(), plain.len());
        }
        let mut rows = table.drain();
        rows.sort();
        prop_assert_eq!(rows, plain.into_iter().collect::<Vec<_>>());
    }

    #[test]
    fn the_wheel_gives_back_each_once_never_early_and_late_by_less_than_a_turn(
        steps in proptest::collection::vec((0..3_000_000_i64, 0..400_000_i64), 1..200)
    ) {
        let mut wheel = Wheel::new(Timestamp(0), TimeDelta(100_000), 34);
        let (mut now, mut due) = (Timestamp(0), BTreeMap::new());
        for (no, (after, pass)) in steps.into_iter().enumerate() {
            let at = now + TimeDelta(after);
            due.insert(no, at);
            wheel.set(at, no);
            now = now + TimeDelta(pass);
            for no in wheel.turn(now) {
                let at = due.remove(&no).expect("each comes once");
                prop_assert!(at <= now);
            }
            prop_assert!(due.values().all(|at| now - *at < TimeDelta(200_000)), "{:?} at {:?}", due, now);
        }
    }

    #[test]
    fn the_sketch_has_whoever_has_more_than_a_counters_share(seed in 0..1000_u64) {
        let mut chance = WyRand::new_seed(seed);
        let (mut sketch, mut plain) = (Busiest::new(16), BTreeMap::<u32, u64>::new());
        for _ in 0..5000 {
            let who = if chance.generate::<f64>() < 0.5 { chance.generate_range(0..6) } else { chance.generate_range(0..3000) };
            sketch.touch(who);
            *plain.entry(who).or_default() += 1;
        }
        for (who, count) in plain {
            if count > sketch.total() / 16 {
                prop_assert!(sketch.count(who).is_some_and(|c| c >= count));
            }
        }
    }

    /// Whatever churns and however long the collector is away, what came and what was dropped add up.
    #[test]
    fn collected_and_dropped_add_up_to_what_was_recorded(seed in 0..1000_u64, most in 1..400_usize, away in 0..200_u32) {
        let mut chance = WyRand::new_seed(seed);
        let mut now = Timestamp(1_000_000_000);
        let mut flows = Flows::new(now, SECOND);
        let mut pending = Pending::new(most);
        let (mut recorded, mut collected) = (ByBuild::new(), ByBuild::new());
        let mut ignored = 0;
        for round in 0..250_u32 {
            for _ in 0..40 {
                let one = ended(&mut chance, 10_000, 1 + round / 10);
                *recorded.entry((one.kind, one.build)).or_default() += 1;
                flows.record(now, &one);
            }
            now = now + TimeDelta(100_000);
            flows.due(now).into_iter().for_each(|f| pending.add(f));
            prop_assert!(pending.len() <= most && flows.len() <= 2 * KEYS);
            if round >= away {
                while let Some(flow) = pending.take() {
                    add(&mut collected, &flow);
                }
            }
            ignored = flows.ignored.iter().sum::<u64>();
        }
        flows.flush(now).into_iter().for_each(|f| pending.add(f));
        while let Some(flow) = pending.take() {
            add(&mut collected, &flow);
        }
        let total = |sums: &ByBuild, kind: Kind| sums.iter().filter(|(k, _)| k.0 == kind).map(|(_, n)| n).sum::<u64>();
        let dropped = pending.dropped();
        prop_assert_eq!(ignored, 0);
        for kind in Kind::ALL {
            prop_assert_eq!(total(&recorded, kind), total(&collected, kind) + dropped.counts[kind as usize]);
        }
        if dropped.flows == 0 {
            prop_assert_eq!(&recorded, &collected, "sums by release are exact");
        }
    }
}

#[test]
fn an_hour_without_a_collector_costs_what_a_minute_does_and_loses_nothing_while_keys_do_not_churn()
{
    let mut chance = WyRand::new_seed(9);
    let mut now = Timestamp(1_000_000_000);
    let (mut flows, mut pending) = (Flows::new(now, SECOND), Pending::new(KEYS));
    let (mut after_a_minute, mut recorded) = (0, ByBuild::new());
    for second in 0..3600 {
        for _ in 0..100 {
            let one = ended(&mut chance, 70, 2);
            *recorded.entry((one.kind, one.build)).or_default() += 1;
            flows.record(now, &one);
        }
        now = now + SECOND;
        flows.due(now).into_iter().for_each(|f| pending.add(f));
        if second == 60 {
            after_a_minute = pending.len();
        }
    }
    flows.flush(now).into_iter().for_each(|f| pending.add(f));
    assert!(
        pending.len() <= KEYS && pending.len() < 4 * after_a_minute,
        "{} {after_a_minute}",
        pending.len()
    );
    let mut collected = ByBuild::new();
    while let Some(flow) = pending.take() {
        add(&mut collected, &flow);
    }
    assert_eq!(
        (recorded, pending.dropped()),
        (collected, Dropped::default())
    );
}

#[test]
fn what_is_told_does_not_follow_the_traffic() {
    let told = |rate: usize| {
        let mut chance = WyRand::new_seed(4);
        let mut now = Timestamp(1_000_000_000);
        let (mut flows, mut told) = (Flows::new(now, SECOND), 0);
        for _ in 0..600 {
            (0..rate).for_each(|_| flows.record(now, &ended(&mut chance, 40, 2)));
            now = now + TimeDelta(100_000);
            told += flows.due(now).len();
        }
        told as f64
    };
    // Twenty times the traffic: more of the rare keys are met, and no more than all of them are told.
    assert!(told(2000) < 4.0 * told(100), "{} {}", told(100), told(2000));
}

#[test]
fn sums_do_not_wrap() {
    let mut sums = Sums {
        count: u64::MAX - 1,
        time: u64::MAX,
        ..Sums::default()
    };
    sums.merge(&Sums {
        count: 5,
        time: 5,
        ..Sums::default()
    });
    assert_eq!((sums.count, sums.time), (u64::MAX, u64::MAX));
}
