//! What holds whatever comes: bounded memory, bounded waits, bounded influence, and no number that is none.

use harrierdock_admission::latency_histogram::Sketch;
use harrierdock_admission::load_report::{read, write, Figures, News};
use harrierdock_admission::{
    Action, Admission, Ask, Decision, Event, Place, MOST_HEARD, MOST_MEMBERS, MOST_WAITING,
};
use harrierdock_types::ZoneId;
use harrierdock_types::{
    AttemptOutcome, ClassParameters, IdempotencyScope, RequestId, RetrySafety,
};
use harrierdock_types::{ClassId, PeerId, TenantId};
use harrierdock_types::{TimeDelta, Timestamp};
use proptest::prelude::*;

const SLA: i64 = 500_000;
const LEAST: TimeDelta = TimeDelta(100_000);

fn class(
    retry_safety: RetrySafety,
    priority_weight: f64,
    late_value_ratio: f64,
) -> ClassParameters {
    let (latency_objective, timeout) = (TimeDelta(SLA), TimeDelta(3 * SLA));
    ClassParameters {
        retry_safety,
        latency_objective,
        timeout,
        priority_weight,
        late_value_ratio,
    }
}

fn place(seed: u64, odd: f64) -> Place {
    let referenced = RetrySafety::IdempotencyKey {
        scope: IdempotencyScope::All,
        deduplication_window: TimeDelta(SLA),
    };
    Place {
        classes: vec![
            class(RetrySafety::Idempotent, odd, 0.0),
            class(referenced, 5.0, odd),
            class(RetrySafety::NonIdempotent, 5.0, 0.2),
        ],
        zones: 2,
        tenant_quotas: vec![0.5, odd, 0.2],
        incarnation: 1,
        retry_after: Some(LEAST),
        seed,
    }
}

fn odd() -> impl Strategy<Value = f64> {
    let odds = [
        1.0,
        0.0,
        -3.0,
        f64::NAN,
        f64::INFINITY,
        f64::NEG_INFINITY,
        f64::MIN_POSITIVE,
        1e300,
    ];
    prop::sample::select(odds.to_vec())
}

fn count() -> impl Strategy<Value = f32> {
    prop_oneof![0.0..40.0_f32, Just(0.0), Just(6e5), 0.0..6e5_f32]
}

/// News as it may be read from bytes, whoever wrote it.
fn news() -> impl Strategy<Value = News> {
    let counts = |n| prop::collection::vec(count(), n);
    let sketches = prop::collection::vec((0..6_usize, prop::array::uniform24(count())), 0..6);
    let view = prop::option::of(1e-3..1e3_f32);
    (
        counts(3),
        counts(3),
        counts(2),
        counts(2),
        sketches,
        view,
        any::<u32>(),
        0..3_u32,
    )
        .prop_map(
            |(offered, tenants, open, answered, sketches, view, number, incarnation)| {
                let sketches = sketches
                    .into_iter()
                    .map(|(n, counts)| (n, Sketch { counts }))
                    .collect();
                News {
                    incarnation,
                    number,
                    view,
                    offered,
                    tenants,
                    open,
                    answered,
                    sketches,
                }
            },
        )
}

#[derive(Clone, Debug)]
enum Step {
    Ask {
        class: usize,
        tenant: Option<usize>,
        zones: u8,
        age: i64,
        left: i64,
        ran: bool,
    },
    Tell(Event),
    Pass(i64),
}

