//! Compares the data structures of flow metering with those of the standard library, at the sizes that a gateway uses.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hint::black_box;

use criterion::{criterion_group, criterion_main, Criterion};
use harrierdock_flow_metering::*;
use harrierdock_types::{BuildId, TimeDelta, Timestamp};
use nanorand::{Rng, WyRand};

fn nth_key(n: u32) -> FlowKey {
    FlowKey {
        kind: RecordKind::Attempt,
        build: BuildId(40 + n % 2),
        stage: (n / 2 % 4) as u8,
        class: (n / 8 % 3) as u8,
        outcome: FlowOutcome::ALL[(n / 24 % 8) as usize],
        path: FlowPath::Local,
        endpoint: Some(n / 192),
    }
}

/// Draws 10,000 keys out of `key_count`; low numbers are much more frequent.
fn draw_lookups(key_count: u32) -> Vec<FlowKey> {
    let mut rng = WyRand::new_seed(5);
    let mut draw_key = || {
        let ratio = rng.generate::<f64>();
        nth_key((ratio * ratio * f64::from(key_count)) as u32)
    };
    (0..10_000).map(|_| draw_key()).collect()
}

fn tables(criterion: &mut Criterion) {
    for key_count in [60, 4096] {
        let lookups = draw_lookups(key_count);
        let mut group =
            criterion.benchmark_group(format!("count 10,000 observations under {key_count} keys"));
        group.bench_function("FlowTable", |b| {
            let mut table = FlowTable::new();
            b.iter(|| {
                for key in &lookups {
                    match table.get_mut(key) {
                        Some(count) => *count += 1,
                        None => drop(table.insert(*key, 1_u64)),
                    }
                }
                black_box(table.len())
            })
        });
        group.bench_function("BTreeMap", |b| {
            let mut map = BTreeMap::new();
            b.iter(|| {
                lookups
                    .iter()
                    .for_each(|key| *map.entry(*key).or_insert(0_u64) += 1);
                black_box(map.len())
            })
        });
        group.bench_function("HashMap", |b| {
            let mut map = HashMap::new();
            b.iter(|| {
                lookups
                    .iter()
                    .for_each(|key| *map.entry(*key).or_insert(0_u64) += 1);
                black_box(map.len())
            })
        });
    }
}

fn wheels(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("4,096 timers, each rescheduled when it expires");
    let tick = TimeDelta(250_000);
    group.bench_function("TimerWheel", |b| {
        let mut now = Timestamp(0);
        let mut wheel = TimerWheel::new(now, tick, 10);
        (0..4096_u32).for_each(|n| wheel.schedule(now + TimeDelta(i64::from(n) * 244), n));
        b.iter(|| {
            now = now + tick;
            let expired = wheel.advance(now);
            expired
                .into_iter()
                .for_each(|n| wheel.schedule(now + TimeDelta(1_000_000), n));
        })
    });
    group.bench_function("BTreeSet", |b| {
        let mut now = Timestamp(0);
        let mut set: BTreeSet<(Timestamp, u32)> = (0..4096_u32)
            .map(|n| (now + TimeDelta(i64::from(n) * 244), n))
            .collect();
        b.iter(|| {
            now = now + tick;
            while let Some(first) = set.first().copied().filter(|timer| timer.0 <= now) {
                set.pop_first();
                set.insert((now + TimeDelta(1_000_000), first.1));
            }
        })
    });
}

fn recording(criterion: &mut Criterion) {
    let mut rng = WyRand::new_seed(8);
    let mut observation = |key: &FlowKey| Observation {
        kind: key.kind,
        build: key.build,
        stage: key.stage,
        class: key.class,
        outcome: key.outcome,
        path: key.path,
        endpoint: key.endpoint,
        is_retry: false,
        duration: TimeDelta(rng.generate_range(0..500_000)),
        latency_objective: TimeDelta(400_000),
        request_octets: 10,
        response_octets: 10,
    };
    let observations: Vec<Observation> = draw_lookups(4096).iter().map(&mut observation).collect();
    criterion.bench_function("record 10,000 observations", |b| {
        let mut meter = FlowMeter::new(Timestamp(0), TimeDelta(1_000_000));
        b.iter(|| {
            observations
                .iter()
                .for_each(|observation| meter.observe(Timestamp(1), observation))
        })
    });
}

criterion_group!(benches, tables, wheels, recording);
criterion_main!(benches);
