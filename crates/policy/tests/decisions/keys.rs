//! Keys: the build that one stays with, whatever news, lists and answers come in which order.

use expect_test::expect;
use harrierdock_types::*;

use crate::desk::*;

#[test]
fn a_key_stays_with_the_newest_build_where_its_answer_may_be_lost() {
    let mut told = parameters();
    told.rollout.monotonic_versions = true;
    let mut trace = String::new();
    for outcome in [
        AttemptOutcome::Reset,
        AttemptOutcome::TimedOut,
        AttemptOutcome::ServerError,
        AttemptOutcome::ConnectFailed,
    ] {
        let mut desk = Desk::with(told.clone(), &[1, 2], RolloutPhase::Canary);
        let mut key = 0;
        let first = loop {
            key += 1;
            let request = desk.request(LODGE, Some(key));
            if desk.sent.last() == Some(&(request, 1)) {
                break request;
            }
            desk.close(request, 0, AttemptOutcome::Succeeded, 30);
        };
        desk.close(first, 0, outcome, 30);
        if desk.sent.last() == Some(&(first, 0)) {
            desk.close(first, 1, AttemptOutcome::Succeeded, 30);
        }
        desk.pass(5000);
        let used: Vec<usize> = (0..20)
            .filter_map(|_| {
                desk.pass(100);
                let request = desk.request(LODGE, Some(key));
                let to = desk.sent.last().filter(|s| s.0 == request)?.1;
                // One that fails leaves the key as it was.
                desk.close(request, 0, AttemptOutcome::ServerError, 30);
                Some(to)
            })
            .collect();
        trace += &format!("{outcome:?}: earlier build {}\n", share(&used, 0));
    }
    // Nor does it leave while its answer may be on its way.
    let mut desk = Desk::with(told, &[1, 2], RolloutPhase::Canary);
    let mut used: Vec<usize> = Vec::new();
    for key in 0..40 {
        let [first, second] = [0; 2].map(|_| desk.request(ASK, Some(key)));
        let to: Vec<usize> = desk
            .sent
            .iter()
            .filter(|s| s.0 >= first)
            .map(|s| s.1)
            .collect();
        used.extend(to.get(1).filter(|_| to[0] == 1));
        [first, second]
            .into_iter()
            .for_each(|request| desk.close(request, 0, AttemptOutcome::Succeeded, 30));
        desk.pass(20);
    }
    trace += &format!("on its way: earlier build {}\n", share(&used, 0));
    expect![[r#"
        Reset: earlier build 0 of 20
        TimedOut: earlier build 0 of 20
        ServerError: earlier build 5 of 20
        ConnectFailed: earlier build 5 of 20
        on its way: earlier build 0 of 20
    "#]]
    .assert_eq(&trace);
}

/// A released build at three endpoints, and at endpoint 3 a later one of which no news has come.
fn before_news() -> Desk {
    let mut told = parameters();
    (
        told.rollout.monotonic_versions,
        told.rollout.exposure_allowance,
    ) = (true, 1000.0);
    let mut desk = Desk::new(told);
    let lines = [1, 1, 1, 2]
        .iter()
        .enumerate()
        .map(|(ix, build)| endpoint(ix, *build))
        .collect();
    desk.tell(Event::EndpointsUpdated {
        kind: UpdateKind::Snapshot,
        endpoints: lines,
    });
    desk.stage(1, 1, RolloutPhase::Released, 1.0);
    desk
}

/// Asks with one key until the later build has answered it.
fn ask_until_later(desk: &mut Desk, key: u64) {
    loop {
        let request = desk.request(LODGE, Some(key));
        let to = desk.sent.last().map(|s| s.1);
        desk.close(request, 0, AttemptOutcome::Succeeded, 50);
        desk.pass(20);
        if to == Some(3) {
            return;
        }
    }
}

#[test]
fn a_key_that_a_build_without_news_has_answered_stays_with_it() {
    let mut lines = String::new();
    for case in ["a list comes", "the earlier build answers late"] {
        let mut desk = before_news();
        // The first key that goes to the earlier build; its answer is awaited.
        let mut key = 7;
        let mut late = desk.request(LODGE, Some(key));
        while desk.sent.last().is_none_or(|s| s.1 == 3) {
            desk.close(late, 0, AttemptOutcome::Succeeded, 50);
            key += 1;
            late = desk.request(LODGE, Some(key));
        }
        ask_until_later(&mut desk, key);
        if case == "a list comes" {
            desk.tell(Event::EndpointsUpdated {
                kind: UpdateKind::Delta,
                endpoints: vec![endpoint(0, 1)],
            });
        } else {
            desk.close(late, 0, AttemptOutcome::Succeeded, 400);
        }
        let from = desk.sent.len();
        for _ in 0..20 {
            let request = desk.request(LODGE, Some(key));
            desk.close(request, 0, AttemptOutcome::Succeeded, 50);
            desk.pass(20);
        }
        let used: Vec<usize> = desk.sent[from..].iter().map(|s| s.1).collect();
        lines += &format!("{case}: {} with the later build\n", share(&used, 3));
    }
    expect![[r#"
        a list comes: 20 of 20 with the later build
        the earlier build answers late: 20 of 20 with the later build
    "#]]
    .assert_eq(&lines);
}

#[test]
fn a_key_of_a_released_build_stays_with_it_when_a_lost_server_comes_back_with_an_earlier_one() {
    let mut told = parameters();
    (
        told.rollout.monotonic_versions,
        told.rollout.exposure_allowance,
    ) = (true, 1000.0);
    let mut desk = Desk::new(told);
    let lines = [2, 2, 2, 1]
        .iter()
        .enumerate()
        .map(|(ix, build)| endpoint(ix, *build))
        .collect();
    desk.tell(Event::EndpointsUpdated {
        kind: UpdateKind::Snapshot,
        endpoints: lines,
    });
    desk.stage(2, 1, RolloutPhase::Released, 1.0);
    for key in 0..40 {
        while desk.sent.last().is_none_or(|s| s.1 == 3) {
            let request = desk.request(LODGE, Some(key));
            desk.close(request, 0, AttemptOutcome::Succeeded, 50);
        }
        desk.sent.clear();
    }
    // The last endpoint of the earlier build is lost, and back before it was moved to the later one.
    let gone = EndpointRecord {
        lifecycle: Lifecycle::Removed,
        ..endpoint(3, 1)
    };
    desk.tell(Event::EndpointsUpdated {
        kind: UpdateKind::Delta,
        endpoints: vec![gone],
    });
    desk.pass(5_000);
    desk.tell(Event::EndpointsUpdated {
        kind: UpdateKind::Delta,
        endpoints: vec![endpoint(3, 1)],
    });
    let mut ask = |keys: std::ops::Range<u64>| {
        let from = desk.sent.len();
        for key in keys {
            let request = desk.request(LODGE, Some(key));
            desk.close(request, 0, AttemptOutcome::Succeeded, 50);
            desk.pass(100);
        }
        let used: Vec<usize> = desk.sent[from..].iter().map(|s| s.1).collect();
        share(&used, 3)
    };
    let lines = format!(
        "answered before: {}; other keys: {}\n",
        ask(0..40),
        ask(100..140)
    );
    expect![[r#"
        answered before: 0 of 40; other keys: 14 of 40
    "#]]
    .assert_eq(&lines);
}

/// Server 3 runs build 3, of which no news has come; build 2 was sent back.
fn after_one_was_sent_back() -> Desk {
    let mut told = parameters();
    (
        told.rollout.monotonic_versions,
        told.rollout.exposure_allowance,
    ) = (true, 1000.0);
    let mut desk = Desk::new(told);
    let lines = [1, 1, 1, 3]
        .iter()
        .enumerate()
        .map(|(ix, build)| endpoint(ix, *build))
        .collect();
    desk.tell(Event::EndpointsUpdated {
        kind: UpdateKind::Snapshot,
        endpoints: lines,
    });
    desk.stage(2, 1, RolloutPhase::RolledBack, 0.0);
    desk
}

#[test]
fn news_again_of_a_build_that_was_sent_back_frees_no_key_of_a_later_one() {
    let mut lines = String::new();
    for case in ["the news comes again", "its answer is on its way"] {
        let mut desk = after_one_was_sent_back();
        if case == "the news comes again" {
            ask_until_later(&mut desk, 7);
            desk.stage(2, 1, RolloutPhase::RolledBack, 0.0);
        } else {
            // Its first attempt that goes to the later build is not answered yet.
            loop {
                let request = desk.request(LODGE, Some(7));
                if desk.sent.last().is_some_and(|s| s.1 == 3) {
                    break;
                }
                desk.close(request, 0, AttemptOutcome::Succeeded, 50);
                desk.pass(20);
            }
        }
        let from = desk.sent.len();
        for _ in 0..20 {
            let request = desk.request(LODGE, Some(7));
            desk.close(request, 0, AttemptOutcome::Succeeded, 50);
            desk.pass(20);
        }
        let used: Vec<usize> = desk.sent[from..].iter().map(|s| s.1).collect();
        lines += &format!("{case}: {} with the later build\n", share(&used, 3));
    }
    expect![[r#"
        the news comes again: 20 of 20 with the later build
        its answer is on its way: 20 of 20 with the later build
    "#]]
    .assert_eq(&lines);
}
