//! The influence of one peer on the sustainable ratio is bounded, whatever it reports.

mod support;

use harrierdock_admission::latency_histogram::LatencyHistogram;
use harrierdock_admission::load_report::{decode, encode, LoadCounts, LoadReport};
use harrierdock_admission::{AdmissionController, AdmissionRequest, Event};
use harrierdock_types::{AttemptOutcome, ClassId, PeerId, RequestId, TimeDelta, Timestamp, ZoneId};
use proptest::prelude::*;
use support::{parameters, report, OBJECTIVE_US};

/// A gateway that has been overloaded for two seconds, and has reports with correct counts from `peers` peers. Their sequence numbers start
/// 30 above `first_sequence_number`.
fn gateway_with_peers(peers: usize, first_sequence_number: u32) -> AdmissionController {
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
            let (id, remaining) = (RequestId(n as u64), TimeDelta(3 * OBJECTIVE_US));
            let (class, age) = (n % 3, TimeDelta::ZERO);
            let request = AdmissionRequest {
                id,
                class: ClassId(class),
                tenant: None,
                zones: 0,
                age,
                remaining,
                may_have_effect: false,
            };
            admission.decide(now, &request);
            let (zone, outcome, duration) = (
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
                        duration,
                    },
                );
            }
        }
        if tick >= 30 {
            for from in 0..peers {
                let report = correct_report(first_sequence_number + tick as u32);
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

fn correct_report(sequence_number: u32) -> LoadReport {
    let mut counts = LoadCounts::new(3, 2, 3);
    (counts.offered, counts.in_flight, counts.answered) =
        (vec![20.0; 3], vec![12.0; 2], vec![15.0; 2]);
    counts
        .histograms
        .iter_mut()
        .for_each(|histogram| (1..12).for_each(|n| histogram.record(n as f32 / 10.0)));
    let head = LoadReport {
        incarnation: 1,
        sequence_number,
        sustainable_ratio: Some(0.7),
        ..LoadReport::default()
    };
    decode(&encode(&head, &counts, 0).0).expect("report")
}

fn ratio_after(mut admission: AdmissionController, received: &[(usize, LoadReport)]) -> f32 {
    for (from, report) in received {
        admission.handle(
            Timestamp(40 * 50_000),
            Event::ReportReceived {
                from: PeerId(*from),
                report: report.clone(),
            },
        );
    }
    // Two ticks, so that the ratio includes the reports received last.
    admission.handle(Timestamp(40 * 50_000), Event::TimerFired);
    admission.handle(Timestamp(41 * 50_000), Event::TimerFired);
    admission
        .rates()
        .sustainable_ratio()
        .expect("a sustainable ratio after load")
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 128, ..ProptestConfig::default() })]

    #[test]
    fn one_peer_with_wrong_counts_moves_the_ratio_by_less_than_eight_gateways_would(wrong in report(), peers in 8..40_usize) {
        let wrong = LoadReport { incarnation: 1, sequence_number: 9, ..wrong };
        let (without, with) = (ratio_after(gateway_with_peers(peers, 1), &[]), ratio_after(gateway_with_peers(peers, 1), &[(150, wrong)]));
        let max_change = 1.0 + 8.0 / peers as f32;
        prop_assert!(
            (1.0 / max_change..=max_change).contains(&(with / without)),
            "the ratio changed from {} to {}",
            without,
            with
        );
    }

    #[test]
    fn an_outdated_duplicated_or_foreign_report_changes_nothing(wrong in report(), case in 0..4_usize) {
        let (sequence_number, incarnation, from) = match case {
            0 => (40, 1, 3),
            1 => (u32::MAX, 0, 3),
            2 => (u32::MAX, 2, 3),
            _ => (u32::MAX, 1, 777),
        };
        let wrong = LoadReport { sequence_number, incarnation, ..wrong };
        prop_assert_eq!(ratio_after(gateway_with_peers(12, 1), &[(from, wrong)]), ratio_after(gateway_with_peers(12, 1), &[]));
    }
}

