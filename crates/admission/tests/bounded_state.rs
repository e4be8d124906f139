//! Invariants for arbitrary events: bounded memory, waits and report sizes, and finite numbers.

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

fn unusual_number() -> impl Strategy<Value = f64> {
    let numbers = [
        1.0,
        0.0,
        -3.0,
        f64::NAN,
        f64::INFINITY,
        f64::NEG_INFINITY,
        f64::MIN_POSITIVE,
        1e300,
    ];
    prop::sample::select(numbers.to_vec())
}

#[derive(Clone, Debug)]
enum Step {
    Decide {
        class: usize,
        tenant: Option<usize>,
        zones: u8,
        age: i64,
        remaining: i64,
        may_have_effect: bool,
    },
    Handle(Event),
    /// Advances the time by this many microseconds, backwards if negative, and fires the timer.
    PassTime(i64),
}

fn step() -> impl Strategy<Value = Step> {
    let outcomes = vec![
        AttemptOutcome::Succeeded,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Rejected,
        AttemptOutcome::ConnectFailed,
    ];
    let request = (
        0..4_usize,
        prop::option::of(0..5_usize),
        any::<u8>(),
        -9..OBJECTIVE_US,
        -9..3 * OBJECTIVE_US,
        any::<bool>(),
    );
    let finished_attempt = (
        0..4_usize,
        0..3_usize,
        prop::sample::select(outcomes),
        prop_oneof![0..3 * OBJECTIVE_US, Just(i64::MIN)],
    );
    let events = prop_oneof![
        (0..3_usize).prop_map(|zone| Event::AttemptStarted { zone: ZoneId(zone) }),
        finished_attempt.prop_map(
            |(class, zone, outcome, duration_us)| Event::AttemptFinished {
                class: ClassId(class),
                zone: ZoneId(zone),
                outcome,
                duration: TimeDelta(duration_us)
            }
        ),
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
    let decide =
        request.prop_map(
            |(class, tenant, zones, age, remaining, may_have_effect)| Step::Decide {
                class,
                tenant,
                zones,
                age,
                remaining,
                may_have_effect,
            },
        );
    let intervals = prop_oneof![0..60_000_i64, -9..9_000_000_i64];
    prop_oneof![4 => decide, 4 => events.prop_map(Step::Handle), 3 => intervals.prop_map(Step::PassTime)]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 128, ..ProptestConfig::default() })]

    #[test]
    fn state_waits_and_reports_stay_bounded_for_any_events(
        unusual in unusual_number(),
        seed: u64,
        steps in prop::collection::vec(step(), 1..300),
    ) {
        let (mut admission, mut now, mut last_id) = (AdmissionController::new(parameters(seed, unusual)), Timestamp(1 << 40), 0);
        for step in steps {
            match step {
                Step::Decide { class, tenant, zones, age, remaining, may_have_effect } => {
                    last_id += 1;
                    let request = AdmissionRequest {
                        id: RequestId(last_id),
                        class: ClassId(class),
                        tenant: tenant.map(TenantId),
                        zones,
                        age: TimeDelta(age),
                        remaining: TimeDelta(remaining),
                        may_have_effect,
                    };
                    let decision = admission.decide(now, &request);
                    prop_assert!(
                        !(may_have_effect && class == 2) || decision == Decision::Admit,
                        "a non-idempotent request that may have taken effect was not admitted"
                    );
                    match decision {
                        Decision::Wait { max_wait } => {
                            prop_assert!(max_wait > TimeDelta::ZERO && max_wait <= TimeDelta(OBJECTIVE_US / 10))
                        }
                        Decision::Reject { retry_after } => {
                            let retry_after = retry_after.expect("a minimum retry-after time is configured");
                            let max = MIN_RETRY_AFTER + TimeDelta(2 * OBJECTIVE_US);
                            prop_assert!(retry_after >= MIN_RETRY_AFTER && retry_after <= max, "{:?}", retry_after);
                        }
                        Decision::Admit => prop_assert!(remaining > 0 || may_have_effect || class > 2),
                    }
                }
                Step::Handle(event) => drop(admission.handle(now, event)),
                Step::PassTime(interval_us) => {
                    now = now + TimeDelta(interval_us);
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
            let admitted_ratio = |class| rates.admitted_ratio(ClassId(class), None, 0);
            prop_assert!((0..3).all(|class| admitted_ratio(class).is_finite() && admitted_ratio(class) >= 0.0));
            prop_assert!(rates.sustainable_ratio().is_none_or(|ratio| ratio > 0.0 && ratio <= 4.0) && rates.response_time_seconds().is_finite());
        }
    }
}

#[test]
fn unusual_numbers_in_the_parameters_reject_nothing_at_the_start() {
    for unusual in [f64::NAN, f64::INFINITY, -1.0] {
        let mut admission = AdmissionController::new(parameters(1, unusual));
        for class in 0..3 {
            let (id, remaining) = (RequestId(class as u64), TimeDelta(3 * OBJECTIVE_US));
            let request = AdmissionRequest {
                id,
                class: ClassId(class),
                tenant: Some(TenantId(1)),
                zones: 0,
                age: TimeDelta::ZERO,
                remaining,
                may_have_effect: false,
            };
            assert_eq!(
                admission.decide(Timestamp(0), &request),
                Decision::Admit,
                "{unusual}, class {class}"
            );
        }
    }
}

/// Guards against an input that failed the property above: a peer reports a sustainable ratio far outside the bounds.
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
        sequence_number: 0,
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
        ratio.is_none_or(|ratio| ratio > 0.0 && ratio <= 4.0)
            && rates.response_time_seconds().is_finite(),
        "ratio {ratio:?}, response time {}",
        rates.response_time_seconds()
    );
}
