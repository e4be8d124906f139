//! Fault injection: runs built gateways, or simulations of their logic, against stand-ins for the outside systems. Injects
//! failures drawn from a seed and checks the rules that must hold under any failure. All sockets are on loopback.
//!
//! - without sockets, in simulated time: [`core`] (two sites), [`duties`] (leases), [`membership`] (gossip on membership),
//!   [`admission`] (comparison of admission policies), [`elimination`] (comparison of rules that eliminate a canary);
//! - with built gateways: [`sites`] (two sites), [`fleet`] (leases and rollouts), [`flows`] (flow export), [`soak`]
//!   (restarts under load);
//! - shared by these: [`gateway_process`], [`gateway_keys`], [`run_folder`], [`collector`], [`record_tables`], [`stand_ins`],
//!   [`schedule`], [`simulation`], [`statistics`];
//! - [`cli`]: the command line.

pub mod admission;
pub mod cli;
pub mod collector;
pub mod core;
pub mod duties;
pub mod elimination;
pub mod fleet;
pub mod flows;
pub mod gateway_keys;
pub mod gateway_process;
pub mod membership;
pub mod record_tables;
pub mod run_folder;
pub mod schedule;
pub mod simulation;
pub mod sites;
pub mod soak;
pub mod stand_ins;
pub mod statistics;
