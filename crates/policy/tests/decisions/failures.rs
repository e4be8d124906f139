//! Failures found, each as a small trace.

use expect_test::expect;
use harrierdock_types::interface::*;
use harrierdock_types::time::Span;

use crate::desk::*;

#[test]
fn complaints_send_a_wrong_build_back_and_one_does_not() {
    let mut told = terms();
    told.balancers = 2;
    told.release.complaint_share = 0.15;
    let mut desk = Desk::with(told, &[1, 1, 1, 2], Phase::Trial);
    desk.traffic(1200, 10, FINE);
    for n in 0..12 {
        desk.tell(Event::Complaint { server: 3, product: ASK, age: ms(500) });
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
        ("two of three, and one of the earlier build's", vec![0, 3, 4]),
        ("three of three, and one of the earlier build's", vec![0, 2, 3, 4]),
    ];
    for (case, failing) in cases {
        let mut told = terms();
        told.release.free = 1000.0;
        let mut desk = Desk::with(told, &[1, 1, 2, 2, 2], Phase::Trial);
        let fails = |s| if failing.contains(&s) { (Outcome::Errored, 5) } else { (Outcome::Served, 50) };
        desk.traffic(240, 10, fails);
        lines += &format!("{case}: {}\n", desk.decisions().lines().next().unwrap_or("nothing"));
    }
    expect![[r#"
        one of three: nothing
        two of three: 730: vote Back on 2 stage 0
        two of three, and one of the earlier build's: nothing
        three of three, and one of the earlier build's: 500: vote Back on 2 stage 0
    "#]]
    .assert_eq(&lines);
}

#[test]
fn worse_service_goes_back_when_calm_and_not_while_machines_are_cold_or_traffic_is_higher() {
    let mut lines = String::new();
    for (case, age, apart, again) in [
        ("warm", None, 10, false),
        ("cold", Some(Span::ZERO), 10, false),
        ("three times the traffic", None, 3, false),
        ("three times, marked as repeats", None, 3, true),
    ] {
        let mut told = terms();
        told.release.free = 1000.0;
        told.marks_repeats = true;
        let mut desk = Desk::with(told, &[1, 1], Phase::Released);
        desk.until(20_000);
        desk.traffic(1500, 10, FINE);
        let fresh = [2, 3].map(|ix| Listed { age, ..server(ix, 2) });
        desk.tell(Event::Roster { scope: Scope::Whole, lines: fresh.to_vec() });
        desk.again = again;
        desk.traffic(1000, apart, FINE);
        desk.stage(2, 1, Phase::Trial, 1.0);
        desk.traffic(150, apart, |_| (Outcome::Served, 700));
        let vote = desk.trace.lines().find(|l| l.contains("vote")).unwrap_or("nothing").to_string();
        lines += &format!("{case}: {vote}\n");
    }
    expect![[r#"
        warm: 45250: vote Back on 2 stage 1
        cold: nothing
        three times the traffic: nothing
        three times, marked as repeats: 38100: vote Back on 2 stage 1
    "#]]
    .assert_eq(&lines);
}

#[test]
fn dead_full_and_failing_servers_rest() {
    let mut lines = String::new();
    for bad in [Outcome::ConnectFailed, Outcome::Full, Outcome::Errored, Outcome::Served] {
        let mut desk = Desk::with(terms(), &[1, 1, 1], Phase::Released);
        let used = desk.traffic(120, 5, |s| if s == 0 { (bad, 2) } else { (Outcome::Served, 50) });
        lines += &format!("{bad:?}: {}\n", share(&used, 0));
    }
    expect![[r#"
        ConnectFailed: 1 of 121
        Full: 3 of 123
        Errored: 3 of 120
        Served: 91 of 120
    "#]]
    .assert_eq(&lines);
}

#[test]
fn work_that_a_time_out_leaves_behind_fills_a_server() {
    let mut desk = Desk::with(terms(), &[1], Phase::Released);
    let mut open = Vec::new();
    for _ in 0..12 {
        open.push(desk.txn(LODGE, None));
    }
    desk.until(1500);
    for txn in open {
        if desk.sent.iter().any(|s| s.0 == txn) {
            desk.close(txn, 0, Outcome::TimedOut, 1500);
        }
    }
    desk.trace.clear();
    desk.txn(ASK, None);
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
    let mut desk = Desk::with(terms(), &[1, 1, 1, 1, 1, 1, 1, 1], Phase::Released);
    for n in 0..40 {
        desk.until(n * 20);
        desk.txn(ASK, None);
    }
    desk.until(1400);
    expect!["24 submissions of 40 txns"].assert_eq(&format!("{} submissions of 40 txns", desk.sent.len()));
}

#[test]
fn a_silent_zone_is_not_held_against_a_build_that_runs_there() {
    let mut lines = String::new();
    let cases = [
        ("all its servers, in a zone that is silent", [1, 2, 1, 2, 1, 2]),
        ("its servers alone, in both zones", [1, 1, 1, 1, 2, 2]),
    ];
    for (case, builds) in cases {
        let mut told = terms();
        told.release.free = 1000.0;
        let mut desk = Desk::new(told);
        desk.until(20_000);
        let listed = builds.iter().enumerate().map(|(ix, b)| server(ix, *b)).collect();
        desk.tell(Event::Roster { scope: Scope::Whole, lines: listed });
        desk.stage(2, 0, Phase::Trial, 1.0);
        desk.traffic(300, 10, FINE);
        let (silent, mut open) = (|ix: ServerIx| builds[ix] == 2, Vec::new());
        for n in 0..400 {
            desk.pass(10);
            let txn = desk.txn(LODGE, None);
            match desk.sent.last().filter(|s| s.0 == txn).map(|s| s.1) {
                Some(to) if silent(to) => open.push((n, txn)),
                Some(_) => desk.close(txn, 0, Outcome::Served, 50),
                None => {}
            }
            for (_, txn) in open.extract_if(.., |o| o.0 + 150 <= n) {
                desk.close(txn, 0, Outcome::TimedOut, 1500);
            }
        }
        let back = desk.decisions().lines().find(|l| l.contains("vote Back")).map(str::to_string);
        lines += &format!("{case}: {}\n", back.unwrap_or("kept".into()));
    }
    expect![[r#"
        all its servers, in a zone that is silent: kept
        its servers alone, in both zones: 24950: vote Back on 2 stage 0
    "#]]
    .assert_eq(&lines);
}

#[test]
fn a_new_machine_of_a_slow_model_is_spared_before_it_has_answered() {
    let of_model = |ix, build| Listed { model: ix % 2, ..server(ix, build) };
    let list = |of: std::ops::Range<usize>, build| {
        let lines = of.map(|ix| of_model(ix, build)).collect();
        Event::Roster { scope: Scope::Whole, lines }
    };
    let mut desk = Desk::with(terms(), &[1], Phase::Released);
    desk.tell(list(0..4, 1));
    desk.traffic(400, 10, |ix| (Outcome::Served, if ix % 2 == 1 { 150 } else { 50 }));
    desk.stage(2, 0, Phase::Trial, 1.0);
    desk.tell(list(4..6, 2));
    let used = desk.traffic(200, 1600, |_| (Outcome::Recalled, 50)); // says nothing of its pace
    expect![[r#"
        of the slow model: 80 of 200
    "#]]
    .assert_eq(&format!("of the slow model: {}\n", share(&used, 5)));
}

#[test]
fn the_only_zone_is_not_left_out_so_a_jam_of_all_its_servers_is_still_seen() {
    let mut told = terms();
    (told.balancers, told.limits.tell) = (24, false);
    let mut desk = Desk::new(told);
    let lines = (0..4).map(|ix| Listed { zone: 0, ..server(ix, 1) }).collect();
    desk.tell(Event::Roster { scope: Scope::Whole, lines });
    desk.stage(1, 0, Phase::Released, 1.0);
    // Nothing is answered, for longer than a zone may be silent.
    for _ in 0..40 {
        desk.txn(LODGE, None);
        desk.pass(30);
    }
    let mut at_once = 0;
    for _ in 0..20 {
        let txn = desk.txn(LODGE, None);
        at_once += usize::from(desk.trace.contains(&format!("decline #{txn},")));
        desk.pass(15);
    }
    expect!["20 of 20 are given up on at once"]
        .assert_eq(&format!("{at_once} of 20 are given up on at once"));
}
