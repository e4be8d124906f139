//! Each change of state causes exactly its own violation.

use harrierdock_attempt_guard::{CurrentState, ListedEndpoint, Precondition, Violation};
use harrierdock_types::{BuildId, Lifecycle, TimeDelta, Timestamp};

const DEDUPLICATED_UNTIL: Timestamp = Timestamp(1_000_000);

const STARTED_AT: Option<Timestamp> = Some(Timestamp(5));

/// A precondition, and a state that satisfies it.
fn satisfied_precondition() -> (Precondition, CurrentState) {
    let build = BuildId(7);
    let precondition = Precondition {
        build,
        started_at: STARTED_AT,
        exposure_limit: 0.3,
        deduplicated_until: Some(DEDUPLICATED_UNTIL),
    };
    let state = CurrentState {
        now: DEDUPLICATED_UNTIL - TimeDelta(1),
        is_request_finished: false,
        is_list_stale: false,
        endpoint: Some(ListedEndpoint {
            lifecycle: Lifecycle::Ready,
            build,
            started_at: STARTED_AT,
        }),
        exposure_limit: 0.3,
        sticky_build: build,
    };
    (precondition, state)
}

#[test]
fn each_change_of_state_causes_its_own_violation() {
    let (precondition, satisfying) = satisfied_precondition();
    let listed = |lifecycle, build, started_at| CurrentState {
        endpoint: Some(ListedEndpoint {
            lifecycle,
            build: BuildId(build),
            started_at,
        }),
        ..satisfying
    };
    let cases = [
        (satisfying, None),
        (
            CurrentState {
                exposure_limit: 0.4,
                sticky_build: BuildId(0),
                ..satisfying
            },
            None,
        ),
        (
            CurrentState {
                is_request_finished: true,
                ..satisfying
            },
            Some(Violation::RequestFinished),
        ),
        (
            CurrentState {
                is_list_stale: true,
                ..satisfying
            },
            Some(Violation::ListStale),
        ),
        (
            listed(Lifecycle::Draining, 7, STARTED_AT),
            Some(Violation::EndpointDraining),
        ),
        (
            listed(Lifecycle::Removed, 7, STARTED_AT),
            Some(Violation::EndpointDraining),
        ),
        (
            CurrentState {
                endpoint: None,
                ..satisfying
            },
            Some(Violation::EndpointReplaced),
        ),
        (
            listed(Lifecycle::Ready, 8, STARTED_AT),
            Some(Violation::EndpointReplaced),
        ),
        (
            listed(Lifecycle::Ready, 7, Some(Timestamp(6))),
            Some(Violation::EndpointReplaced),
        ),
        (
            listed(Lifecycle::Ready, 7, None),
            Some(Violation::EndpointReplaced),
        ),
        (
            CurrentState {
                exposure_limit: 0.0,
                ..satisfying
            },
            Some(Violation::ExposureLimitLowered),
        ),
        (
            CurrentState {
                sticky_build: BuildId(8),
                ..satisfying
            },
            Some(Violation::StickyVersion),
        ),
        (
            CurrentState {
                now: DEDUPLICATED_UNTIL,
                ..satisfying
            },
            Some(Violation::DeduplicationExpired),
        ),
    ];
    for (state, violation) in cases {
        assert_eq!(precondition.violation(&state), violation, "{state:?}");
    }
    let first_attempt = Precondition {
        deduplicated_until: None,
        ..precondition
    };
    assert_eq!(
        first_attempt.violation(&CurrentState {
            now: DEDUPLICATED_UNTIL + TimeDelta(1),
            ..satisfying
        }),
        None
    );
}