#[test]
fn a_report_of_total_overload_or_of_no_load_has_bounded_influence() {
    let baseline = ratio_after(gateway_with_peers(24, 1), &[]);
    let mut overload = correct_report(9);
    (overload.in_flight, overload.answered) = (vec![6e5; 2], vec![0.0; 2]);
    overload
        .histograms
        .iter_mut()
        .for_each(|(_, histogram)| histogram.counts[23] = 6e5);
    let mut no_load = correct_report(9);
    (no_load.in_flight, no_load.answered, no_load.offered) =
        (vec![0.0; 2], vec![6e5; 2], vec![0.0; 3]);
    let (with_overload, with_no_load) = (
        ratio_after(gateway_with_peers(24, 1), &[(150, overload)]),
        ratio_after(gateway_with_peers(24, 1), &[(150, no_load)]),
    );
    println!(
        "ratio {baseline:.3}; with a report of overload: {with_overload:.3}; with a report of no load: {with_no_load:.3}"
    );
    assert!(with_overload < baseline && with_overload > 0.75 * baseline);
    assert!(with_no_load > baseline && with_no_load < 1.4 * baseline);
}

/// Of all reports tried, these moved the ratio furthest: the highest counts, and histograms with a single response time. Without a
/// bound per class, a report with all responses in one class determines that class's quantiles, and so the target response time.
#[test]
fn the_worst_known_reports_move_the_ratio_by_less_than_eight_gateways_would() {
    const HIGHEST_COUNT: f32 = 6e5;
    let wrong_report =
        |in_flight: f32, offered: f32, answered: f32, histograms: &[(usize, usize)]| {
            let histogram = |bucket| {
                let mut histogram = LatencyHistogram::default();
                histogram.counts[bucket] = HIGHEST_COUNT;
                histogram
            };
            let histograms = histograms
                .iter()
                .map(|(index, bucket)| (*index, histogram(*bucket)))
                .collect();
            let (offered, in_flight, answered) =
                (vec![offered; 3], vec![in_flight; 2], vec![answered; 2]);
            let head = LoadReport {
                incarnation: 1,
                sequence_number: 9,
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
    let all_in = |bucket| -> Vec<(usize, usize)> { (0..6).map(|index| (index, bucket)).collect() };
    let wrong_reports = [
        (
            "no response of a class arrives",
            wrong_report(HIGHEST_COUNT, HIGHEST_COUNT, 0.0, &[(0, 23)]),
        ),
        (
            "the responses of a class arrive at once",
            wrong_report(HIGHEST_COUNT, HIGHEST_COUNT, 0.0, &[(0, 0)]),
        ),
        (
            "the responses of a class arrive at two times",
            wrong_report(HIGHEST_COUNT, HIGHEST_COUNT, 0.0, &[(0, 5), (1, 8)]),
        ),
        (
            "all responses arrive late",
            wrong_report(0.0, 0.0, HIGHEST_COUNT, &all_in(23)),
        ),
        (
            "all responses arrive just in time",
            wrong_report(0.0, 0.0, HIGHEST_COUNT, &all_in(18)),
        ),
        (
            "everything is overloaded",
            wrong_report(HIGHEST_COUNT, HIGHEST_COUNT, 0.0, &all_in(21)),
        ),
    ];
    for peers in [8, 13, 26, 39] {
        let without = ratio_after(gateway_with_peers(peers, 1), &[]);
        for (name, wrong) in &wrong_reports {
            let with = ratio_after(gateway_with_peers(peers, 1), &[(150, wrong.clone())]);
            let max_change = 1.0 + 8.0 / peers as f32;
            let bounds = 1.0 / max_change..=max_change;
            assert!(
                bounds.contains(&(with / without)),
                "{name}, {peers} peers: the ratio changed from {without} to {with}"
            );
        }
    }
}
