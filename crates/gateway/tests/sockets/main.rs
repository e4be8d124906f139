//! Starts the built gateway and speaks to it over sockets, with stand-ins for servers, discovery, the platform
//! and a peer. Ports are the system's choice; every wait is for an event, and bounded.

mod clients;
mod configuration;
mod crossings;
mod discovery;
mod ending;
mod golden;
mod keys;
mod limits;
mod support;
mod told;
mod txns;
