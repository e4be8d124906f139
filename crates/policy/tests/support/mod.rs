//! Shared test set-up: parameters, endpoint records, rollout updates, a scripted gateway and a simulated fleet.

mod parameters;
mod platform;
mod scripted_gateway;
mod simulated_endpoint;
mod simulated_fleet;

use harrierdock_types::{
    BuildId, ClassId, EndpointId, EndpointRecord, GossipId, PlatformStatus, RolloutPhase,
    RolloutUpdate, TimeDelta, ZoneId,
};

pub use parameters::default_parameters;
pub use scripted_gateway::{canary_trial, group_member, share, ScriptedGateway, ALWAYS_SUCCEEDS};
pub use simulated_fleet::{ClassTotals, SimulatedFleet};

/// The class of requests that may be retried at any endpoint.
pub const IDEMPOTENT: ClassId = ClassId(0);
/// The class of requests with an idempotency key.
pub const KEYED: ClassId = ClassId(1);
/// The class of requests that must not be retried once they may have taken effect.
pub const NON_IDEMPOTENT: ClassId = ClassId(2);

/// A time span in milliseconds.
pub fn ms(milliseconds: i64) -> TimeDelta {
    TimeDelta::from_millis(milliseconds)
}

/// A ready, warm endpoint. Odd and even numbers are in different zones.
pub fn endpoint(number: usize, build: u32) -> EndpointRecord {
    EndpointRecord {
        endpoint: EndpointId(number),
        build: BuildId(build),
        weight: 1.0,
        zone: ZoneId(number % 2),
        gossip_id: GossipId(number as u16),
        ..EndpointRecord::default()
    }
}

/// One endpoint for each build, numbered from 0.
pub fn endpoints(builds: &[u32]) -> Vec<EndpointRecord> {
    builds
        .iter()
        .enumerate()
        .map(|(number, build)| endpoint(number, *build))
        .collect()
}

/// A rollout update with status `Valid` that is not the response to a vote.
pub fn rollout_update(
    build: u32,
    stage: usize,
    phase: RolloutPhase,
    exposure_limit: f64,
) -> RolloutUpdate {
    RolloutUpdate {
        build: BuildId(build),
        stage,
        phase,
        exposure_limit,
        status: PlatformStatus::Valid,
        is_vote_response: false,
        age: TimeDelta::ZERO,
    }
}
