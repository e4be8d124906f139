//! A peer's influence is bounded, whatever it reports.

mod support;

use harrierdock_admission::latency_histogram::LatencyHistogram;
use harrierdock_admission::load_report::{decode, encode, LoadCounts, LoadReport};
use harrierdock_admission::{AdmissionController, AdmissionRequest, Event};
use harrierdock_types::{AttemptOutcome, ClassId, PeerId, RequestId, TimeDelta, Timestamp, ZoneId};
use proptest::prelude::*;
use support::{parameters, report, OBJECTIVE_US};

/// A gateway that has seen an overload of its own for two seconds, and as many honest peers.
fn fleet(peers: usize, number: u32) -> AdmissionController {
    let mut admission = AdmissionController::new(parameters(3, 1.0));
    (0..200).for_each(|peer| {
        drop(admission.handle(
            Timestamp(0),
            Event::MemberChanged {
                peer: PeerId(peer),
                incarnation: Some(1),
            },
        ))
    });
    for tick in 0..40 {
        let now = Timestamp(tick * 50_000);
        for n in 0..12_usize {
            let (id, left) = (RequestId(n as u64), TimeDelta(3 * OBJECTIVE_US));
            let (class, age) = (n % 3, TimeDelta::ZERO);
            let ask = AdmissionRequest {
                id,
                class: ClassId(class),
                tenant: None,
                zones: 0,
                age,
                remaining: left,
                may_have_run: false,
            };
            admission.decide(now, &ask);
            let (zone, outcome, took) = (
                n % 2,
                AttemptOutcome::Succeeded,
                TimeDelta(OBJECTIVE_US * (n as i64 + 1) / 20),
            );
            admission.handle(now, Event::AttemptStarted { zone: ZoneId(zone) });
            if n % 2 == 0 {
                admission.handle(
                    now,
                    Event::AttemptFinished {
                        class: ClassId(class),
                        zone: ZoneId(zone),
                        outcome,
                        duration: took,
                    },
                );
            }
        }
        if tick >= 30 {
            for from in 0..peers {
                let report = honest(number + tick as u32);
                admission.handle(
                    now,
                    Event::ReportReceived {
                        from: PeerId(from),
                        report,
                    },
                );
            }
        }
        admission.handle(now, Event::TimerFired);
    }
    admission
}

fn honest(number: u32) -> LoadReport {
    let mut counts = LoadCounts::new(3, 2, 3);
    (counts.offered, counts.in_flight, counts.answered) =
        (vec![20.0; 3], vec![12.0; 2], vec![15.0; 2]);
    counts
        .histograms
        .iter_mut()
        .for_each(|s| (1..12).for_each(|n| s.record(n as f32 / 10.0)));
    let head = LoadReport {
        incarnation: 1,
        number,
        sustainable_ratio: Some(0.7),
        ..LoadReport::default()
    };
    decode(&encode(&head, &counts, 0).0).expect("report")
}

fn ratio_after(mut admission: AdmissionController, heard: &[(usize, LoadReport)]) -> f32 {
    for (from, report) in heard {
        admission.handle(
            Timestamp(40 * 50_000),
            Event::ReportReceived {
                from: PeerId(*from),
                report: report.clone(),
            },
        );
    }
    // Long enough for the ratio to be wholly of what was reported last.
    admission.handle(Timestamp(40 * 50_000), Event::TimerFired);
    admission.handle(Timestamp(41 * 50_000), Event::TimerFired);
    admission
        .rates()
        .sustainable_ratio()
        .expect("something was seen")
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 128, ..ProptestConfig::default() })]

    #[test]
    fn one_peer_with_wrong_counts_moves_the_ratio_by_less_than_eight_parts(lie in report(), peers in 8..40_usize) {
        let lie = LoadReport { incarnation: 1, number: 9, ..lie };
        let (without, with) = (ratio_after(fleet(peers, 1), &[]), ratio_after(fleet(peers, 1), &[(150, lie)]));
        let most = 1.0 + 8.0 / peers as f32;
        prop_assert!((1.0 / most..=most).contains(&(with / without)), "{} to {}", without, with);
    }

    #[test]
    fn an_old_duplicated_or_foreign_report_changes_nothing(lie in report(), which in 0..4_usize) {
        let (number, incarnation, from) = match which {
            0 => (40, 1, 3),
            1 => (u32::MAX, 0, 3),
            2 => (u32::MAX, 2, 3),
            _ => (u32::MAX, 1, 777),
        };
        let lie = LoadReport { number, incarnation, ..lie };
        prop_assert_eq!(ratio_after(fleet(12, 1), &[(from, lie)]), ratio_after(fleet(12, 1), &[]));
    }
}

#[test]
fn a_report_of_total_overload_or_none_has_bounded_influence() {
    let plain = ratio_after(fleet(24, 1), &[]);
    let mut jam = honest(9);
    (jam.in_flight, jam.answered) = (vec![6e5; 2], vec![0.0; 2]);
    jam.histograms.iter_mut().for_each(|s| s.1.counts[23] = 6e5);
    let mut well = honest(9);
    (well.in_flight, well.answered, well.offered) = (vec![0.0; 2], vec![6e5; 2], vec![0.0; 3]);
    let (jammed, good) = (
        ratio_after(fleet(24, 1), &[(150, jam)]),
        ratio_after(fleet(24, 1), &[(150, well)]),
    );
    println!("ratio {plain:.3}; one says jam: {jammed:.3}; one says all is well: {good:.3}");
    assert!(jammed < plain && jammed > 0.75 * plain && good > plain && good < 1.4 * plain);
}

/// The reports that moved the ratio furthest of all that were tried: counts at their limit, and histograms of one answer
/// time. One that puts all it has into one request class had the quantiles of that request class, and so the aim, to itself.
#[test]
fn the_worst_known_reports_move_the_ratio_by_less_than_eight_parts() {
    const HUGE: f32 = 6e5;
    let one = |in_flight: f32, offered: f32, answered: f32, histograms: &[(usize, usize)]| {
        let histogram = |bucket| {
            let mut histogram = LatencyHistogram::default();
            histogram.counts[bucket] = HUGE;
            histogram
        };
        let histograms = histograms
            .iter()
            .map(|(n, bucket)| (*n, histogram(*bucket)))
            .collect();
        let (offered, in_flight, answered) =
            (vec![offered; 3], vec![in_flight; 2], vec![answered; 2]);
        let head = LoadReport {
            incarnation: 1,
            number: 9,
            offered_by_tenant: vec![0.0; 3],
            ..LoadReport::default()
        };
        LoadReport {
            offered,
            in_flight,
            answered,
            histograms,
            ..head
        }
    };
    let all = |bucket| -> Vec<(usize, usize)> { (0..6).map(|n| (n, bucket)).collect() };
    let lies = [
        (
            "a class's answers never come",
            one(HUGE, HUGE, 0.0, &[(0, 23)]),
        ),
        (
            "a class's answers come at once",
            one(HUGE, HUGE, 0.0, &[(0, 0)]),
        ),
        (
            "a class's answers come at two times",
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
        let without = ratio_after(fleet(peers, 1), &[]);
        for (what, lie) in &lies {
            let with = ratio_after(fleet(peers, 1), &[(150, lie.clone())]);
            let most = 1.0 + 8.0 / peers as f32;
            let bounds = 1.0 / most..=most;
            assert!(
                bounds.contains(&(with / without)),
                "{what}, {peers} peers: {without} to {with}"
            );
        }
    }
}
