//! Leases that one gateway of a fleet holds at a time.

pub mod handlers;
pub mod participant;
