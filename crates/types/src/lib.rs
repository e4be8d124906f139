//! Plain types that the other packages share: identifiers, the policy's parameters, events and actions, gossip messages with
//! their encoding, and time. This package makes no decisions, does no I/O and reads no clock.

#![warn(missing_docs, unreachable_pub)]

mod action;
mod endpoint;
mod event;
pub mod gossip;
mod ids;
mod outcome;
mod parameters;
mod rollout;
mod time;

pub use action::Action;
pub use endpoint::{EndpointRecord, Lifecycle, UpdateKind};
pub use event::Event;
pub use gossip::{GossipMessage, LatencyReport, OutcomeReport, ReportedEvent};
pub use ids::{
    AffinityKey, BuildId, ClassId, EndpointId, GossipId, PeerId, RequestId, TenantId, ZoneId,
};
pub use outcome::AttemptOutcome;
pub use parameters::{
    ClassParameters, DiscoveryMode, ExposureCounting, IdempotencyScope, LimitParameters,
    LoadReporting, Parameters, ReservedParameters, RetrySafety, RolloutParameters,
    SafetyParameters, StageControl,
};
pub use rollout::{Arm, PlatformStatus, RolloutDecision, RolloutPhase, RolloutUpdate};
pub use time::{TimeDelta, Timestamp};
