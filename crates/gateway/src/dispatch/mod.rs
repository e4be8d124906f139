//! Delivers events to the policy and executes the actions it returns, in the downstream, upstream and control plane.

pub(crate) mod answers;
pub(crate) mod attempts;
pub(crate) mod dispatcher;
mod flow_records;
mod inbound;
mod leases;
mod multi_site;
pub(crate) mod preconditions;
pub(crate) mod request_table;
mod rollout;
mod site_administration;