fn step() -> impl Strategy<Value = Step> {
    let outcomes = vec![
        AttemptOutcome::Succeeded,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Rejected,
        AttemptOutcome::ConnectFailed,
    ];
    let ask = (
        0..4_usize,
        prop::option::of(0..5_usize),
        any::<u8>(),
        -9..SLA,
        -9..3 * SLA,
        any::<bool>(),
    );
    let ended = (
        0..4_usize,
        0..3_usize,
        prop::sample::select(outcomes),
        prop_oneof![0..3 * SLA, Just(i64::MIN)],
    );
    let told = prop_oneof![
        (0..3_usize).prop_map(|zone| Event::Sent { zone: ZoneId(zone) }),
        ended.prop_map(|(class, zone, outcome, took)| Event::Ended {
            class: ClassId(class),
            zone: ZoneId(zone),
            outcome,
            took: TimeDelta(took)
        }),
        (0..2000_usize, prop::option::of(0..3_u32)).prop_map(|(peer, incarnation)| Event::Member {
            peer: PeerId(peer),
            incarnation
        }),
        (0..2000_usize, news()).prop_map(|(from, news)| Event::Heard {
            from: PeerId(from),
            news
        }),
        (0..300_u64).prop_map(|id| Event::Left { id: RequestId(id) }),
    ];
    let ask = ask.prop_map(|(class, tenant, zones, age, left, ran)| Step::Ask {
        class,
        tenant,
        zones,
        age,
        left,
        ran,
    });
    let spans = prop_oneof![0..60_000_i64, -9..9_000_000_i64];
    prop_oneof![4 => ask, 4 => told.prop_map(Step::Tell), 3 => spans.prop_map(Step::Pass)]
}

