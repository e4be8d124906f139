//! Votes on a rollout: how they are decided, cast, renewed and withdrawn.

use expect_test::expect;
use harrierdock_types::*;

use crate::support::*;

#[test]
fn eliminations_count_once_per_sender_and_only_in_their_stage() {
    let mut gateway = canary_trial(6, StageControl::Votes, 0, |_| false);
    gateway.receive_gossip(1, "2.0.15.t");
    gateway.receive_gossip(1, "2.0.15.t"); // a repeated vote
    gateway.receive_gossip(2, "2.1.15.t"); // for another stage
    gateway.receive_gossip(9, "2.0.15.t"); // from an unknown gateway
    gateway.receive_gossip(3, "hello");
    gateway.receive_gossip(4, "2.0.12.t");
    gateway.trace.push_str("two senders, three required\n");
    gateway.update_rollout(2, 1, RolloutPhase::Canary, 1.0);
    gateway.receive_gossip(5, "2.1.40.t"); // three senders are required
    gateway.receive_gossip(4, "2.1.1.t");
    gateway.trace.push_str("three senders, 16 of 28\n");
    gateway.receive_gossip(1, "2.1.12.t");
    gateway
        .trace
        .push_str("27 of 28, as a sender counts at most 14\n");
    gateway.update_rollout(2, 0, RolloutPhase::Canary, 0.2); // outdated
    gateway.receive_gossip(1, "2.1.13.t");
    expect![[r#"
        two senders, three required
        three senders, 16 of 28
        27 of 28, as a sender counts at most 14
        0: vote RollBack on 2 stage 1
    "#]]
    .assert_eq(&gateway.decisions());
}

#[test]
fn a_roll_back_vote_is_gossiped_renewed_and_cast_again() {
    let mut gateway = canary_trial(2, StageControl::Votes, 20, |_| true);
    for status in [
        PlatformStatus::Overloaded,
        PlatformStatus::TimedOut,
        PlatformStatus::ServerError,
        PlatformStatus::Valid,
    ] {
        gateway.answer_vote(2, 0, status);
        gateway.advance(400);
        gateway.trace.push_str(&format!("after {status:?}\n"));
    }
    gateway.run_until(4000);
    gateway.update_rollout(2, 0, RolloutPhase::Released, 1.0);
    gateway.run_until(6000);
    gateway.update_rollout(2, 0, RolloutPhase::RolledBack, 0.0);
    gateway.run_until(8000);
    expect![[r#"
        1030: vote RollBack on 2 stage 0
        1030: gossip 2.0.232.t
        after Overloaded
        1550: vote RollBack on 2 stage 0
        after TimedOut
        1950: vote RollBack on 2 stage 0
        2050: gossip 2.0.232.t
        after ServerError
        after Valid
        3050: gossip 2.0.232.t
        4050: gossip 2.0.232.t
        4250: vote RollBack on 2 stage 0
        5050: gossip 2.0.232.t
        5100: vote RollBack on 2 stage 0
        5950: vote RollBack on 2 stage 0
        6050: gossip 2.0.232.t
        7050: gossip 2.0.232.t
    "#]]
    .assert_eq(&gateway.decisions());
}

#[test]
fn the_canary_is_promoted_after_baseline_eliminations_or_the_fallback_wait() {
    let mut gateway = canary_trial(4, StageControl::Votes, 0, |_| false);
    gateway.run_until(1000);
    for from in [1, 2] {
        gateway.receive_gossip(from, "2.0.14.e");
    }
    gateway.update_rollout(2, 1, RolloutPhase::Canary, 1.0);
    gateway.run_until(11000);
    expect![[r#"
        1000: vote Promote on 2 stage 0
        10000: vote Promote on 2 stage 1
        10850: vote Promote on 2 stage 1
    "#]]
    .assert_eq(&gateway.decisions());
}

#[test]
fn under_clock_control_half_of_the_elimination_weight_holds_for_three_seconds() {
    let mut gateway = canary_trial(8, StageControl::Clock, 0, |_| false);
    gateway.run_until(1000);
    for from in [1, 2, 3, 4] {
        gateway.receive_gossip(from, "2.0.4.t");
    }
    gateway.answer_vote(2, 0, PlatformStatus::Valid);
    gateway.run_until(9000);
    expect![[r#"
        1000: vote Hold on 2 stage 0
        3000: vote Hold on 2 stage 0
        3850: vote Hold on 2 stage 0
        4000: vote Withdraw on 2 stage 0
    "#]]
    .assert_eq(&gateway.decisions());
}

/// One of eight gateways at a platform that accepts one call per second, so that each vote waits for a random delay.
fn gateway_with_vote_delay(stage_control: StageControl) -> ScriptedGateway {
    let mut parameters = default_parameters();
    parameters.gateway_count = 8;
    parameters.rollout.stage_control = stage_control;
    parameters.rollout.votes_per_second = 1.0;
    ScriptedGateway::with_endpoints(parameters, &[1, 1, 1, 2], RolloutPhase::Canary)
}

#[test]
fn a_withdrawal_that_waits_for_its_turn_is_cast_until_it_counts_or_the_hold_lapses() {
    let mut trace = String::new();
    for (case, is_answered) in [("never answered", false), ("answered", true)] {
        let mut gateway = gateway_with_vote_delay(StageControl::Clock);
        for from in [1, 2, 3, 4] {
            gateway.receive_gossip(from, "2.0.4.t");
        }
        gateway.run_until(2500);
        gateway.answer_vote(2, 0, PlatformStatus::TimedOut);
        gateway.run_until(4500);
        if is_answered {
            gateway.answer_vote(2, 0, PlatformStatus::Valid);
        }
        gateway.run_until(12_000);
        trace += &format!("{case}\n{}", gateway.decisions());
    }
    // A hold counts for 4 s from when it was cast.
    expect![[r#"
        never answered
        2050: vote Hold on 2 stage 0
        4200: vote Withdraw on 2 stage 0
        5050: vote Withdraw on 2 stage 0
        5900: vote Withdraw on 2 stage 0
        answered
        2050: vote Hold on 2 stage 0
        4200: vote Withdraw on 2 stage 0
    "#]]
    .assert_eq(&trace);
}

#[test]
fn an_answer_to_the_vote_before_counts_for_none_that_waits_for_its_turn() {
    let mut gateway = gateway_with_vote_delay(StageControl::Votes);
    gateway.run_until(500);
    for from in [1, 2, 3, 4] {
        gateway.receive_gossip(from, "2.0.14.e");
    }
    gateway.run_until(2600);
    gateway.answer_vote(2, 0, PlatformStatus::TimedOut);
    gateway.run_until(3000);
    for from in [1, 2, 3, 4] {
        gateway.receive_gossip(from, "2.0.14.t");
    }
    gateway.trace.push_str("the canary is eliminated\n");
    gateway.run_until(3100);
    gateway.answer_vote(2, 0, PlatformStatus::Valid);
    gateway.run_until(5000);
    expect![[r#"
        2550: vote Promote on 2 stage 0
        the canary is eliminated
        4200: vote RollBack on 2 stage 0
    "#]]
    .assert_eq(&gateway.decisions());
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut gateway = canary_trial(3, StageControl::Votes, 30, |outcome| outcome % 4 == 0);
        gateway.run_until(9000);
        gateway.trace
    };
    assert_eq!(run(), run());
}
