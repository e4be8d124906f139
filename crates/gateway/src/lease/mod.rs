//! Leases: rights that one gateway of a fleet holds at a time.

mod message_version;
pub(crate) mod participant;
