//! The cost of an admission decision, and of merging histograms compared with sorting the response times themselves.

use harrierdock_types::TenantId;
use harrierdock_types::ZoneId;
use harrierdock_types::{ClassId, PeerId};
use std::hint::black_box;

use criterion::{criterion_group, criterion_main, Criterion};
use harrierdock_admission::latency_histogram::LatencyHistogram;
use harrierdock_admission::load_report::{decode, encode, LoadCounts, LoadReport};
use harrierdock_admission::{AdmissionController, AdmissionParameters, AdmissionRequest, Event};
use harrierdock_types::{AttemptOutcome, ClassParameters, RequestId};
use harrierdock_types::{TimeDelta, Timestamp};

fn admission(peers: usize) -> AdmissionController {
    let class = |priority_weight| ClassParameters {
        latency_objective: TimeDelta(500_000),
        timeout: TimeDelta(1_500_000),
        priority_weight,
        ..ClassParameters::default()
    };
    let classes = vec![class(1.0), class(5.0), class(5.0)];
    let parameters = AdmissionParameters {
        classes,
        zone_count: 3,
        tenant_quotas: vec![1.0; 4],
        incarnation: 1,
        ..AdmissionParameters::default()
    };
    let mut admission = AdmissionController::new(parameters);
    for peer in 0..peers {
        admission.handle(
            Timestamp(0),
            Event::MemberChanged {
                peer: PeerId(peer),
                incarnation: Some(1),
            },
        );
    }
    admission
}

fn request(id: u64) -> AdmissionRequest {
    let (class, tenant) = (id as usize % 3, Some(id as usize % 4));
    AdmissionRequest {
        id: RequestId(id),
        class: ClassId(class),
        tenant: tenant.map(TenantId),
        zones: 0,
        age: TimeDelta::ZERO,
        remaining: TimeDelta(1_500_000),
        may_have_effect: false,
    }
}

fn load_counts() -> LoadCounts {
    let mut counts = LoadCounts::new(3, 3, 4);
    (counts.offered, counts.in_flight, counts.answered) =
        (vec![20.0; 3], vec![9.0; 3], vec![12.0; 3]);
    counts
        .histograms
        .iter_mut()
        .for_each(|histogram| (1..12).for_each(|n| histogram.record(n as f32 / 10.0)));
    counts
}

fn overloaded(peers: usize) -> (AdmissionController, Timestamp) {
    let (mut admission, mut now) = (admission(peers), Timestamp(0));
    for sequence_number in 0..40 {
        now = now + TimeDelta(50_000);
        for id in 0..30 {
            black_box(admission.decide(now, &request(id)));
            admission.handle(
                now,
                Event::AttemptStarted {
                    zone: ZoneId(id as usize % 3),
                },
            );
        }
        for n in 0..15_usize {
            let (class, zone, outcome, duration) =
                (n % 3, n % 3, AttemptOutcome::Succeeded, TimeDelta(300_000));
            admission.handle(
                now,
                Event::AttemptFinished {
                    class: ClassId(class),
                    zone: ZoneId(zone),
                    outcome,
                    duration,
                },
            );
        }
        let head = LoadReport {
            incarnation: 1,
            sequence_number,
            sustainable_ratio: Some(0.6),
            ..LoadReport::default()
        };
        let report = decode(&encode(&head, &load_counts(), 0).0).expect("an encoded report");
        (0..peers).for_each(|from| {
            drop(admission.handle(
                now,
                Event::ReportReceived {
                    from: PeerId(from),
                    report: report.clone(),
                },
            ))
        });
        admission.handle(now, Event::TimerFired);
    }
    (admission, now)
}

fn decisions(criterion: &mut Criterion) {
    let ((mut idle, mut overloaded), mut id) = ((admission(0), overloaded(40)), 0);
    criterion.bench_function("decide, nothing known", |b| {
        b.iter(|| {
            id += 1;
            black_box(idle.decide(Timestamp(0), &request(id)))
        })
    });
    criterion.bench_function("decide, in an overload", |b| {
        b.iter(|| {
            id += 1;
            black_box(overloaded.0.decide(overloaded.1, &request(id)))
        })
    });
    criterion.bench_function("a tick with 40 peers' reports", |b| {
        b.iter(|| {
            overloaded.1 = overloaded.1 + TimeDelta(50_000);
            black_box(overloaded.0.handle(overloaded.1, Event::TimerFired))
        })
    });
}

fn merging(criterion: &mut Criterion) {
    let times: Vec<Vec<f32>> = (0..40)
        .map(|peer| {
            (0..100)
                .map(|n| ((peer * 31 + n * 17) % 97) as f32 / 60.0 + 0.05)
                .collect()
        })
        .collect();
    let histograms: Vec<LatencyHistogram> = times
        .iter()
        .map(|times| {
            let mut histogram = LatencyHistogram::default();
            times.iter().for_each(|time| histogram.record(*time));
            histogram
        })
        .collect();
    criterion.bench_function("merge 40 histograms and read the probability", |b| {
        b.iter(|| {
            let mut all = LatencyHistogram::default();
            black_box(&histograms)
                .iter()
                .for_each(|s| all.merge(s, 0.9));
            black_box(all.distribution().probability_within(0.8))
        })
    });
    criterion.bench_function(
        "merge 40 sorted lists of 100 and read the probability",
        |b| {
            b.iter(|| {
                let mut all: Vec<f32> = black_box(&times).iter().flatten().copied().collect();
                all.sort_unstable_by(f32::total_cmp);
                black_box(all.partition_point(|t| *t <= 0.8) as f32 / all.len() as f32)
            })
        },
    );
    let (head, counts) = (
        LoadReport {
            incarnation: 1,
            sustainable_ratio: Some(0.6),
            ..LoadReport::default()
        },
        load_counts(),
    );
    let (bytes, _) = encode(&head, &counts, 0);
    criterion.bench_function("encode a load report", |b| {
        b.iter(|| black_box(encode(&head, &counts, 0)))
    });
    criterion.bench_function("decode a load report", |b| {
        b.iter(|| black_box(decode(&bytes)))
    });
}

criterion_group!(benches, decisions, merging);
criterion_main!(benches);
