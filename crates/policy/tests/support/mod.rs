//! Set-up that the tests share: parameters, endpoint records and rollout updates, a scripted gateway and a simulated fleet.

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

/// The class of requests that may be sent again anywhere.
pub const IDEMPOTENT: ClassId = ClassId(0);
/// The class of requests with an idempotency key.
pub const KEYED: ClassId = ClassId(1);
/// The class of requests that may not be sent again.
pub const NON_IDEMPOTENT: ClassId = ClassId(2);

/// The difference of this many milliseconds.
pub fn ms(milliseconds: i64) -> TimeDelta {
    TimeDelta::from_millis(milliseconds)
}

/// A ready endpoint that started long ago, in one of two zones.
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

/// Endpoints 0.. of these builds.
pub fn endpoints(builds: &[u32]) -> Vec<EndpointRecord> {
    builds
        .iter()
        .enumerate()
        .map(|(number, build)| endpoint(number, *build))
        .collect()
}

/// A valid update that answers no vote.
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
        answers_vote: false,
        age: TimeDelta::ZERO,
    }
}
