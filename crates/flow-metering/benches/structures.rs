//! The data structures of flow metering beside those of the standard library, at the sizes of a gateway.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hint::black_box;

use criterion::{criterion_group, criterion_main, Criterion};
use harrierdock_flow_metering::*;
use harrierdock_types::{BuildId, TimeDelta, Timestamp};
use nanorand::{Rng, WyRand};

fn key(n: u32) -> FlowKey {
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

/// Ten thousand lookups of so many keys, some much more frequent than others.
fn lookups(keys: u32) -> Vec<FlowKey> {
    let mut rng = WyRand::new_seed(5);
    let mut one = || {
        let part = rng.generate::<f64>();
        key((part * part * f64::from(keys)) as u32)
    };
    (0..10_000).map(|_| one()).collect()
}

fn tables(c: &mut Criterion) {
    for keys in [60, 4096] {
        let lookups = lookups(keys);
        let mut group = c.benchmark_group(format!("touch 10,000 times, {keys} keys"));
        group.bench_function("table", |b| {
            let mut table = FlowTable::new();
            b.iter(|| {
                for key in &lookups {
                    match table.get_mut(key) {
                        Some(n) => *n += 1,
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

fn wheels(c: &mut Criterion) {
    let mut group = c.benchmark_group("4,096 time-outs, each set again as it comes");
    let tick = TimeDelta(250_000);
    group.bench_function("wheel", |b| {
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
            while let Some(first) = set.first().copied().filter(|f| f.0 <= now) {
                set.pop_first();
                set.insert((now + TimeDelta(1_000_000), first.1));
            }
        })
    });
}

fn recording(c: &mut Criterion) {
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
    let observations: Vec<Observation> = lookups(4096).iter().map(&mut observation).collect();
    c.bench_function("record 10,000 endings", |b| {
        let mut flows = FlowMeter::new(Timestamp(0), TimeDelta(1_000_000));
        b.iter(|| {
            observations
                .iter()
                .for_each(|e| flows.observe(Timestamp(1), e))
        })
    });
}

criterion_group!(benches, tables, wheels, recording);
criterion_main!(benches);
