//! What eliminates a build, and by whose votes.

use expect_test::expect;
use harrierdock_types::*;

use crate::support::*;

#[test]
fn chance_eliminations_among_hundreds_do_not_add_up() {
    // Votes of members that are no aggregators count for nothing, however many; nor does one aggregator suffice.
    let mut gateway = group_member(400, 5);
    for from in 8..400 {
        gateway.receive_gossip(from, "2.0.1.t");
    }
    for _ in 0..9 {
        gateway.receive_gossip(2, "2.0.99.t");
    }
    let mut lines = format!("392 members and an aggregator: {:?}\n", gateway.decisions());
    let mut gateway = group_member(400, 21);
    for from in 0..8 {
        gateway.receive_gossip(from, "2.0.3.t");
    }
    lines += &format!(
        "all aggregators at the cube of eta: {:?}\n",
        gateway.decisions()
    );
    gateway.receive_gossip(3, "2.0.7.t");
    lines += &format!("and one at more: {}", gateway.decisions());
    expect![[r#"
        392 members and an aggregator: ""
        all aggregators at the cube of eta: ""
        and one at more: 0: vote RollBack on 2 stage 0
    "#]]
    .assert_eq(&lines);
}

#[test]
fn a_gateway_without_gossip_decides_alone() {
    let mut lines = String::new();
    for (case, canary_outcome) in [
        ("all failed", AttemptOutcome::ServerError),
        ("all served", AttemptOutcome::Succeeded),
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
        all served: 3000: vote Promote on 2 stage 0
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
fn an_elimination_needs_twenty_outcomes_and_a_gap() {
    let mut lines = String::new();
    for (case, outcomes, every) in [
        ("19, all fail", 19, 1),
        ("20, all fail", 20, 1),
        ("24, each 12th", 24, 12),
        ("24, each 3rd", 24, 3),
    ] {
        let mut gateway = canary_trial(1, StageControl::Votes, outcomes, |n| n % every == 0);
        gateway.advance(60);
        lines += &format!("{case}: {}", gateway.first_decision("nothing"));
        lines.push('\n');
    }
    expect![[r#"
        19, all fail: nothing
        20, all fail: 1030: vote RollBack on 2 stage 0
        24, each 12th: nothing
        24, each 3rd: 1050: vote RollBack on 2 stage 0
    "#]]
    .assert_eq(&lines);
}
