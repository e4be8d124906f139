//! What a soak draws, and how it judges what was seen; without sockets.

use std::time::Duration;

use harrierdock_fault_injection::soak::judge::{judge, Verdict};
use harrierdock_fault_injection::soak::plan::{seeded, Plan, Stall, EARLIEST_KILL, SHORTEST_RUN};
use harrierdock_fault_injection::soak::records::{
    Arrival, AttemptRecord, DrainRecord, HalfCloseAnswer, Observations, RefusedConnection,
    RequestEnd, RequestRecord, ShutdownRecord,
};
use harrierdock_fault_injection::soak::requests::{RequestClass, RequestPlan};

const RUN: Duration = Duration::from_secs(9);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A request of 400 ms, written at 1 s on a connection that was used before and answered 50 ms later.
fn answered_request() -> RequestRecord {
    RequestRecord {
        id: "a".into(),
        gateway: 0,
        class: RequestClass::NonIdempotent,
        written_at: ms(1_000),
        deadline: ms(400),
        is_connection_reused: true,
        is_in_start: false,
        reads_slowly: false,
        end: RequestEnd::Answered {
            at: ms(1_050),
            is_own: true,
        },
    }
}

fn attempt(at: u64, stated: u64) -> AttemptRecord {
    AttemptRecord {
        id: "a".into(),
        endpoint: 2,
        at: ms(at),
        stated: ms(stated),
        arrival: Arrival::default(),
    }
}

fn judge_one(request: RequestRecord, attempts: Vec<AttemptRecord>) -> Verdict {
    judge(&Observations {
        requests: vec![request],
        attempts,
        refused_connections: Vec::new(),
        startup_connections: Vec::new(),
        shutdowns: vec![ShutdownRecord {
            gateway: 0,
            signal_at: ms(900),
            killed_at: None,
        }],
        sudden_kills: Vec::new(),
        drain: Some(DrainRecord {
            endpoint: 2,
            told_at: ms(10_000),
        }),
    })
}

fn ended(end: RequestEnd) -> RequestRecord {
    RequestRecord {
        end,
        ..answered_request()
    }
}

fn unanswered(at: u64, received_bytes: usize) -> RequestRecord {
    ended(RequestEnd::Unanswered {
        at: ms(at),
        received_bytes,
    })
}

#[test]
fn an_answer_in_time_breaks_no_rule() {
    let verdict = judge_one(answered_request(), vec![attempt(1_005, 395)]);
    assert!(
        verdict.is_ok() && verdict.violations.is_empty(),
        "{verdict:?}"
    );
    assert_eq!((verdict.requests, verdict.answered), (1, 1));
}

#[test]
fn a_missing_cut_or_foreign_answer_is_lost_and_told_with_its_moment() {
    let foreign = RequestEnd::Answered {
        at: ms(1_050),
        is_own: false,
    };
    let on_new_connection = RequestRecord {
        is_connection_reused: false,
        ..unanswered(1_010, 0)
    };
    let cases = [
        (unanswered(1_300, 0), vec![]),
        (unanswered(1_010, 12), vec![]),
        (unanswered(1_010, 0), vec![attempt(1_005, 395)]),
        (on_new_connection, vec![]),
        (ended(foreign), vec![]),
    ];
    for (request, attempts) in cases {
        let verdict = judge_one(request.clone(), attempts);
        assert!(!verdict.is_ok() && verdict.lost == 1, "{request:?}");
        let told = &verdict.violations[0];
        assert!(told.contains("100 ms after the signal"), "{told}");
    }
}

#[test]
fn a_request_that_crossed_a_close_between_requests_is_sent_again() {
    let verdict = judge_one(unanswered(1_010, 0), vec![]);
    assert!(verdict.is_ok(), "{verdict:?}");
    assert_eq!((verdict.sent_again, verdict.answered), (1, 0));
}

#[test]
fn each_rule_is_judged_by_itself() {
    let late = RequestEnd::Answered {
        at: ms(2_000),
        is_own: true,
    };
    let left = ended(RequestEnd::Left { at: ms(1_100) });
    let verdict = judge_one(ended(late), vec![]);
    assert!(!verdict.is_ok() && verdict.late == 1);
    let verdict = judge_one(answered_request(), vec![attempt(1_005, 395); 2]);
    assert!(!verdict.is_ok() && verdict.effects_twice == 1);
    let verdict = judge_one(left, vec![attempt(1_260, 100)]);
    assert!(!verdict.is_ok() && verdict.after_close == 1);
    let verdict = judge_one(answered_request(), vec![attempt(1_250, 400)]);
    assert!(!verdict.is_ok() && verdict.overstated_time == 1);
    let verdict = judge_one(answered_request(), vec![attempt(11_100, 0)]);
    assert!(!verdict.is_ok() && verdict.stale_endpoint == 1);
}

