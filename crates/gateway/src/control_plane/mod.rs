//! Endpoint discovery and the rollout platform.

pub mod discovery;
pub mod rollout_platform;
