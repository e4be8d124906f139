//! The rollout controller: calls to the deployment controller.

pub mod controller;
