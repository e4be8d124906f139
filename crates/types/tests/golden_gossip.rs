//! Compares encoded gossip messages with golden files, byte for byte.

mod golden;

use golden::{check, exact, Case};
use harrierdock_types::gossip;
use harrierdock_types::{
    Arm, AttemptOutcome, BuildId, ClassId, GossipId, GossipMessage, LatencyReport, OutcomeReport,
    ReportedEvent,
};

/// Every reported event, with its name in the golden file.
const NAMED_EVENTS: [(&str, ReportedEvent); 10] = [
    ("served", ReportedEvent::Attempt(AttemptOutcome::Succeeded)),
    (
        "errored",
        ReportedEvent::Attempt(AttemptOutcome::ServerError),
    ),
    ("full", ReportedEvent::Attempt(AttemptOutcome::Rejected)),
    (
        "timed_out",
        ReportedEvent::Attempt(AttemptOutcome::TimedOut),
    ),
    (
        "connect_failed",
        ReportedEvent::Attempt(AttemptOutcome::ConnectFailed),
    ),
    ("reset", ReportedEvent::Attempt(AttemptOutcome::Reset)),
    (
        "recalled",
        ReportedEvent::Attempt(AttemptOutcome::Cancelled),
    ),
    ("moot", ReportedEvent::Attempt(AttemptOutcome::NotSent)),
    ("unsent", ReportedEvent::NotAttempted),
    ("complaint", ReportedEvent::Complaint),
];

/// The latency ratio that an encoded step decodes to. Step 40 is the last one within the latency objective.
fn step_ratio(step: i32) -> f64 {
    ((f64::from(step) - 40.5) / 8.0).exp2()
}

fn outcome_report(
    gossip_id: u16,
    build: u32,
    class: usize,
    event: ReportedEvent,
    latency_ratio: f64,
) -> OutcomeReport {
    OutcomeReport {
        gossip_id: GossipId(gossip_id),
        build: BuildId(build),
        class: ClassId(class),
        event,
        latency_ratio,
    }
}

fn outcome_reports(counts: [usize; 3], reports: Vec<OutcomeReport>) -> GossipMessage {
    GossipMessage::OutcomeReports {
        received: counts[0],
        original_requests: counts[1],
        in_flight: counts[2],
        reports,
    }
}

fn single_report(report: OutcomeReport) -> GossipMessage {
    outcome_reports([1, 1, 0], vec![report])
}

fn latency_reports(shed_ratio: f64, latencies: Vec<(u16, f64)>) -> GossipMessage {
    let report = |(gossip_id, latency_ratio)| LatencyReport {
        gossip_id: GossipId(gossip_id),
        latency_ratio,
    };
    GossipMessage::LatencyReports {
        shed_ratio,
        reports: latencies.into_iter().map(report).collect(),
    }
}

fn check_messages(golden: &str, cases: &[Case<GossipMessage, GossipMessage>]) {
    let decode = |bytes: &[u8]| {
        gossip::decode(std::str::from_utf8(bytes).expect("text")).expect("a message")
    };
    check(
        golden,
        cases,
        |message| gossip::encode(message).into_bytes(),
        decode,
    );
    for (name, message, _) in cases {
        assert!(
            gossip::encode(message).len() <= 256,
            "{name} is longer than 256 bytes"
        );
    }
}

#[test]
fn elimination_votes_match_the_golden_file() {
    let vote = |build, stage, weight, arm| GossipMessage::EliminationVote {
        build: BuildId(build),
        stage,
        weight,
        arm,
    };
    let cases = [
        exact("trial", vote(12, 0, 3, Arm::Canary)),
        exact("earlier", vote(12, 1, 0, Arm::Baseline)),
        exact("zeros", vote(0, 0, 0, Arm::Baseline)),
        exact(
            "largest",
            vote(u32::MAX, usize::MAX, usize::MAX, Arm::Canary),
        ),
    ];
    check_messages(include_str!("golden/gossip_votes.txt"), &cases);
}

