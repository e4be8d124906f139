//! Starts the built gateway and speaks to it over sockets, with stand-ins for servers, discovery, the platform
//! and a peer. Ports are the system's choice; every wait is for an event, and bounded.

mod attempts;
mod client_requests;
mod configuration;
mod connection_reuse;
mod discovery;
mod discovery_updates;
mod early_clients;
mod golden;
mod gossip;
mod graceful_shutdown;
mod preconditions;
mod resource_limits;
mod rollout_platform;
mod start_order;
mod startup;
mod sticky_versions;
mod support;
