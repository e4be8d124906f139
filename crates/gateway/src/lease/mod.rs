//! This gateway's part in the leases of its fleet. At most one gateway holds each lease at a time.

mod message_version;
pub(crate) mod participant;
