//! The texts that gateways gossip in datagrams, byte for byte.

mod golden;

use golden::{check, exact, Case};
use harrierdock_types::gossip;
use harrierdock_types::{
    Arm, AttemptOutcome, BuildId, ClassId, GossipId, GossipMessage, LatencyReport, OutcomeReport,
    ReportedEvent,
};

const RESULTS: [(&str, ReportedEvent); 10] = [
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

/// The middle of the step in which a response time is sent, 40 being the last within the deadline.
fn time(step: i32) -> f64 {
    ((f64::from(step) - 40.5) / 8.0).exp2()
}

fn result(
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

fn results(counts: [usize; 3], reports: Vec<OutcomeReport>) -> GossipMessage {
    GossipMessage::OutcomeReports {
        received: counts[0],
        first_tries: counts[1],
        in_flight: counts[2],
        reports,
    }
}

fn single(event: OutcomeReport) -> GossipMessage {
    results([1, 1, 0], vec![event])
}

fn slow(shed_ratio: f64, latencies: Vec<(u16, f64)>) -> GossipMessage {
    let report = |(gossip_id, latency_ratio)| LatencyReport {
        gossip_id: GossipId(gossip_id),
        latency_ratio,
    };
    GossipMessage::LatencyReports {
        shed_ratio,
        reports: latencies.into_iter().map(report).collect(),
    }
}

fn compare(golden: &str, cases: &[Case<GossipMessage, GossipMessage>]) {
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
            "{name} fits no datagram"
        );
    }
}

#[test]
fn votes_on_a_rollout() {
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
    compare(include_str!("golden/gossip_votes.txt"), &cases);
}

#[test]
fn results_of_requests() {
    let mut cases = vec![
        exact("none", results([0, 0, 0], vec![])),
        exact("largest_counts", results([usize::MAX; 3], vec![])),
        exact(
            "zeros",
            single(result(
                0,
                0,
                0,
                ReportedEvent::Attempt(AttemptOutcome::Succeeded),
                time(0),
            )),
        ),
        exact(
            "ones",
            single(result(u16::MAX, 63, 15, ReportedEvent::Complaint, time(63))),
        ),
    ];
    for (n, (name, event)) in RESULTS.into_iter().enumerate() {
        cases.push(exact(
            name,
            single(result(0x1234 + n as u16, 7 + n as u32, n, event, time(20))),
        ));
    }
    // Finer or larger than the encoding holds.
    let served = |build, class, latency_ratio| {
        single(result(500, build, class, RESULTS[0].1, latency_ratio))
    };
    let coarse = [
        ("build_64", served(64, 2, 1.0), served(0, 2, time(40))),
        (
            "build_largest",
            served(u32::MAX, 2, 1.0),
            served(63, 2, time(40)),
        ),
        ("product_16", served(9, 16, 1.0), served(9, 0, time(40))),
        ("at_deadline", served(9, 2, 1.0), served(9, 2, time(40))),
        (
            "past_deadline",
            served(9, 2, 1.000_001),
            served(9, 2, time(41)),
        ),
        ("half_deadline", served(9, 2, 0.5), served(9, 2, time(32))),
        ("no_time", served(9, 2, 0.0), served(9, 2, time(0))),
        ("negative_time", served(9, 2, -1.0), served(9, 2, time(0))),
        ("nan_time", served(9, 2, f64::NAN), served(9, 2, time(0))),
        (
            "infinite_time",
            served(9, 2, f64::INFINITY),
            served(9, 2, time(63)),
        ),
    ];
    cases.extend(coarse.map(|(name, value, decoded)| (name.into(), value, decoded)));
    let many = |n: usize| {
        result(
            1600 * n as u16,
            n as u32,
            n % 16,
            RESULTS[n % 10].1,
            time(n as i32),
        )
    };
    cases.push(exact(
        "forty",
        results(
            [100, 90, 7],
            (0..gossip::MAX_OUTCOME_REPORTS).map(many).collect(),
        ),
    ));
    compare(include_str!("golden/gossip_results.txt"), &cases);
}

#[test]
fn slow_endpoints_and_load_shedding() {
    let pace = |step: i32| (f64::from(step - 128) / 8.0).exp2();
    let mut cases = vec![
        exact("none", slow(0.0, vec![])),
        exact("shed_all", slow(1.0, vec![])),
        exact("usual", slow(0.0, vec![(1, 1.0)])),
        exact(
            "twice",
            slow(21.0 / 63.0, vec![(700, 2.0), (u16::MAX, 0.5)]),
        ),
        exact("ends", slow(0.0, vec![(0, pace(0)), (u16::MAX, pace(255))])),
        exact(
            "sixty",
            slow(
                0.0,
                (0..60)
                    .map(|n| (n as u16 * 1000, pace(4 * n + 3)))
                    .collect(),
            ),
        ),
    ];
    let coarse = [
        ("shed_half", slow(0.5, vec![]), slow(31.0 / 63.0, vec![])),
        ("shed_below", slow(-1.0, vec![]), slow(0.0, vec![])),
        ("shed_above", slow(2.0, vec![]), slow(1.0, vec![])),
        ("shed_nan", slow(f64::NAN, vec![]), slow(0.0, vec![])),
        (
            "rounded",
            slow(0.0, vec![(5, 1.04), (6, 1.05)]),
            slow(0.0, vec![(5, 1.0), (6, pace(129))]),
        ),
        (
            "nothing",
            slow(0.0, vec![(5, 0.0)]),
            slow(0.0, vec![(5, pace(0))]),
        ),
        (
            "infinite",
            slow(0.0, vec![(5, f64::INFINITY)]),
            slow(0.0, vec![(5, pace(255))]),
        ),
    ];
    cases.extend(coarse.map(|(name, value, decoded)| (name.into(), value, decoded)));
    compare(include_str!("golden/gossip_slow.txt"), &cases);
}
