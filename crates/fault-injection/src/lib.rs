//! Fault injection: runs gateways, or their decisions alone, against stand-ins for all that they meet, plays failures drawn
//! by a seed, and checks the rules that hold whatever happens. Everything stays on loopback.
//!
//! - without sockets, in simulated time: [`core`] (two sites), [`duties`] (leases), [`membership`] (members of a site),
//!   [`admission`] (admission policies compared), [`elimination`] (rules that eliminate a canary compared);
//! - with built gateways: [`sites`] (two sites), [`fleet`] (leases and rollouts), [`flows`] (flow export), [`soak`]
//!   (restarts under load);
//! - what these share: [`gateway_process`], [`gateway_keys`], [`run_folder`], [`collector`], [`record_tables`], [`stand_ins`],
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