/// A gateway that has seen an overload of its own for two seconds, and as many honest peers.
fn fleet(peers: usize, number: u32) -> Admission {
    let mut admission = Admission::new(place(3, 1.0));
    (0..200).for_each(|peer| {
        drop(admission.take(
            Timestamp(0),
            Event::Member {
                peer: PeerId(peer),
                incarnation: Some(1),
            },
        ))
    });
    for beat in 0..40 {
        let now = Timestamp(beat * 50_000);
        for n in 0..12_usize {
            let (id, left) = (RequestId(n as u64), TimeDelta(3 * SLA));
            let (class, age) = (n % 3, TimeDelta::ZERO);
            let ask = Ask {
                id,
                class: ClassId(class),
                tenant: None,
                zones: 0,
                age,
                left,
                ran: false,
            };
            admission.decide(now, &ask);
            let (zone, outcome, took) = (
                n % 2,
                AttemptOutcome::Succeeded,
                TimeDelta(SLA * (n as i64 + 1) / 20),
            );
            admission.take(now, Event::Sent { zone: ZoneId(zone) });
            if n % 2 == 0 {
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
        }
        if beat >= 30 {
            for from in 0..peers {
                let news = honest(number + beat as u32);
                admission.take(
                    now,
                    Event::Heard {
                        from: PeerId(from),
                        news,
                    },
                );
            }
        }
        admission.take(now, Event::Wake);
    }
    admission
}

fn honest(number: u32) -> News {
    let mut figures = Figures::new(3, 2, 3);
    (figures.offered, figures.open, figures.answered) =
        (vec![20.0; 3], vec![12.0; 2], vec![15.0; 2]);
    figures
        .sketches
        .iter_mut()
        .for_each(|s| (1..12).for_each(|n| s.add(n as f32 / 10.0)));
    let head = News {
        incarnation: 1,
        number,
        view: Some(0.7),
        ..News::default()
    };
    read(&write(&head, &figures, 0).0).expect("news")
}

fn view_after(mut admission: Admission, heard: &[(usize, News)]) -> f32 {
    for (from, news) in heard {
        admission.take(
            Timestamp(40 * 50_000),
            Event::Heard {
                from: PeerId(*from),
                news: news.clone(),
            },
        );
    }
    // Long enough for the view to be wholly of what was heard last.
    admission.take(Timestamp(40 * 50_000), Event::Wake);
    admission.take(Timestamp(41 * 50_000), Event::Wake);
    admission.gates().view().expect("something was seen")
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 128, ..ProptestConfig::default() })]

    #[test]
    fn whatever_comes_what_is_kept_and_told_is_bounded(
        odd in odd(),
        seed: u64,
        steps in prop::collection::vec(step(), 1..300),
    ) {
        let (mut admission, mut now, mut last) = (Admission::new(place(seed, odd)), Timestamp(1 << 40), 0);
        for step in steps {
            match step {
                Step::Ask { class, tenant, zones, age, left, ran } => {
                    last += 1;
                    let (id, age, expires) = (RequestId(last), TimeDelta(age), TimeDelta(left));
                    let ask = Ask { id, class: ClassId(class), tenant: tenant.map(TenantId), zones, age, left: expires, ran };
                    let decision = admission.decide(now, &ask);
                    prop_assert!(!(ran && class == 2) || decision == Decision::Admit, "it may have run");
                    match decision {
                        Decision::Wait { at_most } => {
                            prop_assert!(at_most > TimeDelta::ZERO && at_most <= TimeDelta(SLA / 10))
                        }
                        Decision::Decline { retry_after } => {
                            let after = retry_after.expect("settings tell one");
                            prop_assert!(after >= LEAST && after <= LEAST + TimeDelta(2 * SLA), "{:?}", after);
                        }
                        Decision::Admit => prop_assert!(left > 0 || ran || class > 2),
                    }
                }
                Step::Tell(event) => drop(admission.take(now, event)),
                Step::Pass(span) => {
                    now = now + TimeDelta(span);
                    for action in admission.take(now, Event::Wake) {
                        if let Action::Tell { bytes, .. } = action {
                            prop_assert!(bytes.len() <= 256 && read(&bytes).is_ok());
                        }
                    }
                }
            }
            let (members, heard) = admission.peers();
            prop_assert!(members <= MOST_MEMBERS && heard <= MOST_HEARD);
            prop_assert!(admission.waiting() <= MOST_WAITING);
            let gates = admission.gates();
            let part = |p| gates.part(p, None, 0);
            prop_assert!((0..3).all(|p| part(ClassId(p)).is_finite() && part(ClassId(p)) >= 0.0));
            prop_assert!(gates.view().is_none_or(|v| v > 0.0 && v <= 4.0) && gates.pace.is_finite());
        }
    }

    #[test]
    fn one_that_lies_moves_nobody_far(lie in news(), peers in 8..40_usize) {
        let lie = News { incarnation: 1, number: 9, ..lie };
        let (without, with) = (view_after(fleet(peers, 1), &[]), view_after(fleet(peers, 1), &[(150, lie)]));
        let most = 1.0 + 8.0 / peers as f32;
        prop_assert!((1.0 / most..=most).contains(&(with / without)), "{} to {}", without, with);
    }

    #[test]
    fn what_is_old_doubled_or_of_another_incarnation_changes_nothing(lie in news(), which in 0..4_usize) {
        let (number, incarnation, from) = match which {
            0 => (40, 1, 3),
            1 => (u32::MAX, 0, 3),
            2 => (u32::MAX, 2, 3),
            _ => (u32::MAX, 1, 777),
        };
        let lie = News { number, incarnation, ..lie };
        prop_assert_eq!(view_after(fleet(12, 1), &[(from, lie)]), view_after(fleet(12, 1), &[]));
    }
}

#[test]
fn terms_that_are_no_numbers_decline_nothing_at_the_start() {
    for odd in [f64::NAN, f64::INFINITY, -1.0] {
        let mut admission = Admission::new(place(1, odd));
        for class in 0..3 {
            let (id, left) = (RequestId(class as u64), TimeDelta(3 * SLA));
            let ask = Ask {
                id,
                class: ClassId(class),
                tenant: Some(TenantId(1)),
                zones: 0,
                age: TimeDelta::ZERO,
                left,
                ran: false,
            };
            assert_eq!(
                admission.decide(Timestamp(0), &ask),
                Decision::Admit,
                "{odd}, product {class}"
            );
        }
    }
}

