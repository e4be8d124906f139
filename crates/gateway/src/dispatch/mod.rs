//! From received requests to the policy, and from its actions to the parts that execute them.

pub(crate) mod answers;
pub(crate) mod attempts;
pub(crate) mod dispatcher;
mod flow_records;
mod leases;
mod multi_site;
pub(crate) mod preconditions;
pub(crate) mod request_table;
mod rollout;
mod site_administration;
