//! Properties of the data structures and of the meter: nothing is counted twice or lost, and what is dropped is counted exactly.

use std::collections::BTreeMap;

use harrierdock_flow_metering::*;
use harrierdock_types::{BuildId, TimeDelta, Timestamp};
use nanorand::{Rng, WyRand};
use proptest::prelude::*;

const SECOND: TimeDelta = TimeDelta(1_000_000);

fn observation(rng: &mut WyRand, endpoints: u32, builds: u32) -> Observation {
    Observation {
        kind: RecordKind::ALL[rng.generate_range(0..2_usize)],
        build: BuildId(rng.generate_range(1..=builds)),
        stage: rng.generate_range(0..4_u8),
        class: rng.generate_range(0..3_u8),
        outcome: FlowOutcome::ALL[rng.generate_range(0..12_usize)],
        path: FlowPath::Local,
        endpoint: Some(rng.generate_range(0..endpoints)),
        is_retry: rng.generate_range(0..10_u32) == 0,
        duration: TimeDelta(rng.generate_range(0..900_000)),
        latency_objective: TimeDelta(400_000),
        request_octets: 100,
        response_octets: 20,
    }
}

type CountsByBuild = BTreeMap<(RecordKind, BuildId), u64>;

fn add(counts: &mut CountsByBuild, flow: &Flow) {
    *counts.entry((flow.key.kind, flow.key.build)).or_default() += flow.counters.count;
}