#[test]
fn a_lie_that_says_that_all_is_jammed_or_all_is_well_is_bounded() {
    let plain = view_after(fleet(24, 1), &[]);
    let mut jam = honest(9);
    (jam.open, jam.answered) = (vec![6e5; 2], vec![0.0; 2]);
    jam.sketches.iter_mut().for_each(|s| s.1.counts[23] = 6e5);
    let mut well = honest(9);
    (well.open, well.answered, well.offered) = (vec![0.0; 2], vec![6e5; 2], vec![0.0; 3]);
    let (jammed, good) = (
        view_after(fleet(24, 1), &[(150, jam)]),
        view_after(fleet(24, 1), &[(150, well)]),
    );
    println!("view {plain:.3}; one says jam: {jammed:.3}; one says all is well: {good:.3}");
    assert!(jammed < plain && jammed > 0.75 * plain && good > plain && good < 1.4 * plain);
}

/// The lies that moved the view furthest of all that were tried: counts at their limit, and sketches of one answer
/// time. One that puts all it has into one request class had the quantiles of that request class, and so the aim, to itself.
#[test]
fn the_worst_lies_known_move_the_view_by_less_than_eight_parts() {
    const HUGE: f32 = 6e5;
    let one = |open: f32, offered: f32, answered: f32, sketches: &[(usize, usize)]| {
        let sketch = |bucket| {
            let mut sketch = Sketch::default();
            sketch.counts[bucket] = HUGE;
            sketch
        };
        let sketches = sketches
            .iter()
            .map(|(n, bucket)| (*n, sketch(*bucket)))
            .collect();
        let (offered, open, answered) = (vec![offered; 3], vec![open; 2], vec![answered; 2]);
        let head = News {
            incarnation: 1,
            number: 9,
            tenants: vec![0.0; 3],
            ..News::default()
        };
        News {
            offered,
            open,
            answered,
            sketches,
            ..head
        }
    };
    let all = |bucket| -> Vec<(usize, usize)> { (0..6).map(|n| (n, bucket)).collect() };
    let lies = [
        (
            "a product's answers never come",
            one(HUGE, HUGE, 0.0, &[(0, 23)]),
        ),
        (
            "a product's answers come at once",
            one(HUGE, HUGE, 0.0, &[(0, 0)]),
        ),
        (
            "a product's answers come at two times",
            one(HUGE, HUGE, 0.0, &[(0, 5), (1, 8)]),
        ),
        ("all is answered, late", one(0.0, 0.0, HUGE, &all(23))),
        (
            "all is answered, nearly late",
            one(0.0, 0.0, HUGE, &all(18)),
        ),
        ("all is jammed", one(HUGE, HUGE, 0.0, &all(21))),
    ];
    for peers in [8, 13, 26, 39] {
        let without = view_after(fleet(peers, 1), &[]);
        for (what, lie) in &lies {
            let with = view_after(fleet(peers, 1), &[(150, lie.clone())]);
            let most = 1.0 + 8.0 / peers as f32;
            let bounds = 1.0 / most..=most;
            assert!(
                bounds.contains(&(with / without)),
                "{what}, {peers} peers: {without} to {with}"
            );
        }
    }
}

/// The input that the property above was found to fail with: a peer reports a view far out of bounds.
#[test]
fn a_view_heard_from_a_peer_is_bounded() {
    let mut admission = Admission::new(place(0, 1.0));
    let now = Timestamp(1 << 40);
    let peer = PeerId(360);
    admission.take(
        now,
        Event::Member {
            peer,
            incarnation: Some(1),
        },
    );
    let news = News {
        incarnation: 1,
        number: 0,
        view: Some(117.30824),
        offered: vec![0.0; 3],
        tenants: vec![0.0; 3],
        open: vec![0.0; 2],
        answered: vec![27.19393, 600_000.0],
        sketches: Vec::new(),
    };
    admission.take(now, Event::Heard { from: peer, news });
    admission.take(now + TimeDelta(53_528), Event::Wake);
    let gates = admission.gates();
    let view = gates.view();
    assert!(
        view.is_none_or(|v| v > 0.0 && v <= 4.0) && gates.pace.is_finite(),
        "view {view:?}, pace {}",
        gates.pace
    );
}
