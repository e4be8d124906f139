//! Tests of one gateway's decisions between two sites, event by event.

mod cancels;
mod failover;
mod fixture;
mod forwarding;
mod inbound;
mod late_messages;
