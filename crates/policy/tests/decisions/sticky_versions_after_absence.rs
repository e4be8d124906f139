//! Affinity keys after all endpoints of older builds have been away for longer than the gateway remembers them.

use std::ops::Range;

use expect_test::expect;
use harrierdock_types::*;

use crate::support::*;

/// The keys that the newer build answers before the absence.
const ANSWERED_KEYS: Range<u64> = 0..40;
/// Keys that no build has answered.
const NEW_KEYS: Range<u64> = 100..140;
/// Longer than a removed endpoint is remembered with the parameters of [`default_parameters`].
const LONG_ABSENCE_MS: i64 = 60_000;
/// As many keys as the gateway remembers one by one.
const MANY_KEYS: u64 = 131_072;
/// The endpoint that runs the older build, and is away for a while.
const OLDER: usize = 3;

/// How discovery tells that the endpoint of the older build is away.
#[derive(Clone, Copy, Debug)]
enum Absence {
    /// A delta that removes the endpoint, as when its zone is lost.
    Removed,
    /// A complete list without the endpoint, as after a move of discovery or from a list that comes short.
    MissingFromList,
}

/// A gateway with build 2 at endpoints 0 to 2 and build 1 at endpoint 3. Build 2 has answered [`ANSWERED_KEYS`].
fn gateway_with_answered_keys(phase: RolloutPhase) -> ScriptedGateway {
    let mut parameters = default_parameters();
    parameters.rollout.monotonic_versions = true;
    parameters.rollout.exposure_allowance = 1000.0;
    let mut gateway = ScriptedGateway::new(parameters);
    gateway.update_endpoints(UpdateKind::Snapshot, endpoints(&[2, 2, 2, 1]));
    gateway.update_rollout(2, 1, phase, 1.0);
    for key in ANSWERED_KEYS {
        loop {
            let request = gateway.receive_request(NON_IDEMPOTENT, Some(key));
            let endpoint = gateway.last_endpoint_of(request);
            gateway.finish_attempt(request, 0, AttemptOutcome::Succeeded, 50);
            if endpoint.is_some_and(|endpoint| endpoint != OLDER) {
                break;
            }
        }
    }
    gateway
}

/// Takes the endpoint of the older build away for [`LONG_ABSENCE_MS`].
fn lose_older_endpoint(gateway: &mut ScriptedGateway, absence: Absence) {
    match absence {
        Absence::Removed => {
            let removed = EndpointRecord {
                lifecycle: Lifecycle::Removed,
                ..endpoint(OLDER, 1)
            };
            gateway.update_endpoints(UpdateKind::Delta, vec![removed]);
        }
        Absence::MissingFromList => {
            gateway.update_endpoints(UpdateKind::Snapshot, endpoints(&[2, 2, 2]));
        }
    }
    gateway.advance(LONG_ABSENCE_MS);
}

fn return_older_endpoint(gateway: &mut ScriptedGateway) {
    gateway.update_endpoints(UpdateKind::Delta, vec![endpoint(OLDER, 1)]);
}

/// The share of requests with these keys that the older build receives.
fn share_of_older(gateway: &mut ScriptedGateway, keys: Range<u64>) -> String {
    let from = gateway.sent.len();
    for key in keys {
        let request = gateway.receive_request(NON_IDEMPOTENT, Some(key));
        gateway.finish_attempt(request, 0, AttemptOutcome::Succeeded, 50);
        gateway.advance(100);
    }
    share(&gateway.endpoints_used_since(from), OLDER)
}

