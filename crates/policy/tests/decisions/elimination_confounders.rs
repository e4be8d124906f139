//! Disturbances that look like a bad build, and must not eliminate it.

use std::cell::Cell;

use expect_test::expect;
use harrierdock_types::*;

use crate::support::*;

/// An unanswered request, and the step in which it was sent.
struct OpenRequest {
    step: usize,
    request: u64,
}

#[test]
fn connect_failures_do_not_eliminate_the_canary() {
    let mut lines = String::new();
    for failure in [AttemptOutcome::ConnectFailed, AttemptOutcome::ServerError] {
        let mut parameters = default_parameters();
        parameters.rollout.exposure_allowance = 1000.0;
        let mut gateway = ScriptedGateway::with_endpoints(
            parameters,
            &[1, 1, 1, 1, 2, 2, 2, 2],
            RolloutPhase::Canary,
        );
        let canary_attempts = Cell::new(0);
        gateway.run_traffic(300, 10, |endpoint| {
            let is_canary = endpoint > 3;
            canary_attempts.set(canary_attempts.get() + usize::from(is_canary));
            if is_canary && canary_attempts.get() % 3 == 1 {
                (failure, 250)
            } else {
                (AttemptOutcome::Succeeded, 50)
            }
        });
        let is_rolled_back = gateway.decisions().contains("vote RollBack");
        lines += &format!(
            "{failure:?} once in three: {}\n",
            if is_rolled_back {
                "rolled back"
            } else {
                "kept"
            }
        );
    }
    expect![[r#"
        ConnectFailed once in three: kept
        ServerError once in three: rolled back
    "#]]
    .assert_eq(&lines);
}

#[test]
fn one_class_slow_at_every_endpoint_does_not_eliminate_the_canary() {
    let mut lines = String::new();
    for (case, slow_classes) in [("one class", 1), ("all classes", 3)] {
        let mut parameters = default_parameters();
        parameters.gateway_count = 400;
        parameters.local_peer = PeerId(5);
        let mut gateway =
            ScriptedGateway::with_endpoints(parameters, &[1, 1, 1, 1, 1], RolloutPhase::Released);
        let report_classes = |gateway: &mut ScriptedGateway, slow_classes: usize| {
            let event = ReportedEvent::Attempt(AttemptOutcome::Succeeded);
            let latency_ratio = |class: usize| if class < slow_classes { 1.5 } else { 0.2 };
            let report = |class| OutcomeReport {
                gossip_id: GossipId(0),
                build: BuildId(1),
                class: ClassId(class),
                event,
                latency_ratio: latency_ratio(class),
            };
            let reports = [0, 1, 2].map(report).to_vec();
            gateway.receive_outcome_reports(13, 3, 0, reports);
            gateway.advance(40);
        };
        (0..300).for_each(|_| report_classes(&mut gateway, 0));
        gateway.update_endpoints(UpdateKind::Delta, vec![endpoint(4, 2)]);
        gateway.update_rollout(2, 0, RolloutPhase::Canary, 1.0);
        (0..40).for_each(|_| report_classes(&mut gateway, slow_classes));
        // Elimination votes to all peers, and votes at the rollout platform.
        let is_vote = |line: &&str| line.contains("gossip 2.") || line.contains("vote ");
        let decisions = gateway.decisions();
        let first = decisions.lines().find(is_vote).unwrap_or("nothing");
        lines += &format!("{case}: {first}\n");
    }
    expect![[r#"
        one class: nothing
        all classes: 12400: gossip 2.0.214.t
    "#]]
    .assert_eq(&lines);
}

#[test]
fn errors_at_one_of_several_endpoints_do_not_eliminate_the_canary() {
    let mut lines = String::new();
    let cases = [
        ("one of three", vec![4]),
        ("two of three", vec![3, 4]),
        ("two of three, and one of the baseline's", vec![0, 3, 4]),
        (
            "three of three, and one of the baseline's",
            vec![0, 2, 3, 4],
        ),
    ];
    for (case, failing) in cases {
        let mut parameters = default_parameters();
        parameters.rollout.exposure_allowance = 1000.0;
        let mut gateway =
            ScriptedGateway::with_endpoints(parameters, &[1, 1, 2, 2, 2], RolloutPhase::Canary);
        let fails = |endpoint| {
            if failing.contains(&endpoint) {
                (AttemptOutcome::ServerError, 5)
            } else {
                (AttemptOutcome::Succeeded, 50)
            }
        };
        gateway.run_traffic(240, 10, fails);
        lines += &format!("{case}: {}\n", gateway.first_decision("nothing"));
    }
    expect![[r#"
        one of three: nothing
        two of three: 730: vote RollBack on 2 stage 0
        two of three, and one of the baseline's: nothing
        three of three, and one of the baseline's: 500: vote RollBack on 2 stage 0
    "#]]
    .assert_eq(&lines);
}

#[test]
fn slower_answers_eliminate_the_canary_unless_warm_up_or_more_traffic_explains_them() {
    let mut lines = String::new();
    for (case, age, interval_ms, is_client_retry) in [
        ("warm", None, 10, false),
        ("warming up", Some(TimeDelta::ZERO), 10, false),
        ("three times the traffic", None, 3, false),
        ("three times, marked as client retries", None, 3, true),
    ] {
        let mut parameters = default_parameters();
        parameters.rollout.exposure_allowance = 1000.0;
        parameters.clients_mark_retries = true;
        let mut gateway =
            ScriptedGateway::with_endpoints(parameters, &[1, 1], RolloutPhase::Released);
        gateway.run_until(20_000);
        gateway.run_traffic(1500, 10, ALWAYS_SUCCEEDS);
        let restarted = [2, 3].map(|number| EndpointRecord {
            age,
            ..endpoint(number, 2)
        });
        gateway.update_endpoints(UpdateKind::Snapshot, restarted.to_vec());
        gateway.is_client_retry = is_client_retry;
        gateway.run_traffic(1000, interval_ms, ALWAYS_SUCCEEDS);
        gateway.update_rollout(2, 1, RolloutPhase::Canary, 1.0);
        gateway.run_traffic(150, interval_ms, |_| (AttemptOutcome::Succeeded, 700));
        let vote = gateway
            .trace
            .lines()
            .find(|line| line.contains("vote"))
            .unwrap_or("nothing")
            .to_string();
        lines += &format!("{case}: {vote}\n");
    }
    expect![[r#"
        warm: 45250: vote RollBack on 2 stage 1
        warming up: nothing
        three times the traffic: nothing
        three times, marked as client retries: 38100: vote RollBack on 2 stage 1
    "#]]
    .assert_eq(&lines);
}

#[test]
fn an_unresponsive_zone_does_not_eliminate_the_canary() {
    let mut lines = String::new();
    let cases = [
        (
            "all canary endpoints in one unresponsive zone",
            [1, 2, 1, 2, 1, 2],
        ),
        (
            "only the canary endpoints unresponsive, in both zones",
            [1, 1, 1, 1, 2, 2],
        ),
    ];
    for (case, builds) in cases {
        let mut parameters = default_parameters();
        parameters.rollout.exposure_allowance = 1000.0;
        let mut gateway = ScriptedGateway::new(parameters);
        gateway.run_until(20_000);
        gateway.update_endpoints(UpdateKind::Snapshot, endpoints(&builds));
        gateway.update_rollout(2, 0, RolloutPhase::Canary, 1.0);
        gateway.run_traffic(300, 10, ALWAYS_SUCCEEDS);
        let is_unresponsive = |number: usize| builds[number] == 2;
        let mut open: Vec<OpenRequest> = Vec::new();
        for step in 0..400 {
            gateway.advance(10);
            let request = gateway.receive_request(NON_IDEMPOTENT, None);
            match gateway.last_endpoint_of(request) {
                Some(to) if is_unresponsive(to) => open.push(OpenRequest { step, request }),
                Some(_) => gateway.finish_attempt(request, 0, AttemptOutcome::Succeeded, 50),
                None => {}
            }
            for late in open.extract_if(.., |open| open.step + 150 <= step) {
                gateway.finish_attempt(late.request, 0, AttemptOutcome::TimedOut, 1500);
            }
        }
        let vote = gateway
            .decisions()
            .lines()
            .find(|line| line.contains("vote RollBack"))
            .map(str::to_string);
        lines += &format!("{case}: {}\n", vote.unwrap_or("kept".into()));
    }
    expect![[r#"
        all canary endpoints in one unresponsive zone: kept
        only the canary endpoints unresponsive, in both zones: 24950: vote RollBack on 2 stage 0
    "#]]
    .assert_eq(&lines);
}
