//! The build that an affinity key sticks to, for different orders of updates, endpoint lists and answers.

use std::ops::Range;

use expect_test::expect;
use harrierdock_types::*;

use crate::support::*;

/// A gateway with a released build at endpoints 0 to 2, and at endpoint 3 a newer one that no update has named.
fn gateway_with_unnamed_build() -> ScriptedGateway {
    let mut parameters = default_parameters();
    parameters.rollout.monotonic_versions = true;
    parameters.rollout.exposure_allowance = 1000.0;
    let mut gateway = ScriptedGateway::new(parameters);
    gateway.update_endpoints(UpdateKind::Snapshot, endpoints(&[1, 1, 1, 2]));
    gateway.update_rollout(1, 1, RolloutPhase::Released, 1.0);
    gateway
}

/// Sends requests with one key until the newer build has answered one.
fn send_until_newer_build_answers(gateway: &mut ScriptedGateway, key: u64) {
    loop {
        let request = gateway.receive_request(NON_IDEMPOTENT, Some(key));
        let to = gateway.last_endpoint();
        gateway.finish_attempt(request, 0, AttemptOutcome::Succeeded, 50);
        gateway.advance(20);
        if to == Some(3) {
            return;
        }
    }
}

/// A gateway whose endpoint 3 runs build 3, which no update has named; build 2 was rolled back.
fn gateway_with_unnamed_build_after_rollback() -> ScriptedGateway {
    let mut parameters = default_parameters();
    parameters.rollout.monotonic_versions = true;
    parameters.rollout.exposure_allowance = 1000.0;
    let mut gateway = ScriptedGateway::new(parameters);
    gateway.update_endpoints(UpdateKind::Snapshot, endpoints(&[1, 1, 1, 3]));
    gateway.update_rollout(2, 1, RolloutPhase::RolledBack, 0.0);
    gateway
}

/// The share of a key's requests that go to the older build after an attempt at the newer build ended with `outcome`.
fn share_of_older_after(parameters: Parameters, outcome: AttemptOutcome) -> String {
    let mut gateway = ScriptedGateway::with_endpoints(parameters, &[1, 2], RolloutPhase::Canary);
    let mut key = 0;
    let first = loop {
        key += 1;
        let request = gateway.receive_request(NON_IDEMPOTENT, Some(key));
        if gateway.last_endpoint_of(request) == Some(1) {
            break request;
        }
        gateway.finish_attempt(request, 0, AttemptOutcome::Succeeded, 30);
    };
    gateway.finish_attempt(first, 0, outcome, 30);
    if gateway.last_endpoint_of(first) == Some(0) {
        gateway.finish_attempt(first, 1, AttemptOutcome::Succeeded, 30);
    }
    gateway.advance(5000);
    let used: Vec<usize> = (0..20)
        .filter_map(|_| {
            gateway.advance(100);
            let request = gateway.receive_request(NON_IDEMPOTENT, Some(key));
            let endpoint = gateway.last_endpoint_of(request)?;
            // An error does not change the sticky version.
            gateway.finish_attempt(request, 0, AttemptOutcome::ServerError, 30);
            Some(endpoint)
        })
        .collect();
    share(&used, 0)
}

/// The share of a key's requests that go to the older build while an attempt at the newer build is in flight.
fn share_of_older_in_flight(parameters: Parameters) -> String {
    let mut gateway = ScriptedGateway::with_endpoints(parameters, &[1, 2], RolloutPhase::Canary);
    let mut used: Vec<usize> = Vec::new();
    for key in 0..40 {
        let requests = [0; 2].map(|_| gateway.receive_request(IDEMPOTENT, Some(key)));
        let endpoints: Vec<usize> = gateway
            .sent
            .iter()
            .filter(|sent| sent.request >= requests[0])
            .map(|sent| sent.endpoint)
            .collect();
        used.extend(endpoints.get(1).filter(|_| endpoints[0] == 1));
        for request in requests {
            gateway.finish_attempt(request, 0, AttemptOutcome::Succeeded, 30);
        }
        gateway.advance(20);
    }
    share(&used, 0)
}

