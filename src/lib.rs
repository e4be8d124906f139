//! The decisions of a gateway that routes txns and votes on staged releases.
//! `policy` decides; `interface` names what goes in and comes out; `state` holds what it keeps; `mail` writes
//! messages; `time` keeps points and spans apart, and `recent` counts what happened lately.

pub mod interface;
pub mod mail;
pub mod policy;
pub mod recent;
mod state;
pub mod time;
