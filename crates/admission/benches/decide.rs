//! What a decision costs on a request's path, and what merging sketches costs beside the plain way: keeping the
//! answer times themselves, in order.

use harrierdock_types::TenantId;
use harrierdock_types::ZoneId;
use harrierdock_types::{ClassId, PeerId};
use std::hint::black_box;

use criterion::{criterion_group, criterion_main, Criterion};
use harrierdock_admission::latency_histogram::Sketch;
use harrierdock_admission::load_report::{read, write, Figures, News};
use harrierdock_admission::{Admission, Ask, Event, Place};
use harrierdock_types::{AttemptOutcome, ClassParameters, RequestId};
use harrierdock_types::{TimeDelta, Timestamp};

fn admission(peers: usize) -> Admission {
    let terms = |priority_weight| ClassParameters {
        latency_objective: TimeDelta(500_000),
        timeout: TimeDelta(1_500_000),
        priority_weight,
        ..ClassParameters::default()
    };
    let classes = vec![terms(1.0), terms(5.0), terms(5.0)];
    let place = Place {
        classes,
        zones: 3,
        tenant_quotas: vec![1.0; 4],
        incarnation: 1,
        ..Place::default()
    };
    let mut admission = Admission::new(place);
    for peer in 0..peers {
        admission.take(
            Timestamp(0),
            Event::Member {
                peer: PeerId(peer),
                incarnation: Some(1),
            },
        );
    }
    admission
}

fn ask(id: u64) -> Ask {
    let (class, tenant) = (id as usize % 3, Some(id as usize % 4));
    Ask {
        id: RequestId(id),
        class: ClassId(class),
        tenant: tenant.map(TenantId),
        zones: 0,
        age: TimeDelta::ZERO,
        left: TimeDelta(1_500_000),
        ran: false,
    }
}

fn figures() -> Figures {
    let mut figures = Figures::new(3, 3, 4);
    (figures.offered, figures.open, figures.answered) =
        (vec![20.0; 3], vec![9.0; 3], vec![12.0; 3]);
    figures
        .sketches
        .iter_mut()
        .for_each(|s| (1..12).for_each(|n| s.add(n as f32 / 10.0)));
    figures
}

fn overloaded(peers: usize) -> (Admission, Timestamp) {
    let (mut admission, mut now) = (admission(peers), Timestamp(0));
    for number in 0..40 {
        now = now + TimeDelta(50_000);
        for id in 0..30 {
            black_box(admission.decide(now, &ask(id)));
            admission.take(
                now,
                Event::Sent {
                    zone: ZoneId(id as usize % 3),
                },
            );
        }
        for n in 0..15_usize {
            let (class, zone, outcome, took) =
                (n % 3, n % 3, AttemptOutcome::Succeeded, TimeDelta(300_000));
            admission.take(
                now,
                Event::Ended {
                    class: ClassId(class),
                    zone: ZoneId(zone),
                    outcome,
                    took,
                },
            );
        }
        let head = News {
            incarnation: 1,
            number,
            view: Some(0.6),
            ..News::default()
        };
        let news = read(&write(&head, &figures(), 0).0).expect("news");
        (0..peers).for_each(|from| {
            drop(admission.take(
                now,
                Event::Heard {
                    from: PeerId(from),
                    news: news.clone(),
                },
            ))
        });
        admission.take(now, Event::Wake);
    }
    (admission, now)
}

fn decisions(c: &mut Criterion) {
    let ((mut calm, mut busy), mut id) = ((admission(0), overloaded(40)), 0);
    c.bench_function("decide, nothing known", |b| {
        b.iter(|| {
            id += 1;
            black_box(calm.decide(Timestamp(0), &ask(id)))
        })
    });
    c.bench_function("decide, in an overload", |b| {
        b.iter(|| {
            id += 1;
            black_box(busy.0.decide(busy.1, &ask(id)))
        })
    });
    c.bench_function("a beat with 40 peers heard", |b| {
        b.iter(|| {
            busy.1 = busy.1 + TimeDelta(50_000);
            black_box(busy.0.take(busy.1, Event::Wake))
        })
    });
}

fn merging(c: &mut Criterion) {
    let times: Vec<Vec<f32>> = (0..40)
        .map(|peer| {
            (0..100)
                .map(|n| ((peer * 31 + n * 17) % 97) as f32 / 60.0 + 0.05)
                .collect()
        })
        .collect();
    let sketches: Vec<Sketch> = times
        .iter()
        .map(|of| {
            let mut sketch = Sketch::default();
            of.iter().for_each(|t| sketch.add(*t));
            sketch
        })
        .collect();
    c.bench_function("merge 40 sketches and read the chance", |b| {
        b.iter(|| {
            let mut all = Sketch::default();
            black_box(&sketches).iter().for_each(|s| all.merge(s, 0.9));
            black_box(all.odds().within(0.8))
        })
    });
    c.bench_function("merge 40 sorted lists of 100 and read the chance", |b| {
        b.iter(|| {
            let mut all: Vec<f32> = black_box(&times).iter().flatten().copied().collect();
            all.sort_unstable_by(f32::total_cmp);
            black_box(all.partition_point(|t| *t <= 0.8) as f32 / all.len() as f32)
        })
    });
    let (head, figures) = (
        News {
            incarnation: 1,
            view: Some(0.6),
            ..News::default()
        },
        figures(),
    );
    let (bytes, _) = write(&head, &figures, 0);
    c.bench_function("write news", |b| {
        b.iter(|| black_box(write(&head, &figures, 0)))
    });
    c.bench_function("read news", |b| b.iter(|| black_box(read(&bytes))));
}

criterion_group!(benches, decisions, merging);
criterion_main!(benches);
