//! From received requests to the policy, and from its actions to the parts that execute them.

pub mod answers;
pub mod attempts;
pub mod dispatcher;
mod flow_records;
mod leases;
mod multi_site;
pub mod preconditions;
pub mod request_table;
mod rollout;
