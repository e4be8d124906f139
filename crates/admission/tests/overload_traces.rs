//! Short traces of one gateway's admission controller under overload.

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
    last: u64,
    asked: Vec<Action>,
    waits: Vec<(RequestId, usize, Timestamp, TimeDelta)>,
}

fn simulation() -> Simulation {
    let now = Timestamp(1_000_000_000);
    let mut simulation = Simulation {
        admission: AdmissionController::new(parameters(3)),
        now,
        last: 0,
        asked: Vec::new(),
        waits: Vec::new(),
    };
    simulation.handle(Event::TimerFired);
    simulation
}

impl Simulation {
    fn handle(&mut self, event: Event) {
        self.asked.extend(self.admission.handle(self.now, event));
    }

    fn ask(&mut self, class: usize, zones: u8, left: f64, ran: bool) -> Decision {
        self.last += 1;
        let (id, remaining) = (RequestId(self.last), MS * left);
        let ask = AdmissionRequest {
            id,
            class: ClassId(class),
            tenant: None,
            zones,
            age: TimeDelta::ZERO,
            remaining,
            may_have_run: ran,
        };
        let decision = self.admission.decide(self.now, &ask);
        if let Decision::Wait { at_most } = decision {
            self.waits.push((id, class, self.now + at_most, at_most));
        }
        decision
    }

    /// Ticks in which so many of each request class come, and so many are answered in each zone after so long.
    fn run_ticks(
        &mut self,
        ticks: usize,
        comes: usize,
        answers: [usize; 2],
        took: f64,
    ) -> [usize; 3] {
        let mut admitted = [0; 3];
        for _ in 0..ticks {
            for (class, admitted) in admitted.iter_mut().enumerate() {
                for _ in 0..comes {
                    if self.ask(class, 0, 1500.0, false) == Decision::Admit {
                        *admitted += 1;
                        self.handle(Event::AttemptStarted {
                            zone: ZoneId(self.last as usize % 2),
                        });
                    }
                }
            }
            for (zone, answers) in answers.into_iter().enumerate() {
                for n in 0..answers {
                    let (class, outcome, took) = (n % 3, AttemptOutcome::Succeeded, MS * took);
                    self.handle(Event::AttemptFinished {
                        class: ClassId(class),
                        zone: ZoneId(zone),
                        outcome,
                        duration: took,
                    });
                }
            }
            self.now = self.now + MS * 50.0;
            self.handle(Event::TimerFired);
        }
        admitted
    }

    fn state(&self) -> String {
        let rates = self.admission.rates();
        let part = |p| (rates.admitted_ratio(p, None, 0) * 100.0).round();
        format!(
            "passing {}, {}, {} of a hundred",
            part(ClassId(0)),
            part(ClassId(1)),
            part(ClassId(2))
        )
    }
}

