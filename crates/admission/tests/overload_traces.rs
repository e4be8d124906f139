//! Short traces of one gateway's admission: what it is told, and what it decides.

use expect_test::expect;
use harrierdock_admission::load_report::read;
use harrierdock_admission::{Action, Admission, Ask, Decision, Event, Place};
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

fn place(seed: u64) -> Place {
    let referenced = RetrySafety::IdempotencyKey {
        scope: IdempotencyScope::All,
        deduplication_window: MS * 1000.0,
    };
    Place {
        classes: vec![
            class(RetrySafety::Idempotent, 500.0, 1.0, 0.0),
            class(referenced, 600.0, 5.0, 0.0),
            class(RetrySafety::NonIdempotent, 600.0, 5.0, 0.2),
        ],
        zones: 2,
        tenant_quotas: Vec::new(),
        incarnation: 4,
        retry_after: Some(MS * 100.0),
        seed,
    }
}

struct Desk {
    admission: Admission,
    now: Timestamp,
    last: u64,
    asked: Vec<Action>,
    waits: Vec<(RequestId, usize, Timestamp, TimeDelta)>,
}

fn desk() -> Desk {
    let now = Timestamp(1_000_000_000);
    let mut desk = Desk {
        admission: Admission::new(place(3)),
        now,
        last: 0,
        asked: Vec::new(),
        waits: Vec::new(),
    };
    desk.tell(Event::Wake);
    desk
}

impl Desk {
    fn tell(&mut self, event: Event) {
        self.asked.extend(self.admission.take(self.now, event));
    }

    fn ask(&mut self, class: usize, zones: u8, left: f64, ran: bool) -> Decision {
        self.last += 1;
        let (id, left) = (RequestId(self.last), MS * left);
        let ask = Ask {
            id,
            class: ClassId(class),
            tenant: None,
            zones,
            age: TimeDelta::ZERO,
            left,
            ran,
        };
        let decision = self.admission.decide(self.now, &ask);
        if let Decision::Wait { at_most } = decision {
            self.waits.push((id, class, self.now + at_most, at_most));
        }
        decision
    }

    /// Beats in which so many of each request class come, and so many are answered in each zone after so long.
    fn beats(&mut self, beats: usize, comes: usize, answers: [usize; 2], took: f64) -> [usize; 3] {
        let mut admitted = [0; 3];
        for _ in 0..beats {
            for (class, admitted) in admitted.iter_mut().enumerate() {
                for _ in 0..comes {
                    if self.ask(class, 0, 1500.0, false) == Decision::Admit {
                        *admitted += 1;
                        self.tell(Event::Sent {
                            zone: ZoneId(self.last as usize % 2),
                        });
                    }
                }
            }
            for (zone, answers) in answers.into_iter().enumerate() {
                for n in 0..answers {
                    let (class, outcome, took) = (n % 3, AttemptOutcome::Succeeded, MS * took);
                    self.tell(Event::Ended {
                        class: ClassId(class),
                        zone: ZoneId(zone),
                        outcome,
                        took,
                    });
                }
            }
            self.now = self.now + MS * 50.0;
            self.tell(Event::Wake);
        }
        admitted
    }

    fn state(&self) -> String {
        let gates = self.admission.gates();
        let part = |p| (gates.part(p, None, 0) * 100.0).round();
        format!(
            "passing {}, {}, {} of a hundred",
            part(ClassId(0)),
            part(ClassId(1)),
            part(ClassId(2))
        )
    }
}

