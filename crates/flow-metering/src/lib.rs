//! Flow metering: counts a gateway's attempts and requests by build, stage, request class, outcome and path, for export.
//!
//! A [`FlowMeter`] observes what ends and yields the flows whose active timeout has passed. For each collector, [`PendingFlows`]
//! merges the flows that wait, and decides what is dropped when they are too many. No I/O, and no clock of its own.

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
