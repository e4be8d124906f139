//! The limit of concurrent attempts at an endpoint.

use expect_test::expect;
use harrierdock_types::*;

use crate::support::*;

#[test]
fn timed_out_attempts_count_against_the_limit() {
    let mut gateway =
        ScriptedGateway::with_endpoints(default_parameters(), &[1], RolloutPhase::Released);
    let mut requests = Vec::new();
    for _ in 0..12 {
        requests.push(gateway.receive_request(NON_IDEMPOTENT, None));
    }
    gateway.run_until(1500);
    for request in requests {
        if gateway.sent.iter().any(|sent| sent.request == request) {
            gateway.finish_attempt(request, 0, AttemptOutcome::TimedOut, 1500);
        }
    }
    gateway.trace.clear();
    gateway.receive_request(IDEMPOTENT, None);
    gateway.run_until(1900);
    expect![[r#"
        1540: attempt #13 to 0
    "#]]
    .assert_eq(&gateway.trace);
}
