//! Endpoint discovery and the rollout platform: the clients, and the JSON forms that they read and write.

pub(crate) mod discovery;
pub(crate) mod discovery_messages;
pub(crate) mod rollout_messages;
pub(crate) mod rollout_platform;
mod votes;
