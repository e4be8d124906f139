//! Fleets of gateways: effects that show only in the sum of their decisions.

use std::ops::Range;

use expect_test::expect;
use harrierdock_types::*;

use crate::support::*;

/// Runs a fleet in which all gateways decide on the same vote at one moment. Returns the largest number of votes that count at
/// once, and the calls per second that the platform accepts from the first call on.
fn run_simultaneous_votes(gateway_count: usize, decision: RolloutDecision) -> (usize, f64) {
    let mut fleet = SimulatedFleet::new(gateway_count, |parameters| {
        parameters.rollout.votes_per_second = 16.0
    });
    fleet.list_endpoints(&[1, 1, 1, 2]);
    fleet.update_rollout(2, 0, RolloutPhase::Canary, 1.0);
    if decision == RolloutDecision::RollBack {
        // Five of the eight groups vote with weight 14 each.
        for aggregator in 0..5 {
            fleet.receive_gossip_at_all(aggregator, &format!("2.0.{}.t", 14));
        }
    }
    fleet.run_until(20_000);
    let first_call_seconds = fleet
        .platform
        .first_call_at
        .map_or(0.0, |at| at.0 as f64 / 1e6);
    (
        fleet.platform.max_counted_votes,
        fleet.platform.accepted_calls as f64 / (20.0 - first_call_seconds),
    )
}

#[test]
fn hundreds_of_gateways_that_vote_at_once_use_the_whole_call_rate_of_the_platform() {
    for (gateway_count, decision) in [10, 100, 300].into_iter().flat_map(|gateway_count| {
        [
            (gateway_count, RolloutDecision::Promote),
            (gateway_count, RolloutDecision::RollBack),
        ]
    }) {
        let (counted_votes, calls_per_second) = run_simultaneous_votes(gateway_count, decision);
        // A vote counts for 4 s. After an idle time the platform accepts 32 calls at once, then 16 per second.
        let max_votes = gateway_count.min(32 + 4 * 16);
        assert!(
            counted_votes * 10 >= max_votes * 9,
            "{gateway_count} {decision:?}: {counted_votes} of {max_votes} votes count at once"
        );
        assert!(
            calls_per_second < 20.0,
            "{gateway_count} {decision:?}: {calls_per_second} calls accepted per second"
        );
    }
}

#[test]
fn overload_sheds_low_priority_requests_first_and_ends_soon_after_its_cause() {
    // 64 gateways receive 256 requests per second. The 10 endpoints can serve 400 per second, or 200 while they are slow.
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
fn a_lost_zone_is_ejected_before_its_endpoints_have_received_many_requests() {
    let mut fleet = SimulatedFleet::new(64, |_| {});
    fleet.start_endpoints(60, 4, ms(100));
    fleet.run_traffic(ms(250), 4_000);
    let mut lines = String::new();
    for (when, is_lost, until_ms) in [("lost", true, 8_000), ("back", false, 12_000)] {
        fleet.endpoints.iter_mut().step_by(2).for_each(|endpoint| {
            endpoint.is_lost = is_lost;
            endpoint.received = 0;
        });
        fleet.run_traffic(ms(250), until_ms);
        let received = fleet
            .endpoints
            .iter()
            .step_by(2)
            .map(|endpoint| endpoint.received)
            .sum::<usize>();
        lines += &format!("{when}: {received} of 1024 requests were sent to the zone\n");
    }
    expect![[r#"
        lost: 278 of 1024 requests were sent to the zone
        back: 182 of 1024 requests were sent to the zone
    "#]]
    .assert_eq(&lines);
}

#[test]
fn each_gateway_uses_few_endpoints_and_the_fleet_uses_all_evenly() {
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
    let endpoints_per_gateway = fleet.contacts.len() / 300;
    let mean = received.iter().sum::<usize>() / received.len();
    assert!(
        endpoints_per_gateway <= 20,
        "a gateway sends to {endpoints_per_gateway} endpoints"
    );
    assert!(
        *least * 3 > mean * 2 && *most * 2 < mean * 3,
        "{least} to {most} requests per endpoint, {mean} on average"
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
        92 of 1024 requests were sent to the failing endpoints
    "#]]
    .assert_eq(&format!(
        "{received} of 1024 requests were sent to the failing endpoints\n"
    ));
}

#[test]
fn overload_from_a_burst_on_one_zone_ends_soon_without_gossip() {
    // 64 gateways receive 128 requests per second, then 640, then 128 again. The endpoints can serve 400 per second.
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
    for (interval_ms, until_ms) in [(500, 4_000), (100, 9_000), (500, 16_000)] {
        fleet.run_traffic(ms(interval_ms), until_ms);
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
    // 30 gateways receive 60 requests per second, and the endpoints can serve 91. The report interval exceeds the exposure window.
    let mut fleet = SimulatedFleet::new(30, |parameters| {
        parameters.classes.iter_mut().for_each(|class| {
            class.latency_objective = ms(9_000);
            class.timeout = ms(27_000);
        });
    });
    fleet.start_endpoints(80, 4, ms(3_500));
    fleet.run_traffic(ms(500), 40_000);
    let mut lines = String::new();
    for (when, seconds) in [("first 9 s", 0..9), ("later", 9..39)] {
        let totals: Vec<ClassTotals> = (0..3)
            .map(|class| fleet.totals(seconds.clone(), class))
            .collect();
        let sum = |count_of: fn(&ClassTotals) -> usize| totals.iter().map(count_of).sum::<usize>();
        lines += &format!(
            "{when}: {} rejected of {}\n",
            sum(|class| class.rejected),
            sum(|class| class.received)
        );
    }
    expect![[r#"
        first 9 s: 0 rejected of 540
        later: 0 rejected of 1800
    "#]]
    .assert_eq(&lines);
}
