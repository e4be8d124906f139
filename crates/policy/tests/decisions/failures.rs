//! Failures found, each as a small trace.

use expect_test::expect;
use harrierdock_types::TimeDelta;
use harrierdock_types::*;

use crate::desk::*;

#[test]
fn complaints_send_a_wrong_build_back_and_one_does_not() {
    let mut told = parameters();
    told.gateway_count = 2;
    told.rollout.complaint_ratio = 0.15;
    let mut desk = Desk::with(told, &[1, 1, 1, 2], RolloutPhase::Canary);
    desk.traffic(1200, 10, FINE);
    for n in 0..12 {
        desk.tell(Event::ComplaintReceived {
            endpoint: EndpointId(3),
            class: ASK,
        });
        desk.trace.push_str(&format!("complaint {n}\n"));
        desk.pass(60);
        if desk.trace.contains("tell") {
            break;
        }
    }
    let from = desk.trace.find("complaint 0").unwrap_or(0);
    expect![[r#"
        complaint 0
        complaint 1
        complaint 2
        complaint 3
        12200: tell 2.0.5.t
    "#]]
    .assert_eq(&desk.trace[from..]);
}

#[test]
fn quick_errors_at_one_of_several_servers_are_not_held_against_the_build() {
    let mut lines = String::new();
    let cases = [
        ("one of three", vec![4]),
        ("two of three", vec![3, 4]),
        (
            "two of three, and one of the earlier build's",
            vec![0, 3, 4],
        ),
        (
            "three of three, and one of the earlier build's",
            vec![0, 2, 3, 4],
        ),
    ];
    for (case, failing) in cases {
        let mut told = parameters();
        told.rollout.exposure_allowance = 1000.0;
        let mut desk = Desk::with(told, &[1, 1, 2, 2, 2], RolloutPhase::Canary);
        let fails = |s| {
            if failing.contains(&s) {
                (AttemptOutcome::ServerError, 5)
            } else {
                (AttemptOutcome::Succeeded, 50)
            }
        };
        desk.traffic(240, 10, fails);
        lines += &format!(
            "{case}: {}\n",
            desk.decisions().lines().next().unwrap_or("nothing")
        );
    }
    expect![[r#"
        one of three: nothing
        two of three: 730: vote RollBack on 2 stage 0
        two of three, and one of the earlier build's: nothing
        three of three, and one of the earlier build's: 500: vote RollBack on 2 stage 0
    "#]]
    .assert_eq(&lines);
}

#[test]
fn worse_service_goes_back_when_calm_and_not_while_machines_are_cold_or_traffic_is_higher() {
    let mut lines = String::new();
    for (case, age, apart, is_client_retry) in [
        ("warm", None, 10, false),
        ("cold", Some(TimeDelta::ZERO), 10, false),
        ("three times the traffic", None, 3, false),
        ("three times, marked as repeats", None, 3, true),
    ] {
        let mut told = parameters();
        told.rollout.exposure_allowance = 1000.0;
        told.clients_mark_retries = true;
        let mut desk = Desk::with(told, &[1, 1], RolloutPhase::Released);
        desk.until(20_000);
        desk.traffic(1500, 10, FINE);
        let fresh = [2, 3].map(|ix| EndpointRecord {
            age,
            ..endpoint(ix, 2)
        });
        desk.tell(Event::EndpointsUpdated {
            kind: UpdateKind::Snapshot,
            endpoints: fresh.to_vec(),
        });
        desk.is_client_retry = is_client_retry;
        desk.traffic(1000, apart, FINE);
        desk.stage(2, 1, RolloutPhase::Canary, 1.0);
        desk.traffic(150, apart, |_| (AttemptOutcome::Succeeded, 700));
        let vote = desk
            .trace
            .lines()
            .find(|l| l.contains("vote"))
            .unwrap_or("nothing")
            .to_string();
        lines += &format!("{case}: {vote}\n");
    }
    expect![[r#"
        warm: 45250: vote RollBack on 2 stage 1
        cold: nothing
        three times the traffic: nothing
        three times, marked as repeats: 38100: vote RollBack on 2 stage 1
    "#]]
    .assert_eq(&lines);
}

#[test]
fn dead_full_and_failing_servers_rest() {
    let mut lines = String::new();
    for bad in [
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::Rejected,
        AttemptOutcome::ServerError,
        AttemptOutcome::Succeeded,
    ] {
        let mut desk = Desk::with(parameters(), &[1, 1, 1], RolloutPhase::Released);
        let used = desk.traffic(120, 5, |s| {
            if s == 0 {
                (bad, 2)
            } else {
                (AttemptOutcome::Succeeded, 50)
            }
        });
        lines += &format!("{bad:?}: {}\n", share(&used, 0));
    }
    expect![[r#"
        ConnectFailed: 1 of 121
        Rejected: 3 of 123
        ServerError: 3 of 120
        Succeeded: 91 of 120
    "#]]
    .assert_eq(&lines);
}

#[test]
fn work_that_a_time_out_leaves_behind_fills_a_server() {
    let mut desk = Desk::with(parameters(), &[1], RolloutPhase::Released);
    let mut open = Vec::new();
    for _ in 0..12 {
        open.push(desk.request(LODGE, None));
    }
    desk.until(1500);
    for request in open {
        if desk.sent.iter().any(|s| s.0 == request) {
            desk.close(request, 0, AttemptOutcome::TimedOut, 1500);
        }
    }
    desk.trace.clear();
    desk.request(ASK, None);
    desk.until(1900);
    check(
        &desk,
        expect![[r#"
        1540: submit #13 to 0
    "#]],
    );
}

#[test]
fn no_second_copy_goes_out_while_one_runs() {
    let mut desk = Desk::with(
        parameters(),
        &[1, 1, 1, 1, 1, 1, 1, 1],
        RolloutPhase::Released,
    );
    for n in 0..40 {
        desk.until(n * 20);
        desk.request(ASK, None);
    }
    desk.until(1400);
    expect!["24 submissions of 40 txns"]
        .assert_eq(&format!("{} submissions of 40 txns", desk.sent.len()));
}

#[test]
fn a_silent_zone_is_not_held_against_a_build_that_runs_there() {
    let mut lines = String::new();
    let cases = [
        (
            "all its servers, in a zone that is silent",
            [1, 2, 1, 2, 1, 2],
        ),
        ("its servers alone, in both zones", [1, 1, 1, 1, 2, 2]),
    ];
    for (case, builds) in cases {
        let mut told = parameters();
        told.rollout.exposure_allowance = 1000.0;
        let mut desk = Desk::new(told);
        desk.until(20_000);
        let listed = builds
            .iter()
            .enumerate()
            .map(|(ix, b)| endpoint(ix, *b))
            .collect();
        desk.tell(Event::EndpointsUpdated {
            kind: UpdateKind::Snapshot,
            endpoints: listed,
        });
        desk.stage(2, 0, RolloutPhase::Canary, 1.0);
        desk.traffic(300, 10, FINE);
        let (silent, mut open) = (|ix: usize| builds[ix] == 2, Vec::new());
        for n in 0..400 {
            desk.pass(10);
            let request = desk.request(LODGE, None);
            match desk.sent.last().filter(|s| s.0 == request).map(|s| s.1) {
                Some(to) if silent(to) => open.push((n, request)),
                Some(_) => desk.close(request, 0, AttemptOutcome::Succeeded, 50),
                None => {}
            }
            for (_, request) in open.extract_if(.., |o| o.0 + 150 <= n) {
                desk.close(request, 0, AttemptOutcome::TimedOut, 1500);
            }
        }
        let back = desk
            .decisions()
            .lines()
            .find(|l| l.contains("vote RollBack"))
            .map(str::to_string);
        lines += &format!("{case}: {}\n", back.unwrap_or("kept".into()));
    }
    expect![[r#"
        all its servers, in a zone that is silent: kept
        its servers alone, in both zones: 24950: vote RollBack on 2 stage 0
    "#]]
    .assert_eq(&lines);
}

#[test]
fn a_new_machine_of_a_slow_model_is_spared_before_it_has_answered() {
    let of_model = |ix, build| EndpointRecord {
        model: ix % 2,
        ..endpoint(ix, build)
    };
    let list = |of: std::ops::Range<usize>, build| {
        let lines = of.map(|ix| of_model(ix, build)).collect();
        Event::EndpointsUpdated {
            kind: UpdateKind::Snapshot,
            endpoints: lines,
        }
    };
    let mut desk = Desk::with(parameters(), &[1], RolloutPhase::Released);
    desk.tell(list(0..4, 1));
    desk.traffic(400, 10, |ix| {
        (
            AttemptOutcome::Succeeded,
            if ix % 2 == 1 { 150 } else { 50 },
        )
    });
    desk.stage(2, 0, RolloutPhase::Canary, 1.0);
    desk.tell(list(4..6, 2));
    let used = desk.traffic(200, 1600, |_| (AttemptOutcome::Cancelled, 50)); // says nothing of its pace
    expect![[r#"
        of the slow model: 80 of 200
    "#]]
    .assert_eq(&format!("of the slow model: {}\n", share(&used, 5)));
}

#[test]
fn the_only_zone_is_not_left_out_so_a_jam_of_all_its_servers_is_still_seen() {
    let mut told = parameters();
    (told.gateway_count, told.limits.gossip_enabled) = (24, false);
    let mut desk = Desk::new(told);
    let lines = (0..4)
        .map(|ix| EndpointRecord {
            zone: ZoneId(0),
            ..endpoint(ix, 1)
        })
        .collect();
    desk.tell(Event::EndpointsUpdated {
        kind: UpdateKind::Snapshot,
        endpoints: lines,
    });
    desk.stage(1, 0, RolloutPhase::Released, 1.0);
    // Nothing is answered, for longer than a zone may be silent.
    for _ in 0..40 {
        desk.request(LODGE, None);
        desk.pass(30);
    }
    let mut at_once = 0;
    for _ in 0..20 {
        let request = desk.request(LODGE, None);
        at_once += usize::from(desk.trace.contains(&format!("decline #{request},")));
        desk.pass(15);
    }
    expect!["20 of 20 are given up on at once"]
        .assert_eq(&format!("{at_once} of 20 are given up on at once"));
}
