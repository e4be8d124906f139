//! Many gateways: what matters only of their sum.

use std::ops::Range;

use expect_test::expect;
use harrierdock_types::*;

use crate::support::*;

/// A fleet of `count` that all want the same vote at one moment: how many votes stand at once at the most, and
/// how many calls a second were accepted while they wanted it.
fn votes(count: usize, wanted: RolloutDecision) -> (usize, f64) {
    let mut fleet = SimulatedFleet::new(count, |parameters| {
        parameters.rollout.votes_per_second = 16.0
    });
    fleet.list_endpoints(&[1, 1, 1, 2]);
    fleet.update_rollout(2, 0, RolloutPhase::Canary, 1.0);
    if wanted == RolloutDecision::RollBack {
        // Five of the eight groups have voted, with a weight each.
        for aggregator in 0..5 {
            fleet.receive_gossip_at_all(aggregator, &format!("2.0.{}.t", 14));
        }
    }
    fleet.run_until(20_000);
    let from = fleet
        .platform
        .first_call
        .map_or(0.0, |at| at.0 as f64 / 1e6);
    (
        fleet.platform.most_standing,
        fleet.platform.accepted as f64 / (20.0 - from),
    )
}

#[test]
fn hundreds_of_gateways_that_vote_at_once_use_all_that_the_platform_takes() {
    for (count, wanted) in [10, 100, 300].into_iter().flat_map(|n| {
        [
            (n, RolloutDecision::Promote),
            (n, RolloutDecision::RollBack),
        ]
    }) {
        let (standing, per_second) = votes(count, wanted);
        // A vote stands for four seconds: after a rest 32 are let in at once, then 16 a second.
        let most = count.min(32 + 4 * 16);
        assert!(
            standing * 10 >= most * 9,
            "{count} {wanted:?}: {standing} of {most} stand at once"
        );
        assert!(
            per_second < 20.0,
            "{count} {wanted:?}: {per_second} accepted a second"
        );
    }
}

