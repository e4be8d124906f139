//! Plain types that the other packages share: what goes into and comes out of the policy, points and spans of time,
//! and the messages of gossip with their encoding.

pub mod gossip;
pub mod interface;
pub mod time;
