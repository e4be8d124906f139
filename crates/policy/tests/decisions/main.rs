//! Tests of the policy's decisions, with traces of one gateway and totals over a simulated fleet.

#[path = "../support/mod.rs"]
mod support;

mod concurrency_limits;
mod elimination;
mod elimination_confounders;
mod endpoint_list;
mod exposure;
mod fleet;
mod gossip_groups;
mod load_shedding;
mod outlier_ejection;
mod retries;
mod rollout_votes;
mod short_deadlines;
mod slow_start;
mod sticky_versions;
mod sticky_versions_after_absence;