#[test]
fn overload_sheds_low_priority_requests_first_and_ends_with_its_cause() {
    // 64 gateways receive 256 requests a second for 10 endpoints that can do 400, and 200 while something slows them.
    let mut fleet = SimulatedFleet::new(64, |parameters| {
        for (class, priority_weight) in parameters.classes.iter_mut().zip([1.0, 5.0, 5.0]) {
            class.priority_weight = priority_weight;
        }
    });
    fleet.start_endpoints(10, 4, ms(100));
    fleet.run_traffic(ms(250), 6_000);
    fleet
        .endpoints
        .iter_mut()
        .for_each(|endpoint| endpoint.service_time = ms(200));
    fleet.run_traffic(ms(250), 14_000);
    fleet
        .endpoints
        .iter_mut()
        .for_each(|endpoint| endpoint.service_time = ms(100));
    fleet.run_traffic(ms(250), 20_000);
    let shares = |seconds: Range<i64>, class| {
        let totals = fleet.totals(seconds, class);
        let percent = |count: usize| 100 * count / totals.received.max(1);
        format!(
            "{}% in time, {}% rejected",
            percent(totals.in_time),
            percent(totals.rejected)
        )
    };
    let mut lines = String::new();
    for (when, seconds) in [
        ("before", 2..6),
        ("overload", 8..14),
        ("just after", 14..16),
        ("after", 16..19),
    ] {
        lines += &format!(
            "{when}: low priority {}; high priority {}\n",
            shares(seconds.clone(), 0),
            shares(seconds, 2)
        );
    }
    expect![[r#"
        before: low priority 100% in time, 0% rejected; high priority 100% in time, 0% rejected
        overload: low priority 33% in time, 49% rejected; high priority 57% in time, 8% rejected
        just after: low priority 58% in time, 39% rejected; high priority 88% in time, 7% rejected
        after: low priority 100% in time, 0% rejected; high priority 100% in time, 0% rejected
    "#]]
    .assert_eq(&lines);
}

#[test]
fn a_lost_zone_is_ejected_before_it_has_cost_a_request_at_each_endpoint() {
    let mut fleet = SimulatedFleet::new(64, |_| {});
    fleet.start_endpoints(60, 4, ms(100));
    fleet.run_traffic(ms(250), 4_000);
    let mut lines = String::new();
    for (when, is_lost, until) in [("lost", true, 8_000), ("back", false, 12_000)] {
        fleet.endpoints.iter_mut().step_by(2).for_each(|endpoint| {
            endpoint.is_lost = is_lost;
            endpoint.received = 0;
        });
        fleet.run_traffic(ms(250), until);
        let received = fleet
            .endpoints
            .iter()
            .step_by(2)
            .map(|endpoint| endpoint.received)
            .sum::<usize>();
        lines += &format!("{when}: {received} of 1024 requests were sent there\n");
    }
    expect![[r#"
        lost: 278 of 1024 requests were sent there
        back: 182 of 1024 requests were sent there
    "#]]
    .assert_eq(&lines);
}

#[test]
fn each_gateway_uses_few_endpoints_and_all_are_used_evenly() {
    let mut fleet = SimulatedFleet::new(300, |_| {});
    fleet.start_endpoints(100, 8, ms(50));
    fleet.run_traffic(ms(500), 16_000);
    let received: Vec<usize> = fleet
        .endpoints
        .iter()
        .map(|endpoint| endpoint.received)
        .collect();
    let least = received.iter().min().unwrap_or(&0);
    let most = received.iter().max().unwrap_or(&0);
    let contacts = fleet.contacts.len() / 300;
    let mean = received.iter().sum::<usize>() / received.len();
    assert!(contacts <= 20, "a gateway sends to {contacts} endpoints");
    assert!(
        *least * 3 > mean * 2 && *most * 2 < mean * 3,
        "{least} to {most} for a mean of {mean}"
    );
}

#[test]
fn a_failing_endpoint_is_ejected_everywhere_before_each_gateway_has_tried_it() {
    let mut fleet = SimulatedFleet::new(64, |_| {});
    fleet.start_endpoints(24, 4, ms(50));
    fleet.run_traffic(ms(250), 2_000);
    fleet.endpoints.iter_mut().step_by(8).for_each(|endpoint| {
        endpoint.is_failing = true;
        endpoint.received = 0;
    });
    fleet.run_traffic(ms(250), 6_000);
    let received = fleet
        .endpoints
        .iter()
        .step_by(8)
        .map(|endpoint| endpoint.received)
        .sum::<usize>();
    expect![[r#"
        92 of 1024 requests were sent to the three
    "#]]
    .assert_eq(&format!(
        "{received} of 1024 requests were sent to the three\n"
    ));
}

#[test]
fn a_burst_on_one_zone_ends_soon_without_gossip() {
    // 64 gateways receive 640 requests a second for endpoints that can do 400, then again for 128.
    let mut fleet = SimulatedFleet::new(64, |parameters| {
        parameters.limits.gossip_enabled = false;
        parameters.limits.can_cancel = false;
    });
    fleet.start_endpoints(10, 4, ms(100));
    let one_zone: Vec<EndpointRecord> = (0..10)
        .map(|number| EndpointRecord {
            zone: ZoneId(0),
            ..endpoint(number, 1)
        })
        .collect();
    fleet.handle_at_all(&Event::EndpointsUpdated {
        kind: UpdateKind::Snapshot,
        endpoints: one_zone,
    });
    for (apart, until) in [(500, 4_000), (100, 9_000), (500, 16_000)] {
        fleet.run_traffic(ms(apart), until);
    }
    let mut lines = String::new();
    for (when, seconds) in [("burst", 5..9), ("just after", 9..11), ("after", 11..15)] {
        let totals: Vec<ClassTotals> = (0..3)
            .map(|class| fleet.totals(seconds.clone(), class))
            .collect();
        let received: usize = totals.iter().map(|class| class.received).sum();
        let in_time: usize = totals.iter().map(|class| class.in_time).sum();
        lines += &format!("{when}: {}% in time\n", 100 * in_time / received.max(1));
    }
    expect![[r#"
        burst: 4% in time
        just after: 50% in time
        after: 99% in time
    "#]]
    .assert_eq(&lines);
}

#[test]
fn nothing_is_rejected_within_capacity_where_latency_objectives_exceed_the_window() {
    // 30 gateways receive 60 requests a second for endpoints that can do 91; a report interval is longer than the window.
    let mut fleet = SimulatedFleet::new(30, |parameters| {
        parameters.classes.iter_mut().for_each(|class| {
            class.latency_objective = ms(9_000);
            class.timeout = ms(27_000);
        });
    });
    fleet.start_endpoints(80, 4, ms(3_500));
    fleet.run_traffic(ms(500), 40_000);
    let mut lines = String::new();
    for (when, seconds) in [("from the start on", 0..9), ("later", 9..39)] {
        let totals: Vec<ClassTotals> = (0..3)
            .map(|class| fleet.totals(seconds.clone(), class))
            .collect();
        let sum = |of: fn(&ClassTotals) -> usize| totals.iter().map(of).sum::<usize>();
        lines += &format!(
            "{when}: {} rejected of {}\n",
            sum(|class| class.rejected),
            sum(|class| class.received)
        );
    }
    expect![[r#"
        from the start on: 0 rejected of 540
        later: 0 rejected of 1800
    "#]]
    .assert_eq(&lines);
}
