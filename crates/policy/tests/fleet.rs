//! Many gateways in one process on a told clock: what harms only in the sum is asserted of the sum.

mod hall;

use expect_test::expect;
use hall::*;
use harrierdock_types::*;

/// A fleet of `count` that all want the same vote at one moment: how many votes stand at once at the most, and
/// how many calls a second were accepted while they wanted it.
fn votes(count: usize, wanted: RolloutDecision) -> (usize, f64) {
    let mut hall = Hall::new(count, |parameters| {
        parameters.rollout.votes_per_second = 16.0
    });
    hall.list(&[1, 1, 1, 2]);
    hall.news(2, 0, RolloutPhase::Canary, 1.0);
    if wanted == RolloutDecision::RollBack {
        // Five of the eight circles have told how sure they are.
        for speaker in 0..5 {
            hall.mail_all(speaker, &format!("2.0.{}.t", 14));
        }
    }
    hall.until(20_000);
    let from = hall.platform.first_call.map_or(0.0, |at| at.0 as f64 / 1e6);
    (
        hall.platform.most_standing,
        hall.platform.accepted as f64 / (20.0 - from),
    )
}

#[test]
fn hundreds_that_vote_at_once_stand_as_many_as_the_platform_takes() {
    for (count, wanted) in [10, 100, 300].into_iter().flat_map(|n| {
        [
            (n, RolloutDecision::Promote),
            (n, RolloutDecision::RollBack),
        ]
    }) {
        let (standing, a_second) = votes(count, wanted);
        // A vote stands for four seconds: after a rest 32 are let in at once, then 16 a second.
        let most = count.min(32 + 4 * 16);
        assert!(
            standing * 10 >= most * 9,
            "{count} {wanted:?}: {standing} of {most} stand at once"
        );
        assert!(
            a_second < 20.0,
            "{count} {wanted:?}: {a_second} accepted a second"
        );
    }
}

