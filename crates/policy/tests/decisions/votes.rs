//! Elimination, drops and votes.

use expect_test::expect;
use harrierdock_types::*;

use crate::desk::*;

/// A trial of build 2 on one of four endpoints, where every n-th answer of the trial build fails.
fn trial(
    gateway_count: usize,
    control: StageControl,
    outcomes: usize,
    fails: impl Fn(usize) -> bool,
) -> Desk {
    let mut told = parameters();
    told.gateway_count = gateway_count;
    told.rollout.stage_control = control;
    told.rollout.exposure_allowance = 1000.0;
    let mut desk = Desk::with(told, &[1, 1, 1, 2], RolloutPhase::Canary);
    let seen = std::cell::Cell::new(0);
    while seen.get() < outcomes {
        desk.traffic(1, 10, |s| {
            seen.set(seen.get() + usize::from(s == 3));
            if s == 3 && fails(seen.get()) {
                (AttemptOutcome::ServerError, 5)
            } else {
                (AttemptOutcome::Succeeded, 50)
            }
        });
    }
    desk
}

#[test]
fn a_drop_needs_twenty_outcomes_and_the_gap() {
    let mut lines = String::new();
    for (case, outcomes, every) in [
        ("19, all fail", 19, 1),
        ("20, all fail", 20, 1),
        ("24, each 12th", 24, 12),
        ("24, each 3rd", 24, 3),
    ] {
        let mut desk = trial(1, StageControl::Votes, outcomes, |n| n % every == 0);
        desk.pass(60);
        lines += &format!(
            "{case}: {}",
            desk.decisions().lines().next().unwrap_or("nothing")
        );
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

#[test]
fn distinct_senders_are_counted_and_a_stage_starts_anew() {
    let mut desk = trial(6, StageControl::Votes, 0, |_| false);
    let mail = |desk: &mut Desk, from, text: &str| desk.mail(from, text);
    mail(&mut desk, 1, "2.0.15.t");
    mail(&mut desk, 1, "2.0.15.t"); // the same sender again
    mail(&mut desk, 2, "2.1.15.t"); // another stage
    mail(&mut desk, 9, "2.0.15.t"); // no such balancer
    mail(&mut desk, 3, "hello");
    mail(&mut desk, 4, "2.0.12.t");
    desk.trace.push_str("two senders of three\n");
    desk.stage(2, 1, RolloutPhase::Canary, 1.0);
    mail(&mut desk, 5, "2.1.40.t"); // three are needed
    mail(&mut desk, 4, "2.1.1.t");
    desk.trace.push_str("three senders, 16 of 28\n");
    mail(&mut desk, 1, "2.1.12.t");
    desk.trace
        .push_str("27 of 28, as one counts 14 at the most\n");
    desk.stage(2, 0, RolloutPhase::Canary, 0.2); // stale news
    mail(&mut desk, 1, "2.1.13.t");
    expect![[r#"
        two senders of three
        three senders, 16 of 28
        27 of 28, as one counts 14 at the most
        0: vote RollBack on 2 stage 1
    "#]]
    .assert_eq(&desk.decisions());
}

#[test]
fn a_back_vote_is_told_again_renewed_and_resent() {
    let mut desk = trial(2, StageControl::Votes, 20, |_| true);
    for status in [
        PlatformStatus::Overloaded,
        PlatformStatus::TimedOut,
        PlatformStatus::ServerError,
        PlatformStatus::Valid,
    ] {
        desk.status(2, 0, RolloutPhase::Canary, 1.0, status, true);
        desk.pass(400);
        desk.trace.push_str(&format!("after {status:?}\n"));
    }
    desk.until(4000);
    desk.stage(2, 0, RolloutPhase::Released, 1.0);
    desk.until(6000);
    desk.stage(2, 0, RolloutPhase::RolledBack, 0.0);
    desk.until(8000);
    expect![[r#"
        1030: vote RollBack on 2 stage 0
        1030: tell 2.0.232.t
        after Overloaded
        1550: vote RollBack on 2 stage 0
        after TimedOut
        1950: vote RollBack on 2 stage 0
        2050: tell 2.0.232.t
        after ServerError
        after Valid
        3050: tell 2.0.232.t
        4050: tell 2.0.232.t
        4250: vote RollBack on 2 stage 0
        5050: tell 2.0.232.t
        5100: vote RollBack on 2 stage 0
        5950: vote RollBack on 2 stage 0
        6050: tell 2.0.232.t
        7050: tell 2.0.232.t
    "#]]
    .assert_eq(&desk.decisions());
}

#[test]
fn earlier_drops_and_the_fallback_move_on() {
    let mut desk = trial(4, StageControl::Votes, 0, |_| false);
    desk.until(1000);
    for from in [1, 2] {
        desk.mail(from, "2.0.14.e");
    }
    desk.stage(2, 1, RolloutPhase::Canary, 1.0);
    desk.until(11000);
    expect![[r#"
        1000: vote Promote on 2 stage 0
        10000: vote Promote on 2 stage 1
        10850: vote Promote on 2 stage 1
    "#]]
    .assert_eq(&desk.decisions());
}

#[test]
fn under_the_clock_half_the_drops_hold_for_three_seconds() {
    let mut desk = trial(8, StageControl::Clock, 0, |_| false);
    desk.until(1000);
    for from in [1, 2, 3, 4] {
        desk.mail(from, "2.0.4.t");
    }
    desk.status(2, 0, RolloutPhase::Canary, 1.0, PlatformStatus::Valid, true);
    desk.until(9000);
    expect![[r#"
        1000: vote Hold on 2 stage 0
        3000: vote Hold on 2 stage 0
        3850: vote Hold on 2 stage 0
        4000: vote Withdraw on 2 stage 0
    "#]]
    .assert_eq(&desk.decisions());
}

#[test]
fn same_events_give_same_actions() {
    let run = || {
        let mut desk = trial(3, StageControl::Votes, 30, |n| n % 4 == 0);
        desk.until(9000);
        desk.trace
    };
    assert_eq!(run(), run());
}
