//! What holds for any events: bounded memory, bounded waits, bounded reports, and finite numbers.

mod support;

use harrierdock_admission::load_report::{decode, LoadReport};
use harrierdock_admission::{
    Action, AdmissionController, AdmissionRequest, Decision, Event, PeerCounts, MAX_MEMBERS,
    MAX_REPORTS, MAX_WAITING,
};
use harrierdock_types::{
    AttemptOutcome, ClassId, PeerId, RequestId, TenantId, TimeDelta, Timestamp, ZoneId,
};
use proptest::prelude::*;
use support::{parameters, report, MIN_RETRY_AFTER, OBJECTIVE_US};

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

#[derive(Clone, Debug)]
enum Step {
    Decide {
        class: usize,
        tenant: Option<usize>,
        zones: u8,
        age: i64,
        remaining: i64,
        may_have_run: bool,
    },
    Handle(Event),
    PassTime(i64),
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
        -9..OBJECTIVE_US,
        -9..3 * OBJECTIVE_US,
        any::<bool>(),
    );
    let ended = (
        0..4_usize,
        0..3_usize,
        prop::sample::select(outcomes),
        prop_oneof![0..3 * OBJECTIVE_US, Just(i64::MIN)],
    );
    let events = prop_oneof![
        (0..3_usize).prop_map(|zone| Event::AttemptStarted { zone: ZoneId(zone) }),
        ended.prop_map(|(class, zone, outcome, took)| Event::AttemptFinished {
            class: ClassId(class),
            zone: ZoneId(zone),
            outcome,
            duration: TimeDelta(took)
        }),
        (0..2000_usize, prop::option::of(0..3_u32)).prop_map(|(peer, incarnation)| {
            Event::MemberChanged {
                peer: PeerId(peer),
                incarnation,
            }
        }),
        (0..2000_usize, report()).prop_map(|(from, report)| Event::ReportReceived {
            from: PeerId(from),
            report
        }),
        (0..300_u64).prop_map(|id| Event::RequestCancelled { id: RequestId(id) }),
    ];
    let ask = ask.prop_map(
        |(class, tenant, zones, age, remaining, may_have_run)| Step::Decide {
            class,
            tenant,
            zones,
            age,
            remaining,
            may_have_run,
        },
    );
    let spans = prop_oneof![0..60_000_i64, -9..9_000_000_i64];
    prop_oneof![4 => ask, 4 => events.prop_map(Step::Handle), 3 => spans.prop_map(Step::PassTime)]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 128, ..ProptestConfig::default() })]

    #[test]
    fn state_waits_and_reports_stay_bounded_for_any_events(
        odd in odd(),
        seed: u64,
        steps in prop::collection::vec(step(), 1..300),
    ) {
        let (mut admission, mut now, mut last) = (AdmissionController::new(parameters(seed, odd)), Timestamp(1 << 40), 0);
        for step in steps {
            match step {
                Step::Decide { class, tenant, zones, age, remaining, may_have_run } => {
                    last += 1;
                    let (id, age, expires) = (RequestId(last), TimeDelta(age), TimeDelta(remaining));
                    let ask = AdmissionRequest { id, class: ClassId(class), tenant: tenant.map(TenantId), zones, age, remaining: expires, may_have_run };
                    let decision = admission.decide(now, &ask);
                    prop_assert!(!(may_have_run && class == 2) || decision == Decision::Admit, "it may have run");
                    match decision {
                        Decision::Wait { at_most } => {
                            prop_assert!(at_most > TimeDelta::ZERO && at_most <= TimeDelta(OBJECTIVE_US / 10))
                        }
                        Decision::Reject { retry_after } => {
                            let after = retry_after.expect("a time is configured");
                            prop_assert!(after >= MIN_RETRY_AFTER && after <= MIN_RETRY_AFTER + TimeDelta(2 * OBJECTIVE_US), "{:?}", after);
                        }
                        Decision::Admit => prop_assert!(remaining > 0 || may_have_run || class > 2),
                    }
                }
                Step::Handle(event) => drop(admission.handle(now, event)),
                Step::PassTime(span) => {
                    now = now + TimeDelta(span);
                    for action in admission.handle(now, Event::TimerFired) {
                        if let Action::SendReport { bytes, .. } = action {
                            prop_assert!(bytes.len() <= 256 && decode(&bytes).is_ok());
                        }
                    }
                }
            }
            let PeerCounts { members, reports } = admission.peer_counts();
            prop_assert!(members <= MAX_MEMBERS && reports <= MAX_REPORTS);
            prop_assert!(admission.waiting_count() <= MAX_WAITING);
            let rates = admission.rates();
            let part = |p| rates.admitted_ratio(p, None, 0);
            prop_assert!((0..3).all(|p| part(ClassId(p)).is_finite() && part(ClassId(p)) >= 0.0));
            prop_assert!(rates.sustainable_ratio().is_none_or(|v| v > 0.0 && v <= 4.0) && rates.response_time_seconds().is_finite());
        }
    }
}

#[test]
fn settings_that_are_no_numbers_reject_nothing_at_the_start() {
    for odd in [f64::NAN, f64::INFINITY, -1.0] {
        let mut admission = AdmissionController::new(parameters(1, odd));
        for class in 0..3 {
            let (id, left) = (RequestId(class as u64), TimeDelta(3 * OBJECTIVE_US));
            let ask = AdmissionRequest {
                id,
                class: ClassId(class),
                tenant: Some(TenantId(1)),
                zones: 0,
                age: TimeDelta::ZERO,
                remaining: left,
                may_have_run: false,
            };
            assert_eq!(
                admission.decide(Timestamp(0), &ask),
                Decision::Admit,
                "{odd}, class {class}"
            );
        }
    }
}

/// The input that the property above was found to fail with: a peer reports a sustainable ratio far out of bounds.
#[test]
fn a_sustainable_ratio_reported_by_a_peer_is_bounded() {
    let mut admission = AdmissionController::new(parameters(0, 1.0));
    let now = Timestamp(1 << 40);
    let peer = PeerId(360);
    admission.handle(
        now,
        Event::MemberChanged {
            peer,
            incarnation: Some(1),
        },
    );
    let report = LoadReport {
        incarnation: 1,
        number: 0,
        sustainable_ratio: Some(117.30824),
        offered: vec![0.0; 3],
        offered_by_tenant: vec![0.0; 3],
        in_flight: vec![0.0; 2],
        answered: vec![27.19393, 600_000.0],
        histograms: Vec::new(),
    };
    admission.handle(now, Event::ReportReceived { from: peer, report });
    admission.handle(now + TimeDelta(53_528), Event::TimerFired);
    let rates = admission.rates();
    let ratio = rates.sustainable_ratio();
    assert!(
        ratio.is_none_or(|v| v > 0.0 && v <= 4.0) && rates.response_time_seconds().is_finite(),
        "ratio {ratio:?}, response time {}",
        rates.response_time_seconds()
    );
}