// Guards against keys that the canary has answered going to the older build after a zone with that build was lost for long.
#[test]
fn a_key_sticks_to_the_canary_however_long_older_endpoints_are_away() {
    let mut lines = String::new();
    for absence in [Absence::Removed, Absence::MissingFromList] {
        let mut gateway = gateway_with_answered_keys(RolloutPhase::Canary);
        lose_older_endpoint(&mut gateway, absence);
        return_older_endpoint(&mut gateway);
        let answered = share_of_older(&mut gateway, ANSWERED_KEYS);
        let new = share_of_older(&mut gateway, NEW_KEYS);
        lines += &format!("{absence:?}: answered before {answered}, other keys {new}\n");
    }
    expect![[r#"
        Removed: answered before 0 of 40, other keys 18 of 40
        MissingFromList: answered before 0 of 40, other keys 18 of 40
    "#]]
    .assert_eq(&lines);
}

// Guards against the same once the build is released. Then no key is remembered alone: all stick to the released build.
#[test]
fn keys_stick_to_a_released_build_however_long_older_endpoints_are_away() {
    let mut lines = String::new();
    for absence in [Absence::Removed, Absence::MissingFromList] {
        let mut gateway = gateway_with_answered_keys(RolloutPhase::Released);
        lose_older_endpoint(&mut gateway, absence);
        let state = gateway.retained_state();
        return_older_endpoint(&mut gateway);
        let answered = share_of_older(&mut gateway, ANSWERED_KEYS);
        lines += &format!("{absence:?}: answered before {answered}; while away: {state}\n");
    }
    expect![[r#"
        Removed: answered before 0 of 40; while away: 3 endpoints, 3 gossip ids, 0 keys
        MissingFromList: answered before 0 of 40; while away: 3 endpoints, 3 gossip ids, 0 keys
    "#]]
    .assert_eq(&lines);
}

// Guards against a site that is behind in its own rollout and has to reject all that this one forwards.
#[test]
fn only_keys_with_a_sticky_version_of_their_own_are_held_to_it_at_another_site() {
    let mut lines = String::new();
    for phase in [RolloutPhase::Canary, RolloutPhase::Released] {
        let mut gateway = gateway_with_answered_keys(phase);
        lines += &format!("{phase:?}: {}", gateway.sticky_builds(0));
        lose_older_endpoint(&mut gateway, Absence::Removed);
        lines += &format!("; after the absence: {}\n", gateway.sticky_builds(0));
    }
    expect![[r#"
        Canary: build 2 here, 2 elsewhere; after the absence: build 2 here, 2 elsewhere
        Released: build 2 here, 2 elsewhere; after the absence: build 2 here, 0 elsewhere
    "#]]
    .assert_eq(&lines);
}

/// The older build may serve every key once the newer one is rolled back, whatever was remembered of it.
#[test]
fn a_rollback_frees_the_keys_of_an_absence() {
    let mut lines = String::new();
    for phase in [RolloutPhase::Canary, RolloutPhase::Released] {
        let mut gateway = gateway_with_answered_keys(phase);
        lose_older_endpoint(&mut gateway, Absence::Removed);
        return_older_endpoint(&mut gateway);
        gateway.update_rollout(2, 1, RolloutPhase::RollingBack, 0.0);
        let answered = share_of_older(&mut gateway, ANSWERED_KEYS);
        lines += &format!("{phase:?}: answered before {answered}\n");
    }
    expect![[r#"
        Canary: answered before 40 of 40
        Released: answered before 40 of 40
    "#]]
    .assert_eq(&lines);
}

/// A gateway with a canary at endpoint 0 and these other endpoints, whose table of keys is full.
fn gateway_with_full_table(other_builds: &[u32]) -> ScriptedGateway {
    let mut parameters = default_parameters();
    parameters.rollout.monotonic_versions = true;
    parameters.rollout.exposure_allowance = 1000.0;
    let mut gateway = ScriptedGateway::new(parameters);
    let builds: Vec<u32> = [2].iter().chain(other_builds).copied().collect();
    gateway.update_endpoints(UpdateKind::Snapshot, endpoints(&builds));
    gateway.update_rollout(2, 0, RolloutPhase::Canary, 0.9);
    for key in 0..MANY_KEYS {
        gateway.handle(Event::StickyVersionLearned {
            key: AffinityKey(key),
            build: BuildId(2),
        });
    }
    gateway
}

fn share_of_canary(
    gateway: &mut ScriptedGateway,
    keys: impl Iterator<Item = Option<u64>>,
) -> String {
    let from = gateway.sent.len();
    for key in keys {
        let request = gateway.receive_request(NON_IDEMPOTENT, key);
        gateway.finish_attempt(request, 0, AttemptOutcome::Succeeded, 50);
        gateway.advance(100);
    }
    share(&gateway.endpoints_used_since(from), 0)
}

// Guards against a bound in memory that breaks the rule it serves: neither an answered key nor the exposure limit is given up.
#[test]
fn a_full_table_of_keys_costs_the_canary_new_keys_only() {
    let mut lines = String::new();
    for other_builds in [&[1, 1, 1][..], &[]] {
        let mut gateway = gateway_with_full_table(other_builds);
        let answered = share_of_canary(&mut gateway, (0..40).map(Some));
        let new_keys = MANY_KEYS..MANY_KEYS + 40;
        let new = share_of_canary(&mut gateway, new_keys.map(Some));
        let without = share_of_canary(&mut gateway, (0..40).map(|_| None));
        let older = other_builds.len();
        lines += &format!(
            "{older} older endpoints: answered before {answered}, new {new}, without a key {without}\n"
        );
    }
    expect![[r#"
        3 older endpoints: answered before 40 of 40, new 0 of 40, without a key 7 of 40
        0 older endpoints: answered before 40 of 40, new 40 of 40, without a key 40 of 40
    "#]]
    .assert_eq(&lines);
}
