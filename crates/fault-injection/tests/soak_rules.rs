//! Which faults a soak draws, and how it checks its rules. Uses no sockets.

use std::time::Duration;

use harrierdock_fault_injection::soak::plan::{
    seeded_rng, Plan, Stall, EARLIEST_KILL, SHORTEST_RUN,
};
use harrierdock_fault_injection::soak::records::{
    Arrival, AttemptRecord, DrainRecord, HalfCloseAnswer, Observations, RefusedConnection,
    RequestOutcome, RequestRecord, ShutdownRecord,
};
use harrierdock_fault_injection::soak::requests::{RequestClass, RequestPlan};
use harrierdock_fault_injection::soak::rules::{check_rules, Verdict};

const SOAK_DURATION: Duration = Duration::from_secs(9);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A request with 400 ms to its deadline, written at 1 s on a reused connection and answered 50 ms later.
fn answered_request() -> RequestRecord {
    RequestRecord {
        id: "a".into(),
        gateway: 0,
        class: RequestClass::NonIdempotent,
        written_at: ms(1_000),
        deadline: ms(400),
        is_connection_reused: true,
        is_startup_client: false,
        reads_slowly: false,
        outcome: RequestOutcome::Answered {
            at: ms(1_050),
            is_matching: true,
        },
    }
}

fn attempt(at: u64, stated: u64) -> AttemptRecord {
    AttemptRecord {
        id: "a".into(),
        endpoint: 2,
        at: ms(at),
        stated_remaining: ms(stated),
        arrival: Arrival::default(),
    }
}

fn check_request(request: RequestRecord, attempts: Vec<AttemptRecord>) -> Verdict {
    check_rules(&Observations {
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
            published_at: ms(10_000),
        }),
    })
}

fn ended(outcome: RequestOutcome) -> RequestRecord {
    RequestRecord {
        outcome,
        ..answered_request()
    }
}

fn unanswered(at: u64, received_bytes: usize) -> RequestRecord {
    ended(RequestOutcome::Unanswered {
        at: ms(at),
        received_bytes,
    })
}

#[test]
fn an_answer_in_time_violates_no_rule() {
    let verdict = check_request(answered_request(), vec![attempt(1_005, 395)]);
    assert!(
        verdict.is_ok() && verdict.violations.is_empty(),
        "{verdict:?}"
    );
    assert_eq!((verdict.requests, verdict.answered), (1, 1));
}

#[test]
fn a_missing_truncated_or_mismatched_answer_is_lost_and_reported_with_its_time() {
    let mismatched = RequestOutcome::Answered {
        at: ms(1_050),
        is_matching: false,
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
        (ended(mismatched), vec![]),
    ];
    for (request, attempts) in cases {
        let verdict = check_request(request.clone(), attempts);
        assert!(!verdict.is_ok() && verdict.lost == 1, "{request:?}");
        let violation = &verdict.violations[0];
        assert!(violation.contains("100 ms after the signal"), "{violation}");
    }
}

#[test]
fn a_request_that_crossed_the_close_of_an_idle_connection_is_sent_again() {
    let verdict = check_request(unanswered(1_010, 0), vec![]);
    assert!(verdict.is_ok(), "{verdict:?}");
    assert_eq!((verdict.sent_again, verdict.answered), (1, 0));
}

#[test]
fn each_rule_is_checked_separately() {
    let late = RequestOutcome::Answered {
        at: ms(2_000),
        is_matching: true,
    };
    let client_closed = ended(RequestOutcome::ClientClosed { at: ms(1_100) });
    let verdict = check_request(ended(late), vec![]);
    assert!(!verdict.is_ok() && verdict.late == 1);
    let verdict = check_request(answered_request(), vec![attempt(1_005, 395); 2]);
    assert!(!verdict.is_ok() && verdict.effects_twice == 1);
    let verdict = check_request(client_closed, vec![attempt(1_260, 100)]);
    assert!(!verdict.is_ok() && verdict.after_close == 1);
    let verdict = check_request(answered_request(), vec![attempt(1_250, 400)]);
    assert!(!verdict.is_ok() && verdict.overstated_time == 1);
    let verdict = check_request(answered_request(), vec![attempt(11_100, 0)]);
    assert!(!verdict.is_ok() && verdict.stale_endpoint == 1);
}