#[test]
fn everything_is_admitted_while_nothing_is_known_and_while_endpoints_keep_up() {
    let mut simulation = simulation();
    let mut trace = format!("at the start: {}\n", simulation.state());
    simulation.run_ticks(40, 2, [3, 3], 80.0);
    trace += &format!("after 2 s of quick answers: {}\n", simulation.state());
    expect![[r#"
        at the start: passing 100, 100, 100 of a hundred
        after 2 s of quick answers: passing 100, 100, 100 of a hundred
    "#]]
    .assert_eq(&trace);
}

#[test]
fn the_lowest_priority_weight_is_rejected_first_and_admitted_last() {
    let mut simulation = simulation();
    simulation.run_ticks(20, 2, [3, 3], 80.0);
    let mut trace = String::new();
    for (ticks, comes, answers) in [
        (4, 6, [4, 4]),
        (12, 6, [6, 6]),
        (20, 6, [6, 6]),
        (20, 2, [4, 4]),
    ] {
        let admitted = simulation.run_ticks(ticks, comes, answers, 300.0);
        trace += &format!(
            "{comes} of each a tick, {answers:?} answered: {admitted:?}, {}\n",
            simulation.state()
        );
    }
    expect![[r#"
        6 of each a tick, [4, 4] answered: [22, 24, 24], passing 0, 97, 97 of a hundred
        6 of each a tick, [6, 6] answered: [22, 72, 72], passing 17, 100, 100 of a hundred
        6 of each a tick, [6, 6] answered: [6, 120, 119], passing 2, 100, 100 of a hundred
        2 of each a tick, [4, 4] answered: [33, 40, 40], passing 100, 100, 100 of a hundred
    "#]]
    .assert_eq(&trace);
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_rejected() {
    let mut simulation = simulation();
    simulation.run_ticks(40, 2, [3, 3], 200.0);
    let mut trace = String::new();
    for left in [1500.0, 300.0, 150.0, 50.0, 0.0] {
        let decision = simulation.ask(1, 0, left, false);
        trace += &format!(
            "{left} ms left: {}\n",
            if decision == Decision::Admit {
                "admitted"
            } else {
                "rejected"
            }
        );
    }
    expect![[r#"
        1500 ms left: admitted
        300 ms left: admitted
        150 ms left: admitted
        50 ms left: rejected
        0 ms left: rejected
    "#]]
    .assert_eq(&trace);
}

#[test]
fn a_non_idempotent_request_is_not_rejected_after_an_attempt_and_others_are() {
    let mut simulation = simulation();
    simulation.run_ticks(60, 6, [1, 1], 1400.0);
    let mut trace = format!("{}\n", simulation.state());
    for class in 0..3 {
        let after = (0..40)
            .filter(|_| simulation.ask(class, 0, 1.0, true) != Decision::Admit)
            .count();
        trace += &format!("class {class}, an attempt may have run: {after} of 40 rejected\n");
    }
    expect![[r#"
        passing 0, 7, 7 of a hundred
        class 0, an attempt may have run: 40 of 40 rejected
        class 1, an attempt may have run: 40 of 40 rejected
        class 2, an attempt may have run: 0 of 40 rejected
    "#]]
    .assert_eq(&trace);
}

#[test]
fn an_overloaded_zone_is_admitted_less_than_another() {
    let mut simulation = simulation();
    simulation.run_ticks(40, 4, [10, 2], 200.0);
    let part = |zones| {
        simulation
            .admission
            .rates()
            .admitted_ratio(ClassId(0), None, zones)
    };
    assert!(
        part(0b10) < 0.7 * part(0b01),
        "{} against {}",
        part(0b10),
        part(0b01)
    );
}

#[test]
fn endpoints_that_stopped_answering_are_tried_again() {
    let mut simulation = simulation();
    simulation.run_ticks(60, 6, [0, 0], 0.0);
    // Nothing was ever answered: what is out is given up on, and then all is unknown again.
    let admitted: usize = simulation.run_ticks(100, 6, [0, 0], 0.0).iter().sum();
    assert!(
        admitted > 0,
        "something is sent to endpoints that have stopped answering"
    );
}

#[test]
fn waiting_requests_are_resolved_in_time_by_priority_weight() {
    let (mut simulation, mut outcomes) = (simulation(), Vec::new());
    simulation.run_ticks(40, 40, [25, 25], 300.0);
    // Fewer come, and endpoints are quick again: admission is in sight.
    for n in 0..40 {
        simulation.asked.clear();
        simulation.run_ticks(1, 40 - n.min(30), [30, 30], 150.0);
        let mut highest = 2;
        for action in std::mem::take(&mut simulation.asked) {
            let (id, admitted) = match action {
                Action::Admit { id } => (id, true),
                Action::Reject { id, .. } => (id, false),
                _ => continue,
            };
            let at = simulation
                .waits
                .iter()
                .position(|w| w.0 == id)
                .expect("it waited");
            let (_, class, until, at_most) = simulation.waits.remove(at);
            assert!(
                at_most <= MS * 60.0 && simulation.now <= until,
                "a tenth of the latency objective: {at_most:?}"
            );
            assert!(
                class.min(1) <= highest,
                "the higher priority weight comes first"
            );
            highest = class.min(1);
            outcomes.push(admitted);
        }
    }
    assert!(
        simulation.waits.is_empty() && simulation.admission.waiting_count() == 0,
        "nobody is forgotten"
    );
    let admitted = outcomes.iter().filter(|t| **t).count();
    expect![[r#"
        29 waited, 13 of them admitted
    "#]]
    .assert_eq(&format!(
        "{} waited, {admitted} of them admitted\n",
        outcomes.len()
    ));
}

#[test]
fn reports_go_to_two_members_a_tick_and_are_empty_while_the_gateway_is_young() {
    let mut simulation = simulation();
    for peer in 1..30 {
        simulation.handle(Event::MemberChanged {
            peer: PeerId(peer),
            incarnation: Some(1),
        });
    }
    simulation.asked.clear();
    simulation.run_ticks(4, 2, [2, 2], 80.0);
    let reports = |simulation: &Simulation| -> Vec<(usize, f32, usize)> {
        let sent = simulation.asked.iter().filter_map(|a| match a {
            Action::SendReport { bytes, .. } => Some(bytes),
            _ => None,
        });
        sent.map(|b| {
            (
                b.len(),
                decode(b).expect("a report").offered[0],
                decode(b).expect("a report").histograms.len(),
            )
        })
        .collect()
    };
    let young = reports(&simulation);
    simulation.run_ticks(16, 2, [2, 2], 80.0);
    simulation.asked.clear();
    simulation.run_ticks(4, 2, [2, 2], 80.0);
    let old = reports(&simulation);
    assert_eq!((young.len(), old.len()), (8, 8), "two a tick");
    assert!(
        young.iter().all(|t| t.1 == 0.0) && old.iter().all(|t| t.1 > 5.0 && t.2 == 6 && t.0 < 120)
    );
}
