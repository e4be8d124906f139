//! Clients of endpoint discovery and of the rollout platform, and the JSON messages that they exchange.

pub(crate) mod discovery;
pub(crate) mod discovery_messages;
mod endpoint_tables;
pub(crate) mod list_limits;
pub(crate) mod rollout_messages;
pub(crate) mod rollout_platform;
mod votes;