#[test]
fn outcome_reports_match_the_golden_file() {
    let mut cases = vec![
        exact("none", outcome_reports([0, 0, 0], vec![])),
        exact("largest_counts", outcome_reports([usize::MAX; 3], vec![])),
        exact(
            "zeros",
            single_report(outcome_report(
                0,
                0,
                0,
                ReportedEvent::Attempt(AttemptOutcome::Succeeded),
                step_ratio(0),
            )),
        ),
        exact(
            "ones",
            single_report(outcome_report(
                u16::MAX,
                63,
                15,
                ReportedEvent::Complaint,
                step_ratio(63),
            )),
        ),
    ];
    for (n, (name, event)) in NAMED_EVENTS.into_iter().enumerate() {
        cases.push(exact(
            name,
            single_report(outcome_report(
                0x1234 + n as u16,
                7 + n as u32,
                n,
                event,
                step_ratio(20),
            )),
        ));
    }
    // Values whose precision or range exceeds the encoding.
    let succeeded = |build, class, latency_ratio| {
        single_report(outcome_report(
            500,
            build,
            class,
            NAMED_EVENTS[0].1,
            latency_ratio,
        ))
    };
    let inexact = [
        (
            "build_64",
            succeeded(64, 2, 1.0),
            succeeded(0, 2, step_ratio(40)),
        ),
        (
            "build_largest",
            succeeded(u32::MAX, 2, 1.0),
            succeeded(63, 2, step_ratio(40)),
        ),
        (
            "product_16",
            succeeded(9, 16, 1.0),
            succeeded(9, 0, step_ratio(40)),
        ),
        (
            "at_deadline",
            succeeded(9, 2, 1.0),
            succeeded(9, 2, step_ratio(40)),
        ),
        (
            "past_deadline",
            succeeded(9, 2, 1.000_001),
            succeeded(9, 2, step_ratio(41)),
        ),
        (
            "half_deadline",
            succeeded(9, 2, 0.5),
            succeeded(9, 2, step_ratio(32)),
        ),
        (
            "no_time",
            succeeded(9, 2, 0.0),
            succeeded(9, 2, step_ratio(0)),
        ),
        (
            "negative_time",
            succeeded(9, 2, -1.0),
            succeeded(9, 2, step_ratio(0)),
        ),
        (
            "nan_time",
            succeeded(9, 2, f64::NAN),
            succeeded(9, 2, step_ratio(0)),
        ),
        (
            "infinite_time",
            succeeded(9, 2, f64::INFINITY),
            succeeded(9, 2, step_ratio(63)),
        ),
    ];
    cases.extend(inexact.map(|(name, value, decoded)| (name.into(), value, decoded)));
    let numbered_report = |n: usize| {
        outcome_report(
            1600 * n as u16,
            n as u32,
            n % 16,
            NAMED_EVENTS[n % 10].1,
            step_ratio(n as i32),
        )
    };
    cases.push(exact(
        "forty",
        outcome_reports(
            [100, 90, 7],
            (0..gossip::MAX_OUTCOME_REPORTS)
                .map(numbered_report)
                .collect(),
        ),
    ));
    check_messages(include_str!("golden/gossip_results.txt"), &cases);
}

#[test]
fn latency_reports_match_the_golden_file() {
    let latency_ratio = |step: i32| (f64::from(step - 128) / 8.0).exp2();
    let mut cases = vec![
        exact("none", latency_reports(0.0, vec![])),
        exact("shed_all", latency_reports(1.0, vec![])),
        exact("usual", latency_reports(0.0, vec![(1, 1.0)])),
        exact(
            "twice",
            latency_reports(21.0 / 63.0, vec![(700, 2.0), (u16::MAX, 0.5)]),
        ),
        exact(
            "ends",
            latency_reports(
                0.0,
                vec![(0, latency_ratio(0)), (u16::MAX, latency_ratio(255))],
            ),
        ),
        exact(
            "sixty",
            latency_reports(
                0.0,
                (0..60)
                    .map(|n| (n as u16 * 1000, latency_ratio(4 * n + 3)))
                    .collect(),
            ),
        ),
    ];
    let inexact = [
        (
            "shed_half",
            latency_reports(0.5, vec![]),
            latency_reports(31.0 / 63.0, vec![]),
        ),
        (
            "shed_below",
            latency_reports(-1.0, vec![]),
            latency_reports(0.0, vec![]),
        ),
        (
            "shed_above",
            latency_reports(2.0, vec![]),
            latency_reports(1.0, vec![]),
        ),
        (
            "shed_nan",
            latency_reports(f64::NAN, vec![]),
            latency_reports(0.0, vec![]),
        ),
        (
            "rounded",
            latency_reports(0.0, vec![(5, 1.04), (6, 1.05)]),
            latency_reports(0.0, vec![(5, 1.0), (6, latency_ratio(129))]),
        ),
        (
            "nothing",
            latency_reports(0.0, vec![(5, 0.0)]),
            latency_reports(0.0, vec![(5, latency_ratio(0))]),
        ),
        (
            "infinite",
            latency_reports(0.0, vec![(5, f64::INFINITY)]),
            latency_reports(0.0, vec![(5, latency_ratio(255))]),
        ),
    ];
    cases.extend(inexact.map(|(name, value, decoded)| (name.into(), value, decoded)));
    check_messages(include_str!("golden/gossip_slow.txt"), &cases);
}