#[test]
fn advancing_by_a_full_round_passes_no_further_tick() {
    for extra in [0, 1, 99_999, 100_000, 250_000] {
        let mut wheel: TimerWheel<u32> = TimerWheel::new(Timestamp(0), TimeDelta(100_000), 4);
        let now = Timestamp(400_000 + extra);
        wheel.advance(now);
        let until_next = wheel.next_tick() - now;
        let within_a_tick = TimeDelta(1)..=TimeDelta(100_000);
        assert!(
            within_a_tick.contains(&until_next),
            "{extra}: {until_next:?}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    #[test]
    fn the_flow_table_behaves_like_an_ordered_map(moves in proptest::collection::vec((0..3_u8, 0..60_u32), 1..600)) {
        let mut rng = WyRand::new_seed(1);
        let key = |n: u32, rng: &mut WyRand| FlowKey { endpoint: Some(n), build: BuildId(n % 7), ..FlowKey::of(&observation(rng, 1, 1), None) };
        let keys: Vec<FlowKey> = (0..60).map(|n| key(n, &mut rng)).collect();
        let (mut table, mut plain) = (FlowTable::new(), BTreeMap::new());
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
    fn each_timer_expires_once_never_early_and_late_by_less_than_a_tick(
        steps in proptest::collection::vec((0..3_000_000_i64, 0..400_000_i64), 1..200)
    ) {
        let mut wheel = TimerWheel::new(Timestamp(0), TimeDelta(100_000), 34);
        let (mut now, mut pending) = (Timestamp(0), BTreeMap::new());
        for (no, (after, pass)) in steps.into_iter().enumerate() {
            let at = now + TimeDelta(after);
            pending.insert(no, at);
            wheel.schedule(at, no);
            now = now + TimeDelta(pass);
            for no in wheel.advance(now) {
                let at = pending.remove(&no).expect("each timer expires once");
                prop_assert!(at <= now);
            }
            prop_assert!(pending.values().all(|at| now - *at < TimeDelta(200_000)), "{:?} at {:?}", pending, now);
        }
    }

    #[test]
    fn an_item_above_the_fair_share_of_a_counter_is_a_heavy_hitter(seed in 0..1000_u64) {
        let mut rng = WyRand::new_seed(seed);
        let (mut sketch, mut plain) = (HeavyHitters::new(16), BTreeMap::<u32, u64>::new());
        for _ in 0..5000 {
            let who = if rng.generate::<f64>() < 0.5 { rng.generate_range(0..6) } else { rng.generate_range(0..3000) };
            sketch.observe(who);
            *plain.entry(who).or_default() += 1;
        }
        for (who, count) in plain {
            if count > sketch.total() / 16 {
                prop_assert!(sketch.count(who).is_some_and(|c| c >= count));
            }
        }
    }

    /// Whatever keys churn and however long the collector is unreachable.
    #[test]
    fn collected_and_dropped_counts_add_up_to_the_observed_ones(seed in 0..1000_u64, most in 1..400_usize, unreachable_rounds in 0..200_u32) {
        let mut rng = WyRand::new_seed(seed);
        let mut now = Timestamp(1_000_000_000);
        let mut flows = FlowMeter::new(now, SECOND);
        let mut pending = PendingFlows::new(most);
        let (mut observed, mut collected) = (CountsByBuild::new(), CountsByBuild::new());
        let mut ignored = 0;
        for round in 0..250_u32 {
            for _ in 0..40 {
                let one = observation(&mut rng, 10_000, 1 + round / 10);
                *observed.entry((one.kind, one.build)).or_default() += 1;
                flows.observe(now, &one);
            }
            now = now + TimeDelta(100_000);
            flows.take_expired(now).into_iter().for_each(|f| pending.add(f));
            prop_assert!(pending.len() <= most && flows.len() <= 2 * MAX_FLOW_KEYS);
            if round >= unreachable_rounds {
                while let Some(flow) = pending.pop_first() {
                    add(&mut collected, &flow);
                }
            }
            ignored = flows.ignored().iter().sum::<u64>();
        }
        flows.take_all(now).into_iter().for_each(|f| pending.add(f));
        while let Some(flow) = pending.pop_first() {
            add(&mut collected, &flow);
        }
        let total = |counts: &CountsByBuild, kind: RecordKind| counts.iter().filter(|(k, _)| k.0 == kind).map(|(_, n)| n).sum::<u64>();
        let dropped = pending.dropped();
        prop_assert_eq!(ignored, 0);
        for kind in RecordKind::ALL {
            prop_assert_eq!(total(&observed, kind), total(&collected, kind) + dropped.counts[kind as usize]);
        }
        if dropped.flows == 0 {
            prop_assert_eq!(&observed, &collected, "counts by build are exact");
        }
    }
}

#[test]
fn an_hour_without_a_collector_needs_the_space_of_a_minute_and_drops_nothing_while_keys_stay() {
    let mut rng = WyRand::new_seed(9);
    let mut now = Timestamp(1_000_000_000);
    let (mut flows, mut pending) = (
        FlowMeter::new(now, SECOND),
        PendingFlows::new(MAX_FLOW_KEYS),
    );
    let (mut after_a_minute, mut observed) = (0, CountsByBuild::new());
    for second in 0..3600 {
        for _ in 0..100 {
            let one = observation(&mut rng, 70, 2);
            *observed.entry((one.kind, one.build)).or_default() += 1;
            flows.observe(now, &one);
        }
        now = now + SECOND;
        flows
            .take_expired(now)
            .into_iter()
            .for_each(|f| pending.add(f));
        if second == 60 {
            after_a_minute = pending.len();
        }
    }
    flows.take_all(now).into_iter().for_each(|f| pending.add(f));
    assert!(
        pending.len() <= MAX_FLOW_KEYS && pending.len() < 4 * after_a_minute,
        "{} {after_a_minute}",
        pending.len()
    );
    let mut collected = CountsByBuild::new();
    while let Some(flow) = pending.pop_first() {
        add(&mut collected, &flow);
    }
    assert_eq!(
        (observed, pending.dropped()),
        (collected, DroppedFlows::default())
    );
}

#[test]
fn the_export_rate_does_not_grow_with_the_traffic() {
    let exported = |rate: usize| {
        let mut rng = WyRand::new_seed(4);
        let mut now = Timestamp(1_000_000_000);
        let (mut flows, mut exported) = (FlowMeter::new(now, SECOND), 0);
        for _ in 0..600 {
            (0..rate).for_each(|_| flows.observe(now, &observation(&mut rng, 40, 2)));
            now = now + TimeDelta(100_000);
            exported += flows.take_expired(now).len();
        }
        exported as f64
    };
    // At twenty times the traffic more of the rare keys occur, but each is exported once an interval at most.
    assert!(
        exported(2000) < 4.0 * exported(100),
        "{} {}",
        exported(100),
        exported(2000)
    );
}

#[test]
fn counters_saturate_instead_of_wrapping() {
    let mut counters = FlowCounters {
        count: u64::MAX - 1,
        duration_us: u64::MAX,
        ..FlowCounters::default()
    };
    counters.merge(&FlowCounters {
        count: 5,
        duration_us: 5,
        ..FlowCounters::default()
    });
    assert_eq!((counters.count, counters.duration_us), (u64::MAX, u64::MAX));
}
