//! Traces of one gateway's admission controller under overload.

use expect_test::expect;
use harrierdock_admission::load_report::decode;
use harrierdock_admission::{
    Action, AdmissionController, AdmissionParameters, AdmissionRequest, Decision, Event,
};
use harrierdock_types::PeerId;
use harrierdock_types::{
    AttemptOutcome, ClassParameters, IdempotencyScope, RequestId, RetrySafety,
};
use harrierdock_types::{ClassId, ZoneId};
use harrierdock_types::{TimeDelta, Timestamp};

const MS: TimeDelta = TimeDelta(1_000);

fn class(
    retry_safety: RetrySafety,
    latency_objective: f64,
    priority_weight: f64,
    late_value_ratio: f64,
) -> ClassParameters {
    let (latency_objective, timeout) = (MS * latency_objective, MS * 1500.0);
    ClassParameters {
        retry_safety,
        latency_objective,
        timeout,
        priority_weight,
        late_value_ratio,
    }
}

fn parameters(seed: u64) -> AdmissionParameters {
    let keyed = RetrySafety::IdempotencyKey {
        scope: IdempotencyScope::All,
        deduplication_window: MS * 1000.0,
    };
    AdmissionParameters {
        classes: vec![
            class(RetrySafety::Idempotent, 500.0, 1.0, 0.0),
            class(keyed, 600.0, 5.0, 0.0),
            class(RetrySafety::NonIdempotent, 600.0, 5.0, 0.2),
        ],
        zone_count: 2,
        tenant_quotas: Vec::new(),
        incarnation: 4,
        min_retry_after: Some(MS * 100.0),
        seed,
    }
}

struct Simulation {
    admission: AdmissionController,
    now: Timestamp,
    last_id: u64,
    actions: Vec<Action>,
    /// Waiting requests: id, class, end of the wait and longest wait.
    waiting: Vec<(RequestId, usize, Timestamp, TimeDelta)>,
}

fn simulation() -> Simulation {
    let now = Timestamp(1_000_000_000);
    let mut simulation = Simulation {
        admission: AdmissionController::new(parameters(3)),
        now,
        last_id: 0,
        actions: Vec::new(),
        waiting: Vec::new(),
    };
    simulation.handle(Event::TimerFired);
    simulation
}

impl Simulation {
    fn handle(&mut self, event: Event) {
        self.actions.extend(self.admission.handle(self.now, event));
    }

    fn decide(
        &mut self,
        class: usize,
        zones: u8,
        remaining_ms: f64,
        may_have_effect: bool,
    ) -> Decision {
        self.last_id += 1;
        let (id, remaining) = (RequestId(self.last_id), MS * remaining_ms);
        let request = AdmissionRequest {
            id,
            class: ClassId(class),
            tenant: None,
            zones,
            age: TimeDelta::ZERO,
            remaining,
            may_have_effect,
        };
        let decision = self.admission.decide(self.now, &request);
        if let Decision::Wait { max_wait } = decision {
            self.waiting
                .push((id, class, self.now + max_wait, max_wait));
        }
        decision
    }

    /// Runs ticks in which `arriving` requests of each class arrive, and each zone sends its number of responses with the given response
    /// time. Returns the admitted requests by class.
    fn run_ticks(
        &mut self,
        ticks: usize,
        arriving: usize,
        responses: [usize; 2],
        response_time_ms: f64,
    ) -> [usize; 3] {
        let mut admitted = [0; 3];
        for _ in 0..ticks {
            for (class, admitted) in admitted.iter_mut().enumerate() {
                for _ in 0..arriving {
                    if self.decide(class, 0, 1500.0, false) == Decision::Admit {
                        *admitted += 1;
                        self.handle(Event::AttemptStarted {
                            zone: ZoneId(self.last_id as usize % 2),
                        });
                    }
                }
            }
            for (zone, responses) in responses.into_iter().enumerate() {
                for n in 0..responses {
                    let (class, outcome) = (n % 3, AttemptOutcome::Succeeded);
                    self.handle(Event::AttemptFinished {
                        class: ClassId(class),
                        zone: ZoneId(zone),
                        outcome,
                        duration: MS * response_time_ms,
                    });
                }
            }
            self.now = self.now + MS * 50.0;
            self.handle(Event::TimerFired);
        }
        admitted
    }

