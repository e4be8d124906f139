//! The number of requests sent to endpoints that are warming up.

use expect_test::expect;
use harrierdock_types::*;

use crate::support::*;

#[test]
fn a_warming_endpoint_gets_its_slow_start_budget_despite_many_retries() {
    let mut gateway = ScriptedGateway::with_endpoints(
        default_parameters(),
        &[1, 1, 1, 1],
        RolloutPhase::Released,
    );
    gateway.run_traffic(100, 20, ALWAYS_SUCCEEDS);
    let warming = EndpointRecord {
        age: Some(TimeDelta::ZERO),
        ..endpoint(0, 1)
    };
    gateway.update_endpoints(UpdateKind::Delta, vec![warming]);
    let others_unreachable = |endpoint| {
        if endpoint == 0 {
            (AttemptOutcome::Succeeded, 50)
        } else {
            (AttemptOutcome::ConnectFailed, 1)
        }
    };
    let used = gateway.run_traffic(200, 5, others_unreachable);
    expect!["5 of 9"].assert_eq(&share(&used, 0));
}

#[test]
fn many_gateways_of_little_traffic_do_not_overload_a_warming_endpoint() {
    let mut lines = String::new();
    for (case, warming_count, others_outcome) in [
        ("one is warming", 1, AttemptOutcome::Succeeded),
        (
            "one is warming, the others reject",
            1,
            AttemptOutcome::Rejected,
        ),
        (
            "half are warming, the others reject",
            5,
            AttemptOutcome::Rejected,
        ),
    ] {
        let mut sent_to_warming = 0;
        for number in 0..100 {
            let mut gateway = ScriptedGateway::with_endpoints(
                default_parameters(),
                &[1; 10],
                RolloutPhase::Released,
            );
            gateway.run_traffic(8 + number % 7, 250, ALWAYS_SUCCEEDS);
            let records = (0..warming_count)
                .map(|number| EndpointRecord {
                    age: Some(TimeDelta::ZERO),
                    ..endpoint(number, 1)
                })
                .collect();
            gateway.update_endpoints(UpdateKind::Delta, records);
            let used = gateway.run_traffic(4, 250, |endpoint| {
                if endpoint < warming_count {
                    (AttemptOutcome::Succeeded, 50)
                } else {
                    (others_outcome, 1)
                }
            });
            sent_to_warming += used
                .iter()
                .filter(|endpoint| **endpoint < warming_count)
                .count();
        }
        lines +=
            &format!("{case}: {sent_to_warming} of 400 requests went to {warming_count} of ten\n");
    }
    expect![[r#"
        one is warming: 28 of 400 requests went to 1 of ten
        one is warming, the others reject: 14 of 400 requests went to 1 of ten
        half are warming, the others reject: 143 of 400 requests went to 5 of ten
    "#]]
    .assert_eq(&lines);
}
