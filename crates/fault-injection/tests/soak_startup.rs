//! How a soak counts and judges what clients see that connect from the spawn of a gateway on; without sockets.

use std::time::Duration;

use harrierdock_fault_injection::soak::judge::{judge, Verdict};
use harrierdock_fault_injection::soak::plan::seeded;
use harrierdock_fault_injection::soak::records::{Observations, RequestEnd, RequestRecord};
use harrierdock_fault_injection::soak::requests::{RequestClass, RequestPlan};
use harrierdock_fault_injection::soak::starts::{Spread, StartupConnection};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A client that is refused each millisecond until its connection comes up.
fn connection(gateway: usize, connected_after_ms: u64) -> StartupConnection {
    StartupConnection {
        gateway,
        tried: connected_after_ms as usize,
        refused: connected_after_ms as usize - 1,
        last_refused_after: Some(ms(connected_after_ms - 1)),
        connected_after: Some(ms(connected_after_ms)),
    }
}

fn judge_connections(startup_connections: Vec<StartupConnection>) -> Verdict {
    judge(&Observations {
        startup_connections,
        ..Observations::default()
    })
}

/// A request of a client that connected in a start.
fn request(end: RequestEnd) -> RequestRecord {
    RequestRecord {
        id: "a".into(),
        gateway: 0,
        class: RequestClass::Idempotent,
        written_at: ms(1_000),
        deadline: ms(400),
        is_connection_reused: false,
        is_in_start: true,
        reads_slowly: false,
        end,
    }
}

fn judge_request(end: RequestEnd) -> Verdict {
    judge(&Observations {
        requests: vec![request(end)],
        startup_connections: vec![connection(0, 6)],
        ..Observations::default()
    })
}

#[test]
fn refusals_before_a_gateway_listens_are_counted_and_break_no_rule() {
    let connections = [(0, 8), (0, 6), (1, 9), (2, 30), (2, 31)];
    let verdict = judge_connections(connections.map(|(g, after)| connection(g, after)).into());
    assert!(
        verdict.is_ok() && verdict.violations.is_empty(),
        "{verdict:?}"
    );
    let starts = verdict.starts;
    assert_eq!((starts.starts, starts.clients), (3, 5));
    assert_eq!(
        (starts.connections_tried, starts.connections_refused),
        (84, 79)
    );
    assert_eq!(starts.first_connections_us, [6_000, 9_000, 30_000]);
    let spread = Spread {
        median: 9_000,
        max: 30_000,
    };
    assert_eq!(starts.first_connection_us, spread);
}

#[test]
fn a_refusal_after_the_first_connection_of_the_same_start_breaks_a_rule() {
    let refused_after = |last_ms| StartupConnection {
        last_refused_after: Some(ms(last_ms)),
        ..connection(0, last_ms + 1)
    };
    let verdict = judge_connections(vec![connection(0, 6), refused_after(56)]);
    assert!(verdict.is_ok(), "within the slack: {verdict:?}");
    let verdict = judge_connections(vec![connection(1, 6), refused_after(57)]);
    assert!(verdict.is_ok(), "another gateway's start: {verdict:?}");
    let verdict = judge_connections(vec![connection(0, 6), refused_after(57)]);
    assert!(!verdict.is_ok() && verdict.refused == 1, "{verdict:?}");
    assert_eq!(
        verdict.violations,
        ["n0 refuses a connection 51 ms after its first since its spawn"]
    );
}

#[test]
fn a_connection_that_never_comes_up_in_a_start_breaks_a_rule() {
    let never = StartupConnection {
        connected_after: None,
        ..connection(2, 6)
    };
    let verdict = judge_connections(vec![connection(2, 6), never]);
    assert!(!verdict.is_ok() && verdict.refused == 1, "{verdict:?}");
    assert_eq!(
        verdict.violations,
        ["n2: no connection came up after its spawn, 6 tried"]
    );
}

#[test]
fn a_request_of_a_start_is_lost_without_its_answer_and_counted_apart() {
    let answered = RequestEnd::Answered {
        at: ms(1_010),
        is_own: true,
    };
    let starts = judge_request(answered).starts;
    assert_eq!((starts.requests, starts.answered, starts.lost), (1, 1, 0));
    let reset_at_once = RequestEnd::Unanswered {
        at: ms(1_001),
        received_bytes: 0,
    };
    let of_another = RequestEnd::Answered {
        at: ms(1_010),
        is_own: false,
    };
    for end in [reset_at_once, of_another] {
        let verdict = judge_request(end);
        assert!(!verdict.is_ok() && verdict.lost == 1, "{verdict:?}");
        let starts = &verdict.starts;
        assert_eq!((starts.requests, starts.answered, starts.lost), (1, 0, 1));
        assert!(
            verdict.violations[0].contains("on a start's first connection"),
            "{verdict:?}"
        );
    }
}

#[test]
fn a_request_outside_a_start_is_not_counted_with_the_starts() {
    let answered = RequestEnd::Answered {
        at: ms(1_010),
        is_own: true,
    };
    let verdict = judge(&Observations {
        requests: vec![RequestRecord {
            is_in_start: false,
            ..request(answered)
        }],
        ..Observations::default()
    });
    assert_eq!((verdict.answered, verdict.starts.requests), (1, 0));
}

#[test]
fn clients_of_a_start_write_at_once_wait_for_the_answer_and_draw_each_class_and_deadline() {
    let plans: Vec<RequestPlan> = (0..100)
        .map(|seed| RequestPlan::of_start(&mut seeded(seed)))
        .collect();
    for plan in &plans {
        assert!(plan.pieces == 1 && plan.leaves_after.is_none() && !plan.reads_slowly);
    }
    for class in [
        RequestClass::Idempotent,
        RequestClass::Keyed,
        RequestClass::NonIdempotent,
    ] {
        assert!(plans.iter().any(|plan| plan.class == class), "{class:?}");
    }
    for deadline in [150, 3_251] {
        let is_drawn = plans.iter().any(|plan| plan.deadline == ms(deadline));
        assert!(is_drawn, "{deadline} ms");
    }
}