#[test]
fn a_refused_connection_alone_violates_a_rule() {
    let verdict = check_rules(&Observations {
        refused_connections: vec![RefusedConnection {
            gateway: 1,
            at: ms(1_000),
        }],
        ..Observations::default()
    });
    assert!(!verdict.is_ok() && verdict.refused == 1);
    assert_eq!(
        verdict.violations,
        ["n1 refused a connection outside any shutdown"]
    );
}

#[test]
fn an_idempotent_or_keyed_request_may_reach_endpoints_twice() {
    for class in [RequestClass::Idempotent, RequestClass::Keyed] {
        let request = RequestRecord {
            class,
            ..answered_request()
        };
        let verdict = check_request(request, vec![attempt(1_005, 395), attempt(1_020, 380)]);
        assert!(verdict.is_ok(), "{class:?}: {verdict:?}");
    }
}

#[test]
fn a_seed_determines_its_plan_and_many_seeds_draw_every_fault() {
    let plans: Vec<Plan> = (0..200)
        .map(|seed| Plan::draw(seed, 3, SOAK_DURATION))
        .collect();
    assert_eq!(plans[7], Plan::draw(7, 3, SOAK_DURATION));
    assert_ne!(plans[7].restarts, plans[8].restarts);
    let restarts = || plans.iter().flat_map(|plan| &plan.restarts);
    assert_eq!(restarts().count(), 600);
    for restart in restarts() {
        assert!(restart.at + EARLIEST_KILL < SOAK_DURATION, "{restart}");
        assert!(
            restart.at + SHORTEST_RUN <= SOAK_DURATION + ms(800),
            "{restart}"
        );
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
fn an_overstated_time_is_reported_with_possible_delays_of_the_attempt_and_is_not_excused() {
    let delayed = AttemptRecord {
        arrival: Arrival {
            is_first_on_connection: true,
            processor_wait: ms(240),
        },
        ..attempt(1_250, 400)
    };
    let verdict = check_request(answered_request(), vec![delayed]);
    assert!(!verdict.is_ok() && verdict.overstated_time == 1);
    let violation = &verdict.violations[0];
    assert!(
        violation.ends_with("on a new connection to it, its thread waited 240 ms for a processor"),
        "{violation}"
    );
}

fn half_closed(answer: HalfCloseAnswer) -> RequestRecord {
    ended(RequestOutcome::HalfClosed {
        at: ms(1_100),
        answer,
    })
}

#[test]
fn a_client_that_shuts_down_its_sending_side_counts_as_disconnected() {
    for answer in [HalfCloseAnswer::None, HalfCloseAnswer::Matching] {
        let verdict = check_request(half_closed(answer), vec![attempt(1_005, 395)]);
        assert!(verdict.is_ok(), "{verdict:?}");
        assert_eq!((verdict.half_closed, verdict.answered), (1, 0));
    }
    let verdict = check_request(half_closed(HalfCloseAnswer::None), vec![attempt(1_251, 0)]);
    assert!(!verdict.is_ok() && verdict.after_close == 1, "{verdict:?}");
}

#[test]
fn a_client_that_shuts_down_its_sending_side_gets_no_answer_to_another_request() {
    let verdict = check_request(half_closed(HalfCloseAnswer::Mismatched), vec![]);
    assert!(!verdict.is_ok() && verdict.lost == 1, "{verdict:?}");
}

#[test]
fn clients_close_or_half_close_at_once_or_later_but_never_both() {
    let mut rng = seeded_rng(1);
    let plans: Vec<RequestPlan> = (0..2_000).map(|_| RequestPlan::draw(&mut rng)).collect();
    let half_closes = || plans.iter().filter_map(|plan| plan.half_closes_after);
    assert!(half_closes().any(|after| after.is_zero()));
    assert!(half_closes().any(|after| !after.is_zero()));
    assert!((50..150).contains(&half_closes().count()));
    let does_both =
        |plan: &RequestPlan| plan.closes_after.is_some() && plan.half_closes_after.is_some();
    assert!(!plans.iter().any(does_both));
}
