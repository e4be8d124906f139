//! Keys: the build that one stays with, whatever news, lists and answers come in which order.

use expect_test::expect;
use harrierdock_types::interface::*;

use crate::desk::*;

#[test]
fn a_key_stays_with_the_newest_build_where_its_answer_may_be_lost() {
    let mut told = terms();
    told.release.one_way = true;
    let mut trace = String::new();
    for outcome in [Outcome::Reset, Outcome::TimedOut, Outcome::Errored, Outcome::ConnectFailed] {
        let mut desk = Desk::with(told.clone(), &[1, 2], Phase::Trial);
        let mut key = 0;
        let first = loop {
            key += 1;
            let txn = desk.txn(LODGE, Some(key));
            if desk.sent.last() == Some(&(txn, 1)) {
                break txn;
            }
            desk.close(txn, 0, Outcome::Served, 30);
        };
        desk.close(first, 0, outcome, 30);
        if desk.sent.last() == Some(&(first, 0)) {
            desk.close(first, 1, Outcome::Served, 30);
        }
        desk.pass(5000);
        let used: Vec<ServerIx> = (0..20)
            .filter_map(|_| {
                desk.pass(100);
                let txn = desk.txn(LODGE, Some(key));
                let to = desk.sent.last().filter(|s| s.0 == txn)?.1;
                // One that fails leaves the key as it was.
                desk.close(txn, 0, Outcome::Errored, 30);
                Some(to)
            })
            .collect();
        trace += &format!("{outcome:?}: earlier build {}\n", share(&used, 0));
    }
    // Nor does it leave while its answer may be on its way.
    let mut desk = Desk::with(told, &[1, 2], Phase::Trial);
    let mut used: Vec<ServerIx> = Vec::new();
    for key in 0..40 {
        let [first, second] = [0; 2].map(|_| desk.txn(ASK, Some(key)));
        let to: Vec<ServerIx> = desk.sent.iter().filter(|s| s.0 >= first).map(|s| s.1).collect();
        used.extend(to.get(1).filter(|_| to[0] == 1));
        [first, second].into_iter().for_each(|txn| desk.close(txn, 0, Outcome::Served, 30));
        desk.pass(20);
    }
    trace += &format!("on its way: earlier build {}\n", share(&used, 0));
    expect![[r#"
        Reset: earlier build 0 of 20
        TimedOut: earlier build 0 of 20
        Errored: earlier build 5 of 20
        ConnectFailed: earlier build 5 of 20
        on its way: earlier build 0 of 20
    "#]]
    .assert_eq(&trace);
}

/// A released build at three servers, and at server 3 a later one of which no news has come.
fn before_news() -> Desk {
    let mut told = terms();
    (told.release.one_way, told.release.free) = (true, 1000.0);
    let mut desk = Desk::new(told);
    let lines = [1, 1, 1, 2].iter().enumerate().map(|(ix, build)| server(ix, *build)).collect();
    desk.tell(Event::Roster { scope: Scope::Whole, lines });
    desk.stage(1, 1, Phase::Released, 1.0);
    desk
}

/// Asks with one key until the later build has answered it.
fn ask_until_later(desk: &mut Desk, key: u64) {
    loop {
        let txn = desk.txn(LODGE, Some(key));
        let to = desk.sent.last().map(|s| s.1);
        desk.close(txn, 0, Outcome::Served, 50);
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
        let mut late = desk.txn(LODGE, Some(key));
        while desk.sent.last().is_none_or(|s| s.1 == 3) {
            desk.close(late, 0, Outcome::Served, 50);
            key += 1;
            late = desk.txn(LODGE, Some(key));
        }
        ask_until_later(&mut desk, key);
        if case == "a list comes" {
            desk.tell(Event::Roster { scope: Scope::Changes, lines: vec![server(0, 1)] });
        } else {
            desk.close(late, 0, Outcome::Served, 400);
        }
        let from = desk.sent.len();
        for _ in 0..20 {
            let txn = desk.txn(LODGE, Some(key));
            desk.close(txn, 0, Outcome::Served, 50);
            desk.pass(20);
        }
        let used: Vec<ServerIx> = desk.sent[from..].iter().map(|s| s.1).collect();
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
    let mut told = terms();
    (told.release.one_way, told.release.free) = (true, 1000.0);
    let mut desk = Desk::new(told);
    let lines = [2, 2, 2, 1].iter().enumerate().map(|(ix, build)| server(ix, *build)).collect();
    desk.tell(Event::Roster { scope: Scope::Whole, lines });
    desk.stage(2, 1, Phase::Released, 1.0);
    for key in 0..40 {
        while desk.sent.last().is_none_or(|s| s.1 == 3) {
            let txn = desk.txn(LODGE, Some(key));
            desk.close(txn, 0, Outcome::Served, 50);
        }
        desk.sent.clear();
    }
    // The last server of the earlier build is lost, and back before it was moved to the later one.
    let gone = Listed { lifecycle: Lifecycle::Gone, ..server(3, 1) };
    desk.tell(Event::Roster { scope: Scope::Changes, lines: vec![gone] });
    desk.pass(5_000);
    desk.tell(Event::Roster { scope: Scope::Changes, lines: vec![server(3, 1)] });
    let mut ask = |keys: std::ops::Range<u64>| {
        let from = desk.sent.len();
        for key in keys {
            let txn = desk.txn(LODGE, Some(key));
            desk.close(txn, 0, Outcome::Served, 50);
            desk.pass(100);
        }
        let used: Vec<ServerIx> = desk.sent[from..].iter().map(|s| s.1).collect();
        share(&used, 3)
    };
    let lines = format!("answered before: {}; other keys: {}\n", ask(0..40), ask(100..140));
    expect![[r#"
        answered before: 0 of 40; other keys: 14 of 40
    "#]]
    .assert_eq(&lines);
}

/// Server 3 runs build 3, of which no news has come; build 2 was sent back.
fn after_one_was_sent_back() -> Desk {
    let mut told = terms();
    (told.release.one_way, told.release.free) = (true, 1000.0);
    let mut desk = Desk::new(told);
    let lines = [1, 1, 1, 3].iter().enumerate().map(|(ix, build)| server(ix, *build)).collect();
    desk.tell(Event::Roster { scope: Scope::Whole, lines });
    desk.stage(2, 1, Phase::Withdrawn, 0.0);
    desk
}

#[test]
fn news_again_of_a_build_that_was_sent_back_frees_no_key_of_a_later_one() {
    let mut lines = String::new();
    for case in ["the news comes again", "its answer is on its way"] {
        let mut desk = after_one_was_sent_back();
        if case == "the news comes again" {
            ask_until_later(&mut desk, 7);
            desk.stage(2, 1, Phase::Withdrawn, 0.0);
        } else {
            // Its first attempt that goes to the later build is not answered yet.
            loop {
                let txn = desk.txn(LODGE, Some(7));
                if desk.sent.last().is_some_and(|s| s.1 == 3) {
                    break;
                }
                desk.close(txn, 0, Outcome::Served, 50);
                desk.pass(20);
            }
        }
        let from = desk.sent.len();
        for _ in 0..20 {
            let txn = desk.txn(LODGE, Some(7));
            desk.close(txn, 0, Outcome::Served, 50);
            desk.pass(20);
        }
        let used: Vec<ServerIx> = desk.sent[from..].iter().map(|s| s.1).collect();
        lines += &format!("{case}: {} with the later build\n", share(&used, 3));
    }
    expect![[r#"
        the news comes again: 20 of 20 with the later build
        its answer is on its way: 20 of 20 with the later build
    "#]]
    .assert_eq(&lines);
}
