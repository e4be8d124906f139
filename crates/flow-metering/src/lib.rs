//! Flow metering: counts a gateway's attempts and requests by build, stage, request class, outcome and path, for export.
//!
//! A [`FlowMeter`] counts finished attempts and requests, and returns the flows whose active timeout has passed. For each collector,
//! [`PendingFlows`] merges the flows not sent yet and drops flows beyond its limit. The package does no I/O and reads no clock.

#![warn(missing_docs, unreachable_pub)]

mod counters;
mod flow;
mod flow_table;
mod heavy_hitters;
mod meter;
mod pending_flows;
mod timer_wheel;

pub use counters::{FlowCounters, DURATION_BUCKETS};
pub use flow::{Flow, FlowKey, FlowOutcome, FlowPath, Observation, RecordKind};
pub use flow_table::FlowTable;
pub use heavy_hitters::HeavyHitters;
pub use meter::{FlowMeter, MAX_FLOW_KEYS, MAX_METERED_ENDPOINTS};
pub use pending_flows::{DroppedFlows, PendingFlows};
pub use timer_wheel::TimerWheel;
