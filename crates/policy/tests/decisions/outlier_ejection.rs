//! Tests that endpoints that fail or are slow get fewer requests.

use std::ops::Range;

use expect_test::expect;
use harrierdock_types::*;

use crate::support::*;

#[test]
fn unreachable_rejecting_and_failing_endpoints_get_few_requests() {
    let mut lines = String::new();
    for outcome in [
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::Rejected,
        AttemptOutcome::ServerError,
        AttemptOutcome::Succeeded,
    ] {
        let mut gateway = ScriptedGateway::with_endpoints(
            default_parameters(),
            &[1, 1, 1],
            RolloutPhase::Released,
        );
        let used = gateway.run_traffic(120, 5, |endpoint| {
            if endpoint == 0 {
                (outcome, 2)
            } else {
                (AttemptOutcome::Succeeded, 50)
            }
        });
        lines += &format!("{outcome:?}: {}\n", share(&used, 0));
    }
    expect![[r#"
        ConnectFailed: 1 of 121
        Rejected: 3 of 123
        ServerError: 3 of 120
        Succeeded: 91 of 120
    "#]]
    .assert_eq(&lines);
}

#[test]
fn new_endpoints_of_a_slow_model_get_fewer_requests() {
    let of_two_models = |numbers: Range<usize>, build| {
        numbers
            .map(|number| EndpointRecord {
                model: number % 2,
                ..endpoint(number, build)
            })
            .collect()
    };
    let mut gateway =
        ScriptedGateway::with_endpoints(default_parameters(), &[1], RolloutPhase::Released);
    gateway.update_endpoints(UpdateKind::Snapshot, of_two_models(0..4, 1));
    gateway.run_traffic(400, 10, |number| {
        (
            AttemptOutcome::Succeeded,
            if number % 2 == 1 { 150 } else { 50 },
        )
    });
    gateway.update_rollout(2, 0, RolloutPhase::Canary, 1.0);
    gateway.update_endpoints(UpdateKind::Snapshot, of_two_models(4..6, 2));
    // All attempts are cancelled early, so no latency is measured: only the model's ratio counts.
    let used = gateway.run_traffic(200, 1600, |_| (AttemptOutcome::Cancelled, 50));
    expect![[r#"
        sent to the slow model: 80 of 200
    "#]]
    .assert_eq(&format!("sent to the slow model: {}\n", share(&used, 5)));
}
