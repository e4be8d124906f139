//! Which outcomes and which votes eliminate a build.

use expect_test::expect;
use harrierdock_types::*;

use crate::support::*;

#[test]
fn weak_votes_of_hundreds_of_gateways_do_not_eliminate() {
    // Votes of gateways that are not aggregators never count, and the votes of a single aggregator are not enough.
    let mut gateway = group_member(400, 5);
    for from in 8..400 {
        gateway.receive_gossip(from, "2.0.1.t");
    }
    for _ in 0..9 {
        gateway.receive_gossip(2, "2.0.99.t");
    }
    let mut lines = format!(
        "392 other members and one aggregator: {:?}\n",
        gateway.decisions()
    );
    let mut gateway = group_member(400, 21);
    for from in 0..8 {
        gateway.receive_gossip(from, "2.0.3.t");
    }
    lines += &format!("all aggregators with weight 3: {:?}\n", gateway.decisions());
    gateway.receive_gossip(3, "2.0.7.t");
    lines += &format!("one of them with weight 7: {}", gateway.decisions());
    expect![[r#"
        392 other members and one aggregator: ""
        all aggregators with weight 3: ""
        one of them with weight 7: 0: vote RollBack on 2 stage 0
    "#]]
    .assert_eq(&lines);
}

#[test]
fn a_gateway_without_gossip_decides_alone() {
    let mut lines = String::new();
    for (case, canary_outcome) in [
        ("all failed", AttemptOutcome::ServerError),
        ("all succeeded", AttemptOutcome::Succeeded),
    ] {
        let mut parameters = default_parameters();
        parameters.gateway_count = 24;
        parameters.limits.gossip_enabled = false;
        parameters.rollout.exposure_allowance = 1000.0;
        let mut gateway = ScriptedGateway::with_endpoints(
            parameters,
            &[1, 1, 1, 1, 2, 2, 2, 2],
            RolloutPhase::Canary,
        );
        gateway.run_traffic(300, 10, |endpoint| match endpoint {
            0..=3 => (AttemptOutcome::Succeeded, 50),
            _ => (canary_outcome, 50),
        });
        lines += &format!("{case}: {}\n", gateway.first_decision("no vote"));
    }
    expect![[r#"
        all failed: 450: vote RollBack on 2 stage 0
        all succeeded: 3000: vote Promote on 2 stage 0
    "#]]
    .assert_eq(&lines);
}

#[test]
fn several_complaints_eliminate_the_canary_and_one_does_not() {
    let mut parameters = default_parameters();
    parameters.gateway_count = 2;
    parameters.rollout.complaint_ratio = 0.15;
    let mut gateway =
        ScriptedGateway::with_endpoints(parameters, &[1, 1, 1, 2], RolloutPhase::Canary);
    gateway.run_traffic(1200, 10, ALWAYS_SUCCEEDS);
    for complaint in 0..12 {
        gateway.handle(Event::ComplaintReceived {
            endpoint: EndpointId(3),
            class: IDEMPOTENT,
        });
        gateway.trace.push_str(&format!("complaint {complaint}\n"));
        gateway.advance(60);
        if gateway.trace.contains("gossip") {
            break;
        }
    }
    let from = gateway.trace.find("complaint 0").unwrap_or(0);
    expect![[r#"
        complaint 0
        complaint 1
        complaint 2
        complaint 3
        12200: gossip 2.0.5.t
    "#]]
    .assert_eq(&gateway.trace[from..]);
}

#[test]
fn an_elimination_requires_twenty_outcomes_and_a_clear_difference() {
    let mut lines = String::new();
    for (case, request_count, failure_period) in [
        ("19 requests, all fail", 19, 1),
        ("20 requests, all fail", 20, 1),
        ("24 requests, every 12th fails", 24, 12),
        ("24 requests, every 3rd fails", 24, 3),
    ] {
        let mut gateway = canary_trial(1, StageControl::Votes, request_count, |request| {
            request % failure_period == 0
        });
        gateway.advance(60);
        lines += &format!("{case}: {}", gateway.first_decision("nothing"));
        lines.push('\n');
    }
    expect![[r#"
        19 requests, all fail: nothing
        20 requests, all fail: 1030: vote RollBack on 2 stage 0
        24 requests, every 12th fails: nothing
        24 requests, every 3rd fails: 1050: vote RollBack on 2 stage 0
    "#]]
    .assert_eq(&lines);
}
