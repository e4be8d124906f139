//! The five rules: answers, repeats, lists, cold endpoints, exposure and keys.

use expect_test::expect;
use harrierdock_types::TimeDelta;
use harrierdock_types::*;

use crate::desk::*;

#[test]
fn a_txn_gets_one_final_answer_at_once_when_given_up_on() {
    let mut desk = Desk::with(parameters(), &[1], RolloutPhase::Released);
    let (ask, lodge) = (desk.request(ASK, None), desk.request(LODGE, None));
    let left = desk.request(ASK, None);
    desk.until(200);
    desk.tell(Event::ClientDisconnected {
        id: RequestId(left),
    });
    desk.close(left, 0, AttemptOutcome::Cancelled, 200);
    desk.until(1500);
    desk.close(ask, 0, AttemptOutcome::TimedOut, 1500);
    desk.close(lodge, 0, AttemptOutcome::TimedOut, 1500);
    desk.until(4000);
    check(
        &desk,
        expect![[r#"
        0: submit #1 to 0
        0: submit #2 to 0
        0: submit #3 to 0
        200: recall #3 attempt 0
        1500: decline #1, back in 400 ms
        1500: void #2
    "#]],
    );
}

#[test]
fn a_wait_for_a_server_ends_with_the_client() {
    let mut desk = Desk::with(parameters(), &[1], RolloutPhase::Released);
    let ask = desk.request(ASK, None);
    desk.until(1495);
    desk.close(ask, 0, AttemptOutcome::Rejected, 1495);
    desk.until(3000);
    check(
        &desk,
        expect![[r#"
        0: submit #1 to 0
        1500: decline #1, back in 400 ms
    "#]],
    );
}

#[test]
fn repeats_keep_to_the_product_its_group_and_its_memory() {
    let mut desk = Desk::with(parameters(), &[1, 1, 1, 1], RolloutPhase::Released);
    let lodge = desk.request(LODGE, None);
    desk.close(lodge, 0, AttemptOutcome::ServerError, 20); // may have run: no more
    let lodge = desk.request(LODGE, None);
    desk.close(lodge, 0, AttemptOutcome::ConnectFailed, 20); // never ran: another endpoint
    let note = desk.request(NOTE, None);
    desk.close(note, 0, AttemptOutcome::ServerError, 20); // the same zone only
    let late = desk.request(NOTE, None);
    desk.until(998);
    desk.close(late, 0, AttemptOutcome::ServerError, 998); // its repeats are not remembered for longer
    let zones: Vec<_> = desk
        .sent
        .iter()
        .filter(|s| s.0 == note)
        .map(|s| s.1 % 2)
        .collect();
    assert!(
        zones.len() >= 2 && zones.iter().all(|z| *z == zones[0]),
        "{zones:?}"
    );
    let ends: String = desk
        .trace
        .lines()
        .filter(|l| !l.contains("submit"))
        .map(|l| format!("{l}\n"))
        .collect();
    expect![[r#"
        40: void #1
        998: void #4
    "#]]
    .assert_eq(&ends);
}

#[test]
fn draining_and_gone_servers_get_nothing_and_a_list_is_asked_for() {
    let mut desk = Desk::with(
        Parameters {
            discovery_mode: DiscoveryMode::Poll,
            ..parameters()
        },
        &[1, 1, 1],
        RolloutPhase::Released,
    );
    let draining = EndpointRecord {
        lifecycle: Lifecycle::Draining,
        ..endpoint(0, 1)
    };
    desk.tell(Event::EndpointsUpdated {
        kind: UpdateKind::Delta,
        endpoints: vec![draining],
    });
    desk.tell(Event::EndpointsUpdated {
        kind: UpdateKind::Snapshot,
        endpoints: vec![endpoint(1, 1)],
    });
    let used = desk.traffic(20, 20, FINE);
    desk.tell(Event::EndpointsUpdated {
        kind: UpdateKind::Failed,
        endpoints: vec![],
    });
    desk.until(3000);
    let lines = format!("used 1: {}\n{}", share(&used, 1), desk.decisions());
    expect![[r#"
        used 1: 20 of 20
        0: WatchEndpoints
        1400: WatchEndpoints
    "#]]
    .assert_eq(&lines);
}

#[test]
fn a_cold_server_is_warmed_by_its_share_even_in_a_jam_of_retries() {
    let mut desk = Desk::with(parameters(), &[1, 1, 1, 1], RolloutPhase::Released);
    desk.traffic(100, 20, FINE);
    let cold = EndpointRecord {
        age: Some(TimeDelta::ZERO),
        ..endpoint(0, 1)
    };
    desk.tell(Event::EndpointsUpdated {
        kind: UpdateKind::Delta,
        endpoints: vec![cold],
    });
    let down = |s| {
        if s == 0 {
            (AttemptOutcome::Succeeded, 50)
        } else {
            (AttemptOutcome::ConnectFailed, 1)
        }
    };
    let used = desk.traffic(200, 5, down);
    expect!["5 of 9"].assert_eq(&share(&used, 0));
}

#[test]
fn many_quiet_gateways_in_a_jam_leave_a_cold_server_alone() {
    let mut lines = String::new();
    for (case, cold, full) in [
        ("one is cold", 1, AttemptOutcome::Succeeded),
        ("one is cold, the others full", 1, AttemptOutcome::Rejected),
        (
            "half are cold, the others full",
            5,
            AttemptOutcome::Rejected,
        ),
    ] {
        let mut reached = 0;
        for n in 0..100 {
            let mut desk = Desk::with(parameters(), &[1; 10], RolloutPhase::Released);
            desk.traffic(8 + n % 7, 250, FINE);
            let lines = (0..cold)
                .map(|s| EndpointRecord {
                    age: Some(TimeDelta::ZERO),
                    ..endpoint(s, 1)
                })
                .collect();
            desk.tell(Event::EndpointsUpdated {
                kind: UpdateKind::Delta,
                endpoints: lines,
            });
            let used = desk.traffic(4, 250, |s| {
                if s < cold {
                    (AttemptOutcome::Succeeded, 50)
                } else {
                    (full, 1)
                }
            });
            reached += used.iter().filter(|s| **s < cold).count();
        }
        lines += &format!("{case}: {reached} of 400 txns went to {cold} of ten\n");
    }
    expect![[r#"
        one is cold: 28 of 400 txns went to 1 of ten
        one is cold, the others full: 14 of 400 txns went to 1 of ten
        half are cold, the others full: 143 of 400 txns went to 5 of ten
    "#]]
    .assert_eq(&lines);
}

#[test]
fn exposure_keeps_to_the_window_by_build_and_by_product() {
    let mut by_product = parameters();
    by_product.rollout.exposure_counting = ExposureCounting::PerClass;
    let mut lines = String::new();
    for (name, told) in [("together", parameters()), ("by product", by_product)] {
        for (case, stage, phase, exposure_limit) in [
            ("cap 0.2", 0, RolloutPhase::Canary, 0.2),
            ("cap 0", 0, RolloutPhase::RollingBack, 0.0),
            ("withdrawn", 1, RolloutPhase::RolledBack, 0.0),
        ] {
            let mut desk = Desk::with(told.clone(), &[1, 1, 2, 2, 2], RolloutPhase::Canary);
            desk.stage(2, stage, phase, exposure_limit);
            let used = desk.traffic(95, 20, FINE);
            lines += &format!(
                "{name}, {case}: {}\n",
                used.iter().filter(|s| **s >= 2).count()
            );
        }
        let mut desk = Desk::with(told, &[1, 1, 2, 2, 2], RolloutPhase::Canary);
        desk.stage(1, 1, RolloutPhase::Released, 1.0);
        let used = desk.traffic(95, 20, FINE);
        lines += &format!(
            "{name}, unannounced: {}\n",
            used.iter().filter(|s| **s >= 2).count()
        );
    }
    expect![[r#"
        together, cap 0.2: 20
        together, cap 0: 0
        together, withdrawn: 0
        together, unannounced: 20
        by product, cap 0.2: 20
        by product, cap 0: 0
        by product, withdrawn: 0
        by product, unannounced: 20
    "#]]
    .assert_eq(&lines);
}

#[test]
fn guarded_stages_take_inquiries_only_and_answered_keys_stay() {
    let mut told = parameters();
    told.rollout.guarded_stages = 1;
    told.rollout.monotonic_versions = true;
    let mut desk = Desk::with(told, &[1, 2], RolloutPhase::Canary);
    assert_eq!(share(&desk.traffic(30, 20, FINE), 1), "0 of 30");
    let mut pinned = None;
    for key in 1..40 {
        let request = desk.request(ASK, Some(key));
        let to = desk.sent.last().map(|s| s.1);
        desk.close(request, 0, AttemptOutcome::Succeeded, 30);
        pinned = pinned.or((to == Some(1)).then_some(key));
    }
    desk.trace.clear();
    desk.until(1000);
    desk.request(ASK, pinned);
    desk.stage(2, 0, RolloutPhase::Released, 1.0);
    desk.request(ASK, pinned);
    desk.stage(2, 0, RolloutPhase::RollingBack, 0.0);
    desk.request(ASK, pinned);
    check(
        &desk,
        expect![[r#"
        1000: submit #70 to 1
        1000: submit #71 to 1
        1000: submit #72 to 0
    "#]],
    );
}

#[test]
fn servers_and_keys_that_are_over_are_not_kept() {
    let mut told = parameters();
    told.rollout.monotonic_versions = true;
    let mut desk = Desk::with(told, &[1, 1], RolloutPhase::Released);
    let mut trace = String::new();
    for build in 2..30 {
        let places = [build as usize * 2, build as usize * 2 + 1];
        let lines = places.map(|ix| endpoint(ix, build));
        desk.tell(Event::EndpointsUpdated {
            kind: UpdateKind::Delta,
            endpoints: lines.to_vec(),
        });
        desk.stage(build, 1, RolloutPhase::Canary, 1.0);
        for key in 0..20 {
            desk.pass(50);
            let request = desk.request(ASK, Some(u64::from(build) * 100 + key));
            desk.close(request, 0, AttemptOutcome::Succeeded, 30);
        }
        let during = desk.kept();
        let gone = |ix| EndpointRecord {
            lifecycle: Lifecycle::Removed,
            ..endpoint(ix, build - 1)
        };
        let lines = places
            .map(|ix| gone(if build == 2 { ix - 4 } else { ix - 2 }))
            .to_vec();
        desk.tell(Event::EndpointsUpdated {
            kind: UpdateKind::Delta,
            endpoints: lines,
        });
        desk.stage(build, 1, RolloutPhase::Released, 1.0);
        if build % 14 == 1 {
            trace += &format!(
                "build {build} on trial: {during}; released: {}\n",
                desk.kept()
            );
        }
    }
    // As long as a endpoint that is gone is remembered (3 s and three ramps), it may come back, and keys stay.
    desk.pass(18_100);
    trace += &format!("later, with no list: {}\n", desk.kept());
    expect![[r#"
        build 15 on trial: 30 servers, 30 marks, 139 keys; released: 30 servers, 30 marks, 139 keys
        build 29 on trial: 38 servers, 38 marks, 191 keys; released: 38 servers, 38 marks, 191 keys
        later, with no list: 2 servers, 2 marks, 0 keys
    "#]]
    .assert_eq(&trace);
}
