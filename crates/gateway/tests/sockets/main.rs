//! Tests of the built gateway over sockets, with stand-ins for endpoints, discovery, the rollout platform and a peer.
//! The system chooses the ports. Every wait is for an event and has a time limit.

mod attempts;
mod client_requests;
mod configuration;
mod connection_reuse;
mod delayed_endpoint;
mod departed_clients;
mod discovery;
mod discovery_updates;
mod early_clients;
mod golden;
mod gossip;
mod graceful_shutdown;
mod long_lists;
mod oversized_messages;
mod partial_requests;
mod preconditions;
mod repeated_requests;
mod resource_limits;
mod rollout_platform;
mod slow_lists;
mod start_order;
mod startup;
mod sticky_versions;
mod support;