#[test]
fn all_is_let_in_while_nothing_is_known_and_while_servers_keep_up() {
    let mut desk = desk();
    let mut trace = format!("at the start: {}\n", desk.state());
    desk.beats(40, 2, [3, 3], 80.0);
    trace += &format!("after 2 s of quick answers: {}\n", desk.state());
    expect![[r#"
        at the start: passing 100, 100, 100 of a hundred
        after 2 s of quick answers: passing 100, 100, 100 of a hundred
    "#]]
    .assert_eq(&trace);
}

#[test]
fn the_cheap_is_given_up_first_and_comes_back_last() {
    let mut desk = desk();
    desk.beats(20, 2, [3, 3], 80.0);
    let mut trace = String::new();
    for (beats, comes, answers) in [
        (4, 6, [4, 4]),
        (12, 6, [6, 6]),
        (20, 6, [6, 6]),
        (20, 2, [4, 4]),
    ] {
        let admitted = desk.beats(beats, comes, answers, 300.0);
        trace += &format!(
            "{comes} of each a beat, {answers:?} answered: {admitted:?}, {}\n",
            desk.state()
        );
    }
    expect![[r#"
        6 of each a beat, [4, 4] answered: [22, 24, 24], passing 0, 97, 97 of a hundred
        6 of each a beat, [6, 6] answered: [22, 72, 72], passing 17, 100, 100 of a hundred
        6 of each a beat, [6, 6] answered: [6, 120, 119], passing 2, 100, 100 of a hundred
        2 of each a beat, [4, 4] answered: [33, 40, 40], passing 100, 100, 100 of a hundred
    "#]]
    .assert_eq(&trace);
}

#[test]
fn what_cannot_be_met_is_never_sent() {
    let mut desk = desk();
    desk.beats(40, 2, [3, 3], 200.0);
    let mut trace = String::new();
    for left in [1500.0, 300.0, 150.0, 50.0, 0.0] {
        let decision = desk.ask(1, 0, left, false);
        trace += &format!(
            "{left} ms left: {}\n",
            if decision == Decision::Admit {
                "admitted"
            } else {
                "declined"
            }
        );
    }
    expect![[r#"
        1500 ms left: admitted
        300 ms left: admitted
        150 ms left: admitted
        50 ms left: declined
        0 ms left: declined
    "#]]
    .assert_eq(&trace);
}

#[test]
fn once_only_is_not_declined_after_a_submission_and_others_are() {
    let mut desk = desk();
    desk.beats(60, 6, [1, 1], 1400.0);
    let mut trace = format!("{}\n", desk.state());
    for class in 0..3 {
        let after = (0..40)
            .filter(|_| desk.ask(class, 0, 1.0, true) != Decision::Admit)
            .count();
        trace += &format!("product {class}, a submission may have run: {after} of 40 declined\n");
    }
    expect![[r#"
        passing 0, 7, 7 of a hundred
        product 0, a submission may have run: 40 of 40 declined
        product 1, a submission may have run: 40 of 40 declined
        product 2, a submission may have run: 0 of 40 declined
    "#]]
    .assert_eq(&trace);
}

#[test]
fn a_jammed_zone_passes_less_than_another() {
    let mut desk = desk();
    desk.beats(40, 4, [10, 2], 200.0);
    let part = |zones| desk.admission.gates().part(ClassId(0), None, zones);
    assert!(
        part(0b10) < 0.7 * part(0b01),
        "{} against {}",
        part(0b10),
        part(0b01)
    );
}

#[test]
fn jammed_servers_are_tried_again() {
    let mut desk = desk();
    desk.beats(60, 6, [0, 0], 0.0);
    // Nothing was ever answered: what is out is given up on, and then all is unknown again.
    let admitted: usize = desk.beats(100, 6, [0, 0], 0.0).iter().sum();
    assert!(
        admitted > 0,
        "something is sent to servers that have jammed"
    );
}

#[test]
fn whoever_waits_is_told_within_its_time_the_dearest_first() {
    let (mut desk, mut told) = (desk(), Vec::new());
    desk.beats(40, 40, [25, 25], 300.0);
    // Fewer come, and servers are quick again: a place is in sight.
    for n in 0..40 {
        desk.asked.clear();
        desk.beats(1, 40 - n.min(30), [30, 30], 150.0);
        let mut dearest = 2;
        for action in std::mem::take(&mut desk.asked) {
            let (id, admitted) = match action {
                Action::Admit { id } => (id, true),
                Action::Decline { id, .. } => (id, false),
                _ => continue,
            };
            let at = desk
                .waits
                .iter()
                .position(|w| w.0 == id)
                .expect("it waited");
            let (_, class, until, at_most) = desk.waits.remove(at);
            assert!(
                at_most <= MS * 60.0 && desk.now <= until,
                "a tenth of the SLA time: {at_most:?}"
            );
            assert!(
                class.min(1) <= dearest,
                "the dear are looked at before the cheap"
            );
            dearest = class.min(1);
            told.push(admitted);
        }
    }
    assert!(
        desk.waits.is_empty() && desk.admission.waiting() == 0,
        "nobody is forgotten"
    );
    let admitted = told.iter().filter(|t| **t).count();
    expect![[r#"
        29 waited, 13 of them admitted
    "#]]
    .assert_eq(&format!(
        "{} waited, {admitted} of them admitted\n",
        told.len()
    ));
}

#[test]
fn news_goes_to_two_members_a_beat_and_says_nothing_before_it_is_old_enough() {
    let mut desk = desk();
    for peer in 1..30 {
        desk.tell(Event::Member {
            peer: PeerId(peer),
            incarnation: Some(1),
        });
    }
    desk.asked.clear();
    desk.beats(4, 2, [2, 2], 80.0);
    let told = |desk: &Desk| -> Vec<(usize, f32, usize)> {
        let tells = desk.asked.iter().filter_map(|a| match a {
            Action::Tell { bytes, .. } => Some(bytes),
            _ => None,
        });
        tells
            .map(|b| {
                (
                    b.len(),
                    read(b).expect("news").offered[0],
                    read(b).expect("news").sketches.len(),
                )
            })
            .collect()
    };
    let young = told(&desk);
    desk.beats(16, 2, [2, 2], 80.0);
    desk.asked.clear();
    desk.beats(4, 2, [2, 2], 80.0);
    let old = told(&desk);
    assert_eq!((young.len(), old.len()), (8, 8), "two a beat");
    assert!(
        young.iter().all(|t| t.1 == 0.0) && old.iter().all(|t| t.1 > 5.0 && t.2 == 6 && t.0 < 120)
    );
}