#[test]
fn a_refused_connection_breaks_a_rule_by_itself() {
    let verdict = judge(&Observations {
        refused_connections: vec![RefusedConnection {
            gateway: 1,
            at: ms(1_000),
        }],
        ..Observations::default()
    });
    assert!(!verdict.is_ok() && verdict.refused == 1);
    assert_eq!(
        verdict.violations,
        ["n1 refuses a connection outside any shutdown"]
    );
}

#[test]
fn a_request_that_may_be_repeated_may_reach_endpoints_twice() {
    for class in [RequestClass::Idempotent, RequestClass::Keyed] {
        let request = RequestRecord {
            class,
            ..answered_request()
        };
        let verdict = judge_one(request, vec![attempt(1_005, 395), attempt(1_020, 380)]);
        assert!(verdict.is_ok(), "{class:?}: {verdict:?}");
    }
}

#[test]
fn a_seed_fixes_what_is_drawn_and_many_seeds_draw_everything() {
    let plans: Vec<Plan> = (0..200).map(|seed| Plan::draw(seed, 3, RUN)).collect();
    assert_eq!(plans[7], Plan::draw(7, 3, RUN));
    assert_ne!(plans[7].restarts, plans[8].restarts);
    let restarts = || plans.iter().flat_map(|plan| &plan.restarts);
    assert_eq!(restarts().count(), 600);
    for restart in restarts() {
        assert!(restart.at + EARLIEST_KILL < RUN, "{restart}");
        assert!(restart.at + SHORTEST_RUN <= RUN + ms(800), "{restart}");
        if let Stall::BeforeSignal(length) | Stall::BeforeKill(length) = restart.stall {
            assert!(length <= ms(150), "{restart}");
        }
    }
    let texts: String = plans.iter().flat_map(Plan::describe).collect();
    for part in [
        "TERM TERM",
        "TERM INT",
        "HUP HUP HUP",
        "HUP TERM HUP",
        "KILL",
        "at it",
        "before the kill",
        "crowd of",
        "an endpoint hangs",
        "no endpoint answers",
        "an endpoint closes connections",
        "an endpoint drains",
        "discovery is away",
        "ms late from",
        "90 descriptors",
    ] {
        assert!(texts.contains(part), "{part} is never drawn");
    }
}

#[test]
fn an_overstated_time_is_told_with_what_may_have_held_up_the_attempt_and_is_not_excused() {
    let held_up = AttemptRecord {
        arrival: Arrival {
            is_first_on_connection: true,
            processor_wait: ms(240),
        },
        ..attempt(1_250, 400)
    };
    let verdict = judge_one(answered_request(), vec![held_up]);
    assert!(!verdict.is_ok() && verdict.overstated_time == 1);
    let told = &verdict.violations[0];
    assert!(
        told.ends_with("on a new connection to it, its thread waited 240 ms for a processor"),
        "{told}"
    );
}

fn half_closed(answer: HalfCloseAnswer) -> RequestRecord {
    ended(RequestEnd::HalfClosed {
        at: ms(1_100),
        answer,
    })
}

#[test]
fn a_client_that_ends_its_writing_side_counts_as_gone() {
    for answer in [HalfCloseAnswer::None, HalfCloseAnswer::Own] {
        let verdict = judge_one(half_closed(answer), vec![attempt(1_005, 395)]);
        assert!(verdict.is_ok(), "{verdict:?}");
        assert_eq!((verdict.half_closed, verdict.answered), (1, 0));
    }
    let verdict = judge_one(half_closed(HalfCloseAnswer::None), vec![attempt(1_251, 0)]);
    assert!(!verdict.is_ok() && verdict.after_close == 1, "{verdict:?}");
}

#[test]
fn a_client_that_ends_its_writing_side_gets_no_other_requests_answer() {
    let verdict = judge_one(half_closed(HalfCloseAnswer::Foreign), vec![]);
    assert!(!verdict.is_ok() && verdict.lost == 1, "{verdict:?}");
}

#[test]
fn clients_leave_or_end_their_writing_side_at_once_or_later_but_not_both() {
    let mut rng = seeded(1);
    let plans: Vec<RequestPlan> = (0..2_000).map(|_| RequestPlan::draw(&mut rng)).collect();
    let half_closes = || plans.iter().filter_map(|plan| plan.half_closes_after);
    assert!(half_closes().any(|after| after.is_zero()));
    assert!(half_closes().any(|after| !after.is_zero()));
    assert!((50..150).contains(&half_closes().count()));
    let does_both =
        |plan: &RequestPlan| plan.leaves_after.is_some() && plan.half_closes_after.is_some();
    assert!(!plans.iter().any(does_both));
}
