//! Requests to unreleased builds.

use expect_test::expect;
use harrierdock_types::*;

use crate::support::*;

#[test]
fn attempts_stay_within_the_exposure_limit_by_build_and_class() {
    let mut per_class = default_parameters();
    per_class.rollout.exposure_counting = ExposureCounting::PerClass;
    let mut lines = String::new();
    for (counting, parameters) in [("combined", default_parameters()), ("per class", per_class)] {
        for (case, stage, phase, exposure_limit) in [
            ("limit 0.2", 0, RolloutPhase::Canary, 0.2),
            ("limit 0", 0, RolloutPhase::RollingBack, 0.0),
            ("rolled back", 1, RolloutPhase::RolledBack, 0.0),
        ] {
            let mut gateway = ScriptedGateway::with_endpoints(
                parameters.clone(),
                &[1, 1, 2, 2, 2],
                RolloutPhase::Canary,
            );
            gateway.update_rollout(2, stage, phase, exposure_limit);
            let used = gateway.run_traffic(95, 20, ALWAYS_SUCCEEDS);
            lines += &format!(
                "{counting}, {case}: {}\n",
                used.iter().filter(|endpoint| **endpoint >= 2).count()
            );
        }
        let mut gateway =
            ScriptedGateway::with_endpoints(parameters, &[1, 1, 2, 2, 2], RolloutPhase::Canary);
        gateway.update_rollout(1, 1, RolloutPhase::Released, 1.0);
        let used = gateway.run_traffic(95, 20, ALWAYS_SUCCEEDS);
        lines += &format!(
            "{counting}, build not named by an update: {}\n",
            used.iter().filter(|endpoint| **endpoint >= 2).count()
        );
    }
    expect![[r#"
        combined, limit 0.2: 20
        combined, limit 0: 0
        combined, rolled back: 0
        combined, build not named by an update: 20
        per class, limit 0.2: 20
        per class, limit 0: 0
        per class, rolled back: 0
        per class, build not named by an update: 20
    "#]]
    .assert_eq(&lines);
}

#[test]
fn guarded_stages_receive_idempotent_requests_only_and_keys_stick_until_a_rollback() {
    let mut parameters = default_parameters();
    parameters.rollout.guarded_stages = 1;
    parameters.rollout.monotonic_versions = true;
    let mut gateway = ScriptedGateway::with_endpoints(parameters, &[1, 2], RolloutPhase::Canary);
    assert_eq!(
        share(&gateway.run_traffic(30, 20, ALWAYS_SUCCEEDS), 1),
        "0 of 30"
    );
    let mut sticky_key = None;
    for key in 1..40 {
        let request = gateway.receive_request(IDEMPOTENT, Some(key));
        let to = gateway.last_endpoint();
        gateway.finish_attempt(request, 0, AttemptOutcome::Succeeded, 30);
        sticky_key = sticky_key.or((to == Some(1)).then_some(key));
    }
    gateway.trace.clear();
    gateway.run_until(1000);
    gateway.receive_request(IDEMPOTENT, sticky_key);
    gateway.update_rollout(2, 0, RolloutPhase::Released, 1.0);
    gateway.receive_request(IDEMPOTENT, sticky_key);
    gateway.update_rollout(2, 0, RolloutPhase::RollingBack, 0.0);
    gateway.receive_request(IDEMPOTENT, sticky_key);
    expect![[r#"
        1000: attempt #70 to 1
        1000: attempt #71 to 1
        1000: attempt #72 to 0
    "#]]
    .assert_eq(&gateway.trace);
}