#[test]
fn a_jam_ends_with_its_cause_and_costs_cheap_txns_first() {
    // 64 gateways ask for 256 a second of 10 endpoints that can do 400, and 200 while something slows them.
    let mut hall = Hall::new(64, |parameters| {
        for (class, priority_weight) in parameters.classes.iter_mut().zip([1.0, 5.0, 5.0]) {
            class.priority_weight = priority_weight;
        }
    });
    hall.serve(10, 4, ms(100));
    hall.traffic(ms(250), 6_000);
    hall.machines.iter_mut().for_each(|m| m.work = ms(200));
    hall.traffic(ms(250), 14_000);
    hall.machines.iter_mut().for_each(|m| m.work = ms(100));
    hall.traffic(ms(250), 20_000);
    let part = |seconds: std::ops::Range<i64>, class| {
        let ended = hall.over(seconds, class);
        let of = |n: usize| 100 * n / ended.asked.max(1);
        format!(
            "{}% in time, {}% declined",
            of(ended.in_time),
            of(ended.declined)
        )
    };
    let mut lines = String::new();
    for (when, seconds) in [
        ("before", 2..6),
        ("jam", 8..14),
        ("just after", 14..16),
        ("after", 16..19),
    ] {
        lines += &format!(
            "{when}: cheap {}; dear {}\n",
            part(seconds.clone(), 0),
            part(seconds, 2)
        );
    }
    expect![[r#"
        before: cheap 100% in time, 0% declined; dear 100% in time, 0% declined
        jam: cheap 33% in time, 49% declined; dear 57% in time, 8% declined
        just after: cheap 58% in time, 39% declined; dear 88% in time, 7% declined
        after: cheap 100% in time, 0% declined; dear 100% in time, 0% declined
    "#]]
    .assert_eq(&lines);
}

#[test]
fn a_lost_zone_is_left_out_before_it_has_cost_a_txn_at_each_of_its_servers() {
    let mut hall = Hall::new(64, |_| {});
    hall.serve(60, 4, ms(100));
    hall.traffic(ms(250), 4_000);
    let mut lines = String::new();
    for (when, lost, until) in [("lost", true, 8_000), ("back", false, 12_000)] {
        hall.machines
            .iter_mut()
            .step_by(2)
            .for_each(|m| (m.lost, m.got) = (lost, 0));
        hall.traffic(ms(250), until);
        let got = hall
            .machines
            .iter()
            .step_by(2)
            .map(|m| m.got)
            .sum::<usize>();
        lines += &format!("{when}: {got} of 1024 txns were sent there\n");
    }
    expect![[r#"
        lost: 278 of 1024 txns were sent there
        back: 182 of 1024 txns were sent there
    "#]]
    .assert_eq(&lines);
}

#[test]
fn hundreds_keep_to_few_servers_each_and_to_all_alike() {
    let mut hall = Hall::new(300, |_| {});
    hall.serve(100, 8, ms(50));
    hall.traffic(ms(500), 16_000);
    let got: Vec<usize> = hall.machines.iter().map(|m| m.got).collect();
    let (least, most) = (
        got.iter().min().unwrap_or(&0),
        got.iter().max().unwrap_or(&0),
    );
    let (met, mean) = (hall.met.len() / 300, got.iter().sum::<usize>() / got.len());
    assert!(met <= 20, "{met} servers are met by a gateway");
    assert!(
        *least * 3 > mean * 2 && *most * 2 < mean * 3,
        "{least} to {most} for a mean of {mean}"
    );
}

#[test]
fn a_failing_server_is_told_to_all_before_each_has_met_it() {
    let mut hall = Hall::new(64, |_| {});
    hall.serve(24, 4, ms(50));
    hall.traffic(ms(250), 2_000);
    hall.machines
        .iter_mut()
        .step_by(8)
        .for_each(|m| (m.failing, m.got) = (true, 0));
    hall.traffic(ms(250), 6_000);
    let got = hall
        .machines
        .iter()
        .step_by(8)
        .map(|m| m.got)
        .sum::<usize>();
    expect![[r#"
        92 of 1024 txns were sent to the three
    "#]]
    .assert_eq(&format!("{got} of 1024 txns were sent to the three\n"));
}

#[test]
fn a_burst_on_one_zone_is_over_soon_where_no_gateway_tells_another() {
    // 64 gateways ask for 640 a second of endpoints that can do 400, then again for 128.
    let mut hall = Hall::new(64, |parameters| {
        (
            parameters.limits.gossip_enabled,
            parameters.limits.can_cancel,
        ) = (false, false)
    });
    hall.serve(10, 4, ms(100));
    let one_zone: Vec<EndpointRecord> = (0..10)
        .map(|n| EndpointRecord {
            endpoint: EndpointId(n),
            build: BuildId(1),
            gossip_id: GossipId(n as u16),
            ..EndpointRecord::default()
        })
        .collect();
    hall.all(&Event::EndpointsUpdated {
        kind: UpdateKind::Snapshot,
        endpoints: one_zone,
    });
    for (gap, until) in [(500, 4_000), (100, 9_000), (500, 16_000)] {
        hall.traffic(ms(gap), until);
    }
    let mut lines = String::new();
    for (when, seconds) in [("burst", 5..9), ("just after", 9..11), ("after", 11..15)] {
        let ended = (0..3).map(|class| hall.over(seconds.clone(), class));
        let (asked, good) = ended.fold((0, 0), |all, e| (all.0 + e.asked, all.1 + e.in_time));
        lines += &format!("{when}: {}% in time\n", 100 * good / asked.max(1));
    }
    expect![[r#"
        burst: 4% in time
        just after: 50% in time
        after: 99% in time
    "#]]
    .assert_eq(&lines);
}

#[test]
fn nothing_is_declined_while_servers_keep_up_where_sla_times_are_longer_than_the_window() {
    // 30 gateways ask for 60 a second of endpoints that can do 91; a pulse of the latency objective is longer than the window.
    let mut hall = Hall::new(30, |parameters| {
        parameters
            .classes
            .iter_mut()
            .for_each(|p| (p.latency_objective, p.timeout) = (ms(9_000), ms(27_000)));
    });
    hall.serve(80, 4, ms(3_500));
    hall.traffic(ms(500), 40_000);
    let mut lines = String::new();
    for (when, seconds) in [("from the start on", 0..9), ("later", 9..39)] {
        let ended: Vec<Ended> = (0..3)
            .map(|class| hall.over(seconds.clone(), class))
            .collect();
        let sum = |of: fn(&Ended) -> usize| ended.iter().map(of).sum::<usize>();
        lines += &format!(
            "{when}: {} declined of {}\n",
            sum(|e| e.declined),
            sum(|e| e.asked)
        );
    }
    expect![[r#"
        from the start on: 0 declined of 540
        later: 0 declined of 1800
    "#]]
    .assert_eq(&lines);
}