#[test]
fn a_key_sticks_to_the_newest_build_that_may_have_answered_it() {
    let mut parameters = default_parameters();
    parameters.rollout.monotonic_versions = true;
    let mut lines = String::new();
    for outcome in [
        AttemptOutcome::Reset,
        AttemptOutcome::TimedOut,
        AttemptOutcome::ServerError,
        AttemptOutcome::ConnectFailed,
    ] {
        let share = share_of_older_after(parameters.clone(), outcome);
        lines += &format!("{outcome:?}: baseline {share}\n");
    }
    let share = share_of_older_in_flight(parameters);
    lines += &format!("in flight: baseline {share}\n");
    expect![[r#"
        Reset: baseline 0 of 20
        TimedOut: baseline 0 of 20
        ServerError: baseline 5 of 20
        ConnectFailed: baseline 5 of 20
        in flight: baseline 0 of 20
    "#]]
    .assert_eq(&lines);
}

#[test]
fn a_key_sticks_to_a_build_that_no_update_has_named() {
    let mut lines = String::new();
    for case in ["an endpoint list arrives", "the older build answers late"] {
        let mut gateway = gateway_with_unnamed_build();
        // Searches for a key whose request goes to the older build, and leaves that request unanswered.
        let mut key = 7;
        let mut late = gateway.receive_request(NON_IDEMPOTENT, Some(key));
        while gateway.last_endpoint().is_none_or(|endpoint| endpoint == 3) {
            gateway.finish_attempt(late, 0, AttemptOutcome::Succeeded, 50);
            key += 1;
            late = gateway.receive_request(NON_IDEMPOTENT, Some(key));
        }
        send_until_newer_build_answers(&mut gateway, key);
        if case == "an endpoint list arrives" {
            gateway.update_endpoints(UpdateKind::Delta, vec![endpoint(0, 1)]);
        } else {
            gateway.finish_attempt(late, 0, AttemptOutcome::Succeeded, 400);
        }
        let from = gateway.sent.len();
        for _ in 0..20 {
            let request = gateway.receive_request(NON_IDEMPOTENT, Some(key));
            gateway.finish_attempt(request, 0, AttemptOutcome::Succeeded, 50);
            gateway.advance(20);
        }
        let used = gateway.endpoints_used_since(from);
        lines += &format!("{case}: {} to the newer build\n", share(&used, 3));
    }
    expect![[r#"
        an endpoint list arrives: 20 of 20 to the newer build
        the older build answers late: 20 of 20 to the newer build
    "#]]
    .assert_eq(&lines);
}

#[test]
fn a_key_sticks_to_a_released_build_when_an_endpoint_of_an_older_build_returns() {
    let mut parameters = default_parameters();
    parameters.rollout.monotonic_versions = true;
    parameters.rollout.exposure_allowance = 1000.0;
    let mut gateway = ScriptedGateway::new(parameters);
    gateway.update_endpoints(UpdateKind::Snapshot, endpoints(&[2, 2, 2, 1]));
    gateway.update_rollout(2, 1, RolloutPhase::Released, 1.0);
    for key in 0..40 {
        while gateway.last_endpoint().is_none_or(|endpoint| endpoint == 3) {
            let request = gateway.receive_request(NON_IDEMPOTENT, Some(key));
            gateway.finish_attempt(request, 0, AttemptOutcome::Succeeded, 50);
        }
        gateway.sent.clear();
    }
    // The only endpoint of the older build is removed, and is listed again with that build.
    let removed = EndpointRecord {
        lifecycle: Lifecycle::Removed,
        ..endpoint(3, 1)
    };
    gateway.update_endpoints(UpdateKind::Delta, vec![removed]);
    gateway.advance(5_000);
    gateway.update_endpoints(UpdateKind::Delta, vec![endpoint(3, 1)]);
    let mut share_of_older = |keys: Range<u64>| {
        let from = gateway.sent.len();
        for key in keys {
            let request = gateway.receive_request(NON_IDEMPOTENT, Some(key));
            gateway.finish_attempt(request, 0, AttemptOutcome::Succeeded, 50);
            gateway.advance(100);
        }
        let used = gateway.endpoints_used_since(from);
        share(&used, 3)
    };
    let lines = format!(
        "answered before: {}; other keys: {}\n",
        share_of_older(0..40),
        share_of_older(100..140)
    );
    expect![[r#"
        answered before: 0 of 40; other keys: 14 of 40
    "#]]
    .assert_eq(&lines);
}

#[test]
fn a_repeated_rollback_update_releases_no_key_of_a_newer_build() {
    let mut lines = String::new();
    for case in ["the update is repeated", "the first answer is outstanding"] {
        let mut gateway = gateway_with_unnamed_build_after_rollback();
        if case == "the update is repeated" {
            send_until_newer_build_answers(&mut gateway, 7);
            gateway.update_rollout(2, 1, RolloutPhase::RolledBack, 0.0);
        } else {
            // Leaves the first attempt at the newer build unanswered.
            loop {
                let request = gateway.receive_request(NON_IDEMPOTENT, Some(7));
                if gateway.last_endpoint() == Some(3) {
                    break;
                }
                gateway.finish_attempt(request, 0, AttemptOutcome::Succeeded, 50);
                gateway.advance(20);
            }
        }
        let from = gateway.sent.len();
        for _ in 0..20 {
            let request = gateway.receive_request(NON_IDEMPOTENT, Some(7));
            gateway.finish_attempt(request, 0, AttemptOutcome::Succeeded, 50);
            gateway.advance(20);
        }
        let used = gateway.endpoints_used_since(from);
        lines += &format!("{case}: {} to the newer build\n", share(&used, 3));
    }
    expect![[r#"
        the update is repeated: 20 of 20 to the newer build
        the first answer is outstanding: 20 of 20 to the newer build
    "#]]
    .assert_eq(&lines);
}
