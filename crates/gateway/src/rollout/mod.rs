//! The rollout controller's side that this gateway holds under a lease: commands to the deployment controller.

pub(crate) mod commands;
mod deployment_messages;
pub(crate) mod elimination_log;
mod log;
pub(crate) mod votes;