    fn admitted_percentages(&self) -> String {
        let rates = self.admission.rates();
        let percent = |class| (rates.admitted_ratio(class, None, 0) * 100.0).round();
        format!(
            "{}%, {}%, {}% admitted",
            percent(ClassId(0)),
            percent(ClassId(1)),
            percent(ClassId(2))
        )
    }
}

#[test]
fn everything_is_admitted_without_load_data_and_while_endpoints_keep_up() {
    let mut simulation = simulation();
    let mut trace = format!("at the start: {}\n", simulation.admitted_percentages());
    simulation.run_ticks(40, 2, [3, 3], 80.0);
    trace += &format!(
        "after 2 s of quick responses: {}\n",
        simulation.admitted_percentages()
    );
    expect![[r#"
        at the start: 100%, 100%, 100% admitted
        after 2 s of quick responses: 100%, 100%, 100% admitted
    "#]]
    .assert_eq(&trace);
}

#[test]
fn the_lowest_priority_weight_is_rejected_first_and_admitted_last() {
    let mut simulation = simulation();
    simulation.run_ticks(20, 2, [3, 3], 80.0);
    let mut trace = String::new();
    for (ticks, arriving, responses) in [
        (4, 6, [4, 4]),
        (12, 6, [6, 6]),
        (20, 6, [6, 6]),
        (20, 2, [4, 4]),
    ] {
        let admitted = simulation.run_ticks(ticks, arriving, responses, 300.0);
        trace += &format!(
            "per tick {arriving} requests of each class, {responses:?} responses: {admitted:?} admitted, now {}\n",
            simulation.admitted_percentages()
        );
    }
    expect![[r#"
        per tick 6 requests of each class, [4, 4] responses: [22, 24, 24] admitted, now 0%, 97%, 97% admitted
        per tick 6 requests of each class, [6, 6] responses: [22, 72, 72] admitted, now 17%, 100%, 100% admitted
        per tick 6 requests of each class, [6, 6] responses: [6, 120, 119] admitted, now 2%, 100%, 100% admitted
        per tick 2 requests of each class, [4, 4] responses: [33, 40, 40] admitted, now 100%, 100%, 100% admitted
    "#]]
    .assert_eq(&trace);
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_rejected() {
    let mut simulation = simulation();
    simulation.run_ticks(40, 2, [3, 3], 200.0);
    let mut trace = String::new();
    for remaining_ms in [1500.0, 300.0, 150.0, 50.0, 0.0] {
        let decision = simulation.decide(1, 0, remaining_ms, false);
        trace += &format!(
            "{remaining_ms} ms remaining: {}\n",
            if decision == Decision::Admit {
                "admitted"
            } else {
                "rejected"
            }
        );
    }
    expect![[r#"
        1500 ms remaining: admitted
        300 ms remaining: admitted
        150 ms remaining: admitted
        50 ms remaining: rejected
        0 ms remaining: rejected
    "#]]
    .assert_eq(&trace);
}

#[test]
fn a_non_idempotent_request_is_not_rejected_after_an_attempt_and_others_are() {
    let mut simulation = simulation();
    simulation.run_ticks(60, 6, [1, 1], 1400.0);
    let mut trace = format!("{}\n", simulation.admitted_percentages());
    for class in 0..3 {
        let rejected = (0..40)
            .filter(|_| simulation.decide(class, 0, 1.0, true) != Decision::Admit)
            .count();
        trace += &format!("class {class} after an attempt: {rejected} of 40 rejected\n");
    }
    expect![[r#"
        0%, 7%, 7% admitted
        class 0 after an attempt: 40 of 40 rejected
        class 1 after an attempt: 40 of 40 rejected
        class 2 after an attempt: 0 of 40 rejected
    "#]]
    .assert_eq(&trace);
}

#[test]
fn requests_to_an_overloaded_zone_are_admitted_less_than_to_another() {
    let mut simulation = simulation();
    simulation.run_ticks(40, 4, [10, 2], 200.0);
    let admitted_ratio = |zones| {
        simulation
            .admission
            .rates()
            .admitted_ratio(ClassId(0), None, zones)
    };
    assert!(
        admitted_ratio(0b10) < 0.7 * admitted_ratio(0b01),
        "admitted ratio {} compared with {}",
        admitted_ratio(0b10),
        admitted_ratio(0b01)
    );
}

#[test]
fn endpoints_that_stopped_responding_are_tried_again() {
    let mut simulation = simulation();
    simulation.run_ticks(60, 6, [0, 0], 0.0);
    // No response ever arrives, so the sustainable ratio stays without an estimate and requests are still admitted.
    let admitted: usize = simulation.run_ticks(100, 6, [0, 0], 0.0).iter().sum();
    assert!(
        admitted > 0,
        "no request is sent to endpoints that have stopped responding"
    );
}

#[test]
fn waiting_requests_are_resolved_in_time_by_priority_weight() {
    let (mut simulation, mut outcomes) = (simulation(), Vec::new());
    simulation.run_ticks(40, 40, [25, 25], 300.0);
    // Fewer requests arrive and endpoints respond faster, so that waiting requests can be admitted.
    for n in 0..40 {
        simulation.actions.clear();
        simulation.run_ticks(1, 40 - n.min(30), [30, 30], 150.0);
        let mut highest = 2;
        for action in std::mem::take(&mut simulation.actions) {
            let (id, admitted) = match action {
                Action::Admit { id } => (id, true),
                Action::Reject { id, .. } => (id, false),
                _ => continue,
            };
            let position = simulation
                .waiting
                .iter()
                .position(|(waiting_id, ..)| *waiting_id == id)
                .expect("a waiting request");
            let (_, class, waits_until, max_wait) = simulation.waiting.remove(position);
            assert!(
                max_wait <= MS * 60.0 && simulation.now <= waits_until,
                "the wait exceeds a tenth of the latency objective or its limit of {max_wait:?}"
            );
            assert!(
                class.min(1) <= highest,
                "a request of a higher priority weight was resolved after one of a lower weight"
            );
            highest = class.min(1);
            outcomes.push(admitted);
        }
    }
    assert!(
        simulation.waiting.is_empty() && simulation.admission.waiting_count() == 0,
        "some waiting requests were not resolved"
    );
    let admitted = outcomes.iter().filter(|is_admitted| **is_admitted).count();
    expect![[r#"
        29 waited, 13 of them admitted
    "#]]
    .assert_eq(&format!(
        "{} waited, {admitted} of them admitted\n",
        outcomes.len()
    ));
}

#[test]
fn each_tick_sends_two_reports_and_they_are_empty_just_after_a_start() {
    let mut simulation = simulation();
    for peer in 1..30 {
        simulation.handle(Event::MemberChanged {
            peer: PeerId(peer),
            incarnation: Some(1),
        });
    }
    simulation.actions.clear();
    simulation.run_ticks(4, 2, [2, 2], 80.0);
    // The length, offered requests of class 0 and number of histograms of each report.
    let reports = |simulation: &Simulation| -> Vec<(usize, f32, usize)> {
        let sent = simulation.actions.iter().filter_map(|action| match action {
            Action::SendReport { bytes, .. } => Some(bytes),
            _ => None,
        });
        sent.map(|bytes| {
            (
                bytes.len(),
                decode(bytes).expect("a report").offered[0],
                decode(bytes).expect("a report").histograms.len(),
            )
        })
        .collect()
    };
    let initial = reports(&simulation);
    simulation.run_ticks(16, 2, [2, 2], 80.0);
    simulation.actions.clear();
    simulation.run_ticks(4, 2, [2, 2], 80.0);
    let later = reports(&simulation);
    assert_eq!((initial.len(), later.len()), (8, 8), "two per tick");
    assert!(
        initial.iter().all(|(_, offered, _)| *offered == 0.0)
            && later
                .iter()
                .all(|(length, offered, histograms)| *offered > 5.0
                    && *histograms == 6
                    && *length < 120)
    );
}
