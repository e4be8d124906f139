//! Stand-ins for all that a gateway meets, and rehearsals made of them. Everything stays on loopback.

pub mod admission;
pub mod collector;
pub mod core;
pub mod duties;
pub mod fleet;
pub mod flows;
pub mod gateway_process;
pub mod membership;
pub mod record_tables;
pub mod sites;
pub mod stand_ins;
pub mod world;
