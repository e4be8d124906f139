//! The reports that gateways of a gossip group send each other.

use expect_test::expect;
use harrierdock_types::*;

use crate::support::*;

/// Delivers a member's outcome report of one attempt each at endpoints 0, 1, 2 and the canary, endpoint 4.
fn receive_member_report(gateway: &mut ScriptedGateway, from: usize, canary_succeeds: bool) {
    let report = |endpoint, succeeded| OutcomeReport {
        gossip_id: GossipId(endpoint),
        build: BuildId(if endpoint == 4 { 2 } else { 1 }),
        class: IDEMPOTENT,
        event: ReportedEvent::Attempt(if succeeded {
            AttemptOutcome::Succeeded
        } else {
            AttemptOutcome::ServerError
        }),
        latency_ratio: 0.2,
    };
    let reports = vec![
        report(0, true),
        report(1, true),
        report(2, true),
        report(4, canary_succeeds),
    ];
    gateway.receive_outcome_reports(from, 4, 0, reports);
}

#[test]
fn members_report_outcomes_and_the_aggregator_tests_them() {
    let mut member = group_member(400, 21);
    member.run_traffic(2, 900, |_| (AttemptOutcome::Succeeded, 125));
    member.run_until(2500);
    let mut lines = member.decisions();
    for (case, canary_succeeds) in [("all failed", false), ("all succeeded", true)] {
        let mut aggregator = group_member(400, 5);
        for member in 0..40 {
            receive_member_report(&mut aggregator, 13 + 8 * member, canary_succeeds);
        }
        aggregator.run_until(60);
        lines += &format!("{case}: {}", aggregator.first_decision("nothing to send"));
        lines.push('\n');
    }
    expect![[r#"
        1050: gossip 5 1.1.0:0004WO
        1950: gossip 5 1.1.0:00C4WO
        all failed: 50: gossip 2.0.420.t
        all succeeded: nothing to send
    "#]]
    .assert_eq(&lines);
}

#[test]
fn slow_endpoints_are_reported_to_members_and_receive_fewer_requests() {
    let mut aggregator = group_member(24, 5);
    let report = |gossip_id, latency_ratio| OutcomeReport {
        gossip_id: GossipId(gossip_id),
        build: BuildId(1),
        class: IDEMPOTENT,
        event: ReportedEvent::Attempt(AttemptOutcome::Succeeded),
        latency_ratio,
    };
    for _ in 0..40 {
        let reports = vec![report(0, 0.25), report(1, 0.9)];
        aggregator.receive_outcome_reports(13, 2, 1, reports);
    }
    aggregator.run_until(2000);
    let mut lines = aggregator.decisions();
    let datagram = lines
        .lines()
        .next_back()
        .and_then(|line| line.split(' ').next_back())
        .unwrap_or("")
        .to_string();
    let mut parameters = default_parameters();
    parameters.gateway_count = 24;
    parameters.local_peer = PeerId(13);
    let mut member = ScriptedGateway::with_endpoints(parameters, &[1, 1], RolloutPhase::Released);
    for from in [4, 5] {
        member.receive_gossip(from, &datagram);
        let used = member.run_traffic(40, 50, |_| (AttemptOutcome::Succeeded, 125));
        lines += &format!("reported by {from}: {}\n", share(&used, 1));
    }
    expect![[r#"
        2000: gossip 13 /0006E
        2000: gossip 21 /0006E
        reported by 4: 19 of 40
        reported by 5: 18 of 40
    "#]]
    .assert_eq(&lines);
}

#[test]
fn encoded_gossip_decodes_to_the_same_message_and_malformed_datagrams_are_refused() {
    let reports = [
        (ReportedEvent::Attempt(AttemptOutcome::Succeeded), 1.0),
        (ReportedEvent::Complaint, 0.01),
        (ReportedEvent::NotAttempted, 1.01),
    ];
    let report = |&(event, latency_ratio)| OutcomeReport {
        gossip_id: GossipId(0xbeef),
        build: BuildId(61),
        class: ClassId(2),
        event,
        latency_ratio,
    };
    let text = gossip::encode(&GossipMessage::OutcomeReports {
        received: 3,
        original_requests: 3,
        in_flight: 40,
        reports: reports.iter().map(report).collect(),
    });
    let is_equal =
        gossip::decode(&text).map(|message| gossip::encode(&message)) == Some(text.clone());
    let is_late_kept = |message| matches!(message, Some(GossipMessage::OutcomeReports { reports, .. }) if reports[0].latency_ratio <= 1.0 && reports[2].latency_ratio > 1.0);
    let is_accepted = ["", "hi 7", "2.0.3", "2.0.3.x", "9:12", "x:", "2.0.-1.t"]
        .map(|text| gossip::decode(text).is_some());
    let lines = format!(
        "{text} re-encoded equal {is_equal}, late kept {}, malformed accepted {is_accepted:?}\n",
        is_late_kept(gossip::decode(&text))
    );
    expect![[r#"
        3.3.40:lk_qWelk_qf0lk_qef re-encoded equal true, late kept true, malformed accepted [false, false, false, false, false, false, false]
    "#]].assert_eq(&lines);
}
