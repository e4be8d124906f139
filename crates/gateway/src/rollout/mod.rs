//! Rollouts: commands to the deployment controller under the rollout lease, and log lines about votes.

pub(crate) mod commands;
mod deployment_messages;
pub(crate) mod elimination_log;
mod log;
pub(crate) mod votes;
