//! Which requests and connections a soak excuses when it kills a gateway without a preceding signal. Uses no sockets.

use std::time::Duration;

use harrierdock_fault_injection::soak::plan::{Plan, Termination};
use harrierdock_fault_injection::soak::records::{
    Arrival, AttemptRecord, Observations, RefusedConnection, RequestOutcome, RequestRecord,
    SuddenKillRecord,
};
use harrierdock_fault_injection::soak::requests::RequestClass;
use harrierdock_fault_injection::soak::rules::{check_rules, Verdict};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A kill of gateway 0 at 1,000 ms. Its process has exited by 1,004 ms.
fn sudden_kill() -> SuddenKillRecord {
    SuddenKillRecord {
        gateway: 0,
        from: ms(1_000),
        until: ms(1_004),
    }
}

fn request(gateway: usize, written_at_ms: u64, outcome: RequestOutcome) -> RequestRecord {
    RequestRecord {
        id: "a".into(),
        gateway,
        class: RequestClass::NonIdempotent,
        written_at: ms(written_at_ms),
        deadline: ms(2_000),
        is_connection_reused: true,
        is_startup_client: false,
        reads_slowly: false,
        outcome,
    }
}

fn unanswered(at_ms: u64) -> RequestOutcome {
    RequestOutcome::Unanswered {
        at: ms(at_ms),
        received_bytes: 7,
    }
}

fn attempt(at_ms: u64) -> AttemptRecord {
    AttemptRecord {
        id: "a".into(),
        endpoint: 2,
        at: ms(at_ms),
        stated_remaining: Duration::ZERO,
        arrival: Arrival::default(),
    }
}

fn check_request(request: RequestRecord, attempts: Vec<AttemptRecord>) -> Verdict {
    check_rules(&Observations {
        requests: vec![request],
        attempts,
        sudden_kills: vec![sudden_kill()],
        ..Observations::default()
    })
}

#[test]
fn a_request_in_flight_at_the_kill_is_excused_and_counted() {
    for (written_at, ended_at) in [(400, 1_000), (999, 1_002), (1_003, 1_204)] {
        let verdict = check_request(
            request(0, written_at, unanswered(ended_at)),
            vec![attempt(950)],
        );
        assert!(verdict.is_ok() && verdict.excused == 1, "{verdict:?}");
        assert_eq!((verdict.lost, verdict.answered), (0, 0));
    }
}

#[test]
fn a_request_that_may_also_have_crossed_a_close_is_counted_as_excused_by_the_kill() {
    let no_bytes = RequestOutcome::Unanswered {
        at: ms(1_002),
        received_bytes: 0,
    };
    let verdict = check_request(request(0, 999, no_bytes), vec![]);
    assert!(verdict.is_ok(), "{verdict:?}");
    assert_eq!((verdict.excused, verdict.sent_again), (1, 0));
}

#[test]
fn a_kill_excuses_no_request_that_ended_for_another_reason() {
    let mismatched = RequestOutcome::Answered {
        at: ms(1_001),
        is_matching: false,
    };
    let cases = [
        ("ended before the kill", request(0, 400, unanswered(999))),
        (
            "ended long after the kill",
            request(0, 400, unanswered(1_205)),
        ),
        (
            "written after the kill",
            request(0, 1_055, unanswered(1_060)),
        ),
        ("another gateway", request(1, 400, unanswered(1_002))),
        ("answer to another request", request(0, 400, mismatched)),
    ];
    for (case, request) in cases {
        let verdict = check_request(request, vec![attempt(950)]);
        assert!(!verdict.is_ok() && verdict.lost == 1, "{case}: {verdict:?}");
        assert_eq!(verdict.excused, 0, "{case}");
    }
}

#[test]
fn a_kill_excuses_no_second_effect() {
    let attempts = vec![attempt(950), attempt(980)];
    let verdict = check_request(request(0, 400, unanswered(1_002)), attempts);
    assert!(!verdict.is_ok() && verdict.effects_twice == 1);
}

#[test]
fn a_connection_refused_at_the_kill_is_excused_and_a_later_one_is_not() {
    let refused = |gateway, at_ms| {
        check_rules(&Observations {
            refused_connections: vec![RefusedConnection {
                gateway,
                at: ms(at_ms),
            }],
            sudden_kills: vec![sudden_kill()],
            ..Observations::default()
        })
    };
    let verdict = refused(0, 1_010);
    assert!(verdict.is_ok() && verdict.excused == 1, "{verdict:?}");
    for (gateway, at_ms) in [(0, 999), (0, 1_055), (1, 1_010)] {
        let verdict = refused(gateway, at_ms);
        assert!(!verdict.is_ok() && verdict.refused == 1, "{verdict:?}");
    }
}

#[test]
fn one_restart_in_four_is_drawn_as_a_sudden_kill() {
    let sudden_kills = |seed| {
        let plan = Plan::draw(seed, 3, ms(9_000));
        let restarts = plan.restarts.into_iter();
        restarts.filter(|restart| restart.termination == Termination::SuddenKill)
    };
    let count: usize = (0..200).map(|seed| sudden_kills(seed).count()).sum();
    assert!((100..200).contains(&count), "{count} of 600");
}
