//! How a soak counts and checks the clients that try to connect as soon as a gateway is spawned. Uses no sockets.

use std::time::Duration;

use harrierdock_fault_injection::soak::plan::seeded_rng;
use harrierdock_fault_injection::soak::records::{Observations, RequestOutcome, RequestRecord};
use harrierdock_fault_injection::soak::requests::{RequestClass, RequestPlan};
use harrierdock_fault_injection::soak::rules::{check_rules, Verdict};
use harrierdock_fault_injection::soak::startup::{Spread, StartupConnection};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A client that is refused every millisecond until it connects.
fn connection(gateway: usize, connected_after_ms: u64) -> StartupConnection {
    StartupConnection {
        gateway,
        tried: connected_after_ms as usize,
        refused: connected_after_ms as usize - 1,
        last_refused_after: Some(ms(connected_after_ms - 1)),
        connected_after: Some(ms(connected_after_ms)),
    }
}

fn check_connections(startup_connections: Vec<StartupConnection>) -> Verdict {
    check_rules(&Observations {
        startup_connections,
        ..Observations::default()
    })
}

/// A request of a client that connected during a startup.
fn request(outcome: RequestOutcome) -> RequestRecord {
    RequestRecord {
        id: "a".into(),
        gateway: 0,
        class: RequestClass::Idempotent,
        written_at: ms(1_000),
        deadline: ms(400),
        is_connection_reused: false,
        is_startup_client: true,
        reads_slowly: false,
        outcome,
    }
}

fn check_request(outcome: RequestOutcome) -> Verdict {
    check_rules(&Observations {
        requests: vec![request(outcome)],
        startup_connections: vec![connection(0, 6)],
        ..Observations::default()
    })
}

#[test]
fn refusals_before_a_gateway_listens_are_counted_and_violate_no_rule() {
    let connections = [(0, 8), (0, 6), (1, 9), (2, 30), (2, 31)];
    let verdict = check_connections(connections.map(|(g, after)| connection(g, after)).into());
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
fn a_refusal_after_the_first_connection_of_the_same_startup_violates_a_rule() {
    let refused_after = |last_ms| StartupConnection {
        last_refused_after: Some(ms(last_ms)),
        ..connection(0, last_ms + 1)
    };
    let verdict = check_connections(vec![connection(0, 6), refused_after(56)]);
    assert!(verdict.is_ok(), "within the tolerance: {verdict:?}");
    let verdict = check_connections(vec![connection(1, 6), refused_after(57)]);
    assert!(verdict.is_ok(), "another gateway's startup: {verdict:?}");
    let verdict = check_connections(vec![connection(0, 6), refused_after(57)]);
    assert!(!verdict.is_ok() && verdict.refused == 1, "{verdict:?}");
    assert_eq!(
        verdict.violations,
        ["n0 refused a connection 51 ms after it accepted its first since the spawn"]
    );
}

#[test]
fn a_startup_client_that_never_connects_violates_a_rule() {
    let never_connected = StartupConnection {
        connected_after: None,
        ..connection(2, 6)
    };
    let verdict = check_connections(vec![connection(2, 6), never_connected]);
    assert!(!verdict.is_ok() && verdict.refused == 1, "{verdict:?}");
    assert_eq!(
        verdict.violations,
        ["n2: no connection established after the spawn, 6 tried"]
    );
}

#[test]
fn a_startup_client_request_without_its_answer_is_lost_and_counted_with_the_startups() {
    let answered = RequestOutcome::Answered {
        at: ms(1_010),
        is_matching: true,
    };
    let starts = check_request(answered).starts;
    assert_eq!((starts.requests, starts.answered, starts.lost), (1, 1, 0));
    let reset_immediately = RequestOutcome::Unanswered {
        at: ms(1_001),
        received_bytes: 0,
    };
    let mismatched = RequestOutcome::Answered {
        at: ms(1_010),
        is_matching: false,
    };
    for outcome in [reset_immediately, mismatched] {
        let verdict = check_request(outcome);
        assert!(!verdict.is_ok() && verdict.lost == 1, "{verdict:?}");
        let starts = &verdict.starts;
        assert_eq!((starts.requests, starts.answered, starts.lost), (1, 0, 1));
        assert!(
            verdict.violations[0].contains("on a startup client's connection"),
            "{verdict:?}"
        );
    }
}

#[test]
fn a_request_of_a_steady_client_is_not_counted_with_the_startups() {
    let answered = RequestOutcome::Answered {
        at: ms(1_010),
        is_matching: true,
    };
    let verdict = check_rules(&Observations {
        requests: vec![RequestRecord {
            is_startup_client: false,
            ..request(answered)
        }],
        ..Observations::default()
    });
    assert_eq!((verdict.answered, verdict.starts.requests), (1, 0));
}

#[test]
fn startup_clients_write_at_once_wait_for_the_answer_and_draw_each_class_and_deadline() {
    let plans: Vec<RequestPlan> = (0..100)
        .map(|seed| RequestPlan::for_startup_client(&mut seeded_rng(seed)))
        .collect();
    for plan in &plans {
        assert!(plan.pieces == 1 && plan.closes_after.is_none() && !plan.reads_slowly);
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
