//! Properties of the data structures and the meter: no observation is lost or counted twice, and dropped ones are counted exactly.

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

fn add_flow(counts: &mut CountsByBuild, flow: &Flow) {
    *counts.entry((flow.key.kind, flow.key.build)).or_default() += flow.counters.count;
}

#[test]
fn after_a_full_round_the_next_tick_is_at_most_a_tick_away() {
    for extra_us in [0, 1, 99_999, 100_000, 250_000] {
        let mut wheel: TimerWheel<u32> = TimerWheel::new(Timestamp(0), TimeDelta(100_000), 4);
        let now = Timestamp(400_000 + extra_us);
        wheel.advance(now);
        let until_next = wheel.next_tick() - now;
        let one_tick = TimeDelta(1)..=TimeDelta(100_000);
        assert!(
            one_tick.contains(&until_next),
            "next tick in {until_next:?}, {extra_us} us after a full round"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    #[test]
    fn the_flow_table_behaves_like_an_ordered_map(operations in proptest::collection::vec((0..3_u8, 0..60_u32), 1..600)) {
        let mut rng = WyRand::new_seed(1);
        let nth_key = |n: u32, rng: &mut WyRand| FlowKey { endpoint: Some(n), build: BuildId(n % 7), ..FlowKey::from_observation(&observation(rng, 1, 1), None) };
        let keys: Vec<FlowKey> = (0..60).map(|n| nth_key(n, &mut rng)).collect();
        let (mut table, mut model) = (FlowTable::new(), BTreeMap::new());
        for (value, (operation, key_index)) in operations.into_iter().enumerate() {
            let key = keys[key_index as usize];
            match operation {
                0 => prop_assert_eq!(table.insert(key, value), model.insert(key, value)),
                1 => prop_assert_eq!(table.remove(&key), model.remove(&key)),
                _ => prop_assert_eq!(table.get_mut(&key).copied(), model.get(&key).copied()),
            }
            prop_assert_eq!(table.len(), model.len());
        }
        let mut rows = table.drain();
        rows.sort();
        prop_assert_eq!(rows, model.into_iter().collect::<Vec<_>>());
    }

    #[test]
    fn each_timer_expires_once_never_early_and_late_by_less_than_a_tick(
        steps in proptest::collection::vec((0..3_000_000_i64, 0..400_000_i64), 1..200)
    ) {
        let mut wheel = TimerWheel::new(Timestamp(0), TimeDelta(100_000), 34);
        let (mut now, mut pending) = (Timestamp(0), BTreeMap::new());
        for (timer, (delay_us, elapsed_us)) in steps.into_iter().enumerate() {
            let deadline = now + TimeDelta(delay_us);
            pending.insert(timer, deadline);
            wheel.schedule(deadline, timer);
            now = now + TimeDelta(elapsed_us);
            for timer in wheel.advance(now) {
                let deadline = pending.remove(&timer).expect("a timer expired twice");
                prop_assert!(deadline <= now);
            }
            prop_assert!(pending.values().all(|deadline| now - *deadline < TimeDelta(200_000)), "{:?} at {:?}", pending, now);
        }
    }

    #[test]
    fn an_item_observed_more_often_than_the_average_counter_is_a_heavy_hitter(seed in 0..1000_u64) {
        let mut rng = WyRand::new_seed(seed);
        let (mut sketch, mut exact) = (HeavyHitters::new(16), BTreeMap::<u32, u64>::new());
        for _ in 0..5000 {
            let item = if rng.generate::<f64>() < 0.5 { rng.generate_range(0..6) } else { rng.generate_range(0..3000) };
            sketch.observe(item);
            *exact.entry(item).or_default() += 1;
        }
        for (item, count) in exact {
            if count > sketch.total() / 16 {
                prop_assert!(sketch.count(item).is_some_and(|estimate| estimate >= count));
            }
        }
    }

    /// Holds for any churn of builds and any length of a collector outage.
    #[test]
    fn collected_and_dropped_counts_add_up_to_the_observed_ones(seed in 0..1000_u64, max_keys in 1..400_usize, unreachable_rounds in 0..200_u32) {
        let mut rng = WyRand::new_seed(seed);
        let mut now = Timestamp(1_000_000_000);
        let mut meter = FlowMeter::new(now, SECOND);
        let mut pending = PendingFlows::new(max_keys);
        let (mut observed, mut collected) = (CountsByBuild::new(), CountsByBuild::new());
        let mut ignored = 0;
        for round in 0..250_u32 {
            for _ in 0..40 {
                let observation = observation(&mut rng, 10_000, 1 + round / 10);
                *observed.entry((observation.kind, observation.build)).or_default() += 1;
                meter.observe(now, &observation);
            }
            now = now + TimeDelta(100_000);
            meter.take_expired(now).into_iter().for_each(|flow| pending.add(flow));
            prop_assert!(pending.len() <= max_keys && meter.len() <= 2 * MAX_FLOW_KEYS);
            if round >= unreachable_rounds {
                while let Some(flow) = pending.pop_first() {
                    add_flow(&mut collected, &flow);
                }
            }
            ignored = meter.ignored().iter().sum::<u64>();
        }
        meter.take_all(now).into_iter().for_each(|flow| pending.add(flow));
        while let Some(flow) = pending.pop_first() {
            add_flow(&mut collected, &flow);
        }
        let total = |counts: &CountsByBuild, kind: RecordKind| counts.iter().filter(|(key, _)| key.0 == kind).map(|(_, count)| count).sum::<u64>();
        let dropped = pending.dropped();
        prop_assert_eq!(ignored, 0);
        for kind in RecordKind::ALL {
            prop_assert_eq!(total(&observed, kind), total(&collected, kind) + dropped.counts[kind as usize]);
        }
        if dropped.flows == 0 {
            prop_assert_eq!(&observed, &collected, "the counts by build differ");
        }
    }
}

#[test]
fn pending_flows_stay_bounded_and_complete_during_an_hour_without_a_collector() {
    let mut rng = WyRand::new_seed(9);
    let mut now = Timestamp(1_000_000_000);
    let (mut meter, mut pending) = (
        FlowMeter::new(now, SECOND),
        PendingFlows::new(MAX_FLOW_KEYS),
    );
    let (mut len_after_a_minute, mut observed) = (0, CountsByBuild::new());
    for second in 0..3600 {
        for _ in 0..100 {
            let observation = observation(&mut rng, 70, 2);
            *observed
                .entry((observation.kind, observation.build))
                .or_default() += 1;
            meter.observe(now, &observation);
        }
        now = now + SECOND;
        meter
            .take_expired(now)
            .into_iter()
            .for_each(|flow| pending.add(flow));
        if second == 60 {
            len_after_a_minute = pending.len();
        }
    }
    meter
        .take_all(now)
        .into_iter()
        .for_each(|flow| pending.add(flow));
    assert!(
        pending.len() <= MAX_FLOW_KEYS && pending.len() < 4 * len_after_a_minute,
        "{} pending flows after an hour, {len_after_a_minute} after a minute",
        pending.len()
    );
    let mut collected = CountsByBuild::new();
    while let Some(flow) = pending.pop_first() {
        add_flow(&mut collected, &flow);
    }
    assert_eq!(
        (observed, pending.dropped()),
        (collected, DroppedFlows::default())
    );
}

#[test]
fn the_export_rate_does_not_grow_with_the_traffic() {
    let count_exported_flows = |observations_per_round: usize| {
        let mut rng = WyRand::new_seed(4);
        let mut now = Timestamp(1_000_000_000);
        let (mut meter, mut exported) = (FlowMeter::new(now, SECOND), 0);
        for _ in 0..600 {
            (0..observations_per_round)
                .for_each(|_| meter.observe(now, &observation(&mut rng, 40, 2)));
            now = now + TimeDelta(100_000);
            exported += meter.take_expired(now).len();
        }
        exported as f64
    };
    // Twenty times the traffic reaches more of the rare keys, but each key is exported at most once per active timeout.
    assert!(
        count_exported_flows(2000) < 4.0 * count_exported_flows(100),
        "{} flows exported, {} with twenty times the traffic",
        count_exported_flows(100),
        count_exported_flows(2000)
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
