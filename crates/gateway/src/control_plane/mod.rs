//! Endpoint discovery and the rollout platform: the clients, and the JSON forms that they read and write.

pub mod discovery;
pub mod discovery_messages;
pub mod rollout_messages;
pub mod rollout_platform;
mod votes;
