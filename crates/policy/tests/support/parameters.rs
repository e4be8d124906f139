//! Parameters of the scripted gateway and of the simulated fleet.

use harrierdock_types::{
    ClassParameters, IdempotencyScope, LimitParameters, Parameters, RetrySafety, RolloutParameters,
    SafetyParameters, TimeDelta,
};

use super::ms;

/// The client timeout at a scripted gateway.
pub const SCRIPTED_TIMEOUT_MS: i64 = 1500;
/// The latency objective of all classes of a simulated fleet.
pub const FLEET_LATENCY_OBJECTIVE_MS: i64 = 800;

/// The three request classes: copies of `class` that differ in their retry safety.
fn classes(
    class: ClassParameters,
    scope: IdempotencyScope,
    deduplication_window: TimeDelta,
) -> Vec<ClassParameters> {
    let with_key = RetrySafety::IdempotencyKey {
        scope,
        deduplication_window,
    };
    [
        RetrySafety::Idempotent,
        with_key,
        RetrySafety::NonIdempotent,
    ]
    .map(|retry_safety| ClassParameters {
        retry_safety,
        ..class
    })
    .to_vec()
}

/// Three request classes, two stages and a single gateway. Keys are deduplicated within a zone.
pub fn default_parameters() -> Parameters {
    let class = ClassParameters {
        latency_objective: ms(500),
        timeout: ms(SCRIPTED_TIMEOUT_MS),
        priority_weight: 1.0,
        ..ClassParameters::default()
    };
    Parameters {
        gateway_count: 1,
        clock_resolution: ms(5),
        classes: classes(class, IdempotencyScope::Zone, ms(1000)),
        rollout: RolloutParameters {
            exposure_limits: vec![0.2, 1.0],
            stage_ratios: vec![0.2, 1.0],
            exposure_window: ms(2000),
            exposure_allowance: 1.0,
            vote_ttl: ms(4000),
            vote_timeout: ms(800),
            votes_per_second: 600.0,
            ..RolloutParameters::default()
        },
        safety: SafetyParameters {
            initial_capacity_ratio: 0.3,
            slow_start_window: ms(5000),
            overload_window: ms(1000),
            overload_multiple: 3.0,
            max_poll_interval: ms(8000),
            drain_grace: ms(500),
        },
        limits: LimitParameters {
            max_attempts: 3,
            can_cancel: true,
            gossip_enabled: true,
            retry_after: Some(ms(400)),
            ..LimitParameters::default()
        },
        ..Parameters::default()
    }
}

/// Three request classes, two stages and `gateway_count` gateways. Keys are deduplicated everywhere.
pub fn fleet_parameters(gateway_count: usize) -> Parameters {
    let class = ClassParameters {
        latency_objective: ms(FLEET_LATENCY_OBJECTIVE_MS),
        timeout: ms(2400),
        ..ClassParameters::default()
    };
    Parameters {
        gateway_count,
        clock_resolution: ms(1),
        classes: classes(class, IdempotencyScope::All, ms(1600)),
        rollout: RolloutParameters {
            exposure_limits: vec![0.1, 1.0],
            stage_ratios: vec![0.2, 1.0],
            exposure_window: ms(2000),
            exposure_allowance: 1.0,
            vote_ttl: ms(4000),
            vote_timeout: ms(800),
            votes_per_second: 600.0,
            ..RolloutParameters::default()
        },
        safety: SafetyParameters {
            initial_capacity_ratio: 0.3,
            slow_start_window: ms(3000),
            overload_window: ms(1000),
            overload_multiple: 4.0,
            ..SafetyParameters::default()
        },
        limits: LimitParameters {
            max_attempts: 3,
            can_cancel: true,
            gossip_enabled: true,
            retry_after: Some(ms(1000)),
            connect_timeout: ms(250),
            idle_timeout: ms(30_000),
        },
        ..Parameters::default()
    }
}
