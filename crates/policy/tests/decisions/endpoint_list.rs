//! The effects of the endpoint lists that discovery sends.

use expect_test::expect;
use harrierdock_types::*;

use crate::support::*;

#[test]
fn draining_and_removed_endpoints_get_no_requests_and_a_failed_poll_is_repeated() {
    let mut gateway = ScriptedGateway::with_endpoints(
        Parameters {
            discovery_mode: DiscoveryMode::Poll,
            ..default_parameters()
        },
        &[1, 1, 1],
        RolloutPhase::Released,
    );
    let draining = EndpointRecord {
        lifecycle: Lifecycle::Draining,
        ..endpoint(0, 1)
    };
    gateway.update_endpoints(UpdateKind::Delta, vec![draining]);
    gateway.update_endpoints(UpdateKind::Snapshot, vec![endpoint(1, 1)]);
    let used = gateway.run_traffic(20, 20, ALWAYS_SUCCEEDS);
    gateway.update_endpoints(UpdateKind::Failed, vec![]);
    gateway.run_until(3000);
    let lines = format!("used 1: {}\n{}", share(&used, 1), gateway.decisions());
    expect![[r#"
        used 1: 20 of 20
        0: WatchEndpoints
        1400: WatchEndpoints
    "#]]
    .assert_eq(&lines);
}

#[test]
fn removed_endpoints_and_their_keys_are_forgotten() {
    let mut parameters = default_parameters();
    parameters.rollout.monotonic_versions = true;
    let mut gateway = ScriptedGateway::with_endpoints(parameters, &[1, 1], RolloutPhase::Released);
    let mut trace = String::new();
    for build in 2..30 {
        let numbers = [build as usize * 2, build as usize * 2 + 1];
        let records = numbers.map(|number| endpoint(number, build));
        gateway.update_endpoints(UpdateKind::Delta, records.to_vec());
        gateway.update_rollout(build, 1, RolloutPhase::Canary, 1.0);
        for key in 0..20 {
            gateway.advance(50);
            let request = gateway.receive_request(IDEMPOTENT, Some(u64::from(build) * 100 + key));
            gateway.finish_attempt(request, 0, AttemptOutcome::Succeeded, 30);
        }
        let during = gateway.retained_state();
        let removed = |number| EndpointRecord {
            lifecycle: Lifecycle::Removed,
            ..endpoint(number, build - 1)
        };
        let previous = if build == 2 { 4 } else { 2 };
        let records = numbers.map(|number| removed(number - previous)).to_vec();
        gateway.update_endpoints(UpdateKind::Delta, records);
        gateway.update_rollout(build, 1, RolloutPhase::Released, 1.0);
        if build % 14 == 1 {
            trace += &format!(
                "build {build} as canary: {during}; released: {}\n",
                gateway.retained_state()
            );
        }
    }
    // A removed endpoint is remembered for 3 s and three slow start windows, as it may return. Until then its keys are kept.
    gateway.advance(18_100);
    trace += &format!("18.1 s after the last list: {}\n", gateway.retained_state());
    expect![[r#"
        build 15 as canary: 30 endpoints, 30 gossip ids, 139 keys; released: 30 endpoints, 30 gossip ids, 139 keys
        build 29 as canary: 38 endpoints, 38 gossip ids, 191 keys; released: 38 endpoints, 38 gossip ids, 191 keys
        18.1 s after the last list: 2 endpoints, 2 gossip ids, 0 keys
    "#]]
    .assert_eq(&trace);
}

#[test]
fn an_endpoint_that_delta_lists_add_and_remove_is_remembered_as_long_as_any_other() {
    let mut gateway =
        ScriptedGateway::with_endpoints(default_parameters(), &[1], RolloutPhase::Released);
    gateway.run_until(60_000);
    gateway.update_endpoints(UpdateKind::Delta, vec![endpoint(1, 1)]);
    let removed = EndpointRecord {
        lifecycle: Lifecycle::Removed,
        ..endpoint(1, 1)
    };
    gateway.update_endpoints(UpdateKind::Delta, vec![removed]);
    let mut trace = String::new();
    // The endpoint is remembered for 3 s and three slow start windows of 5 s.
    for milliseconds in [100, 17_800, 200] {
        gateway.advance(milliseconds);
        trace += &format!("{}\n", gateway.retained_state());
    }
    expect![[r#"
        2 endpoints, 2 gossip ids, 0 keys
        2 endpoints, 2 gossip ids, 0 keys
        1 endpoints, 1 gossip ids, 0 keys
    "#]]
    .assert_eq(&trace);
}
