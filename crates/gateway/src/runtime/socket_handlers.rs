//! Functions that the event loop calls when a socket is ready. Each one calls the part that owns the socket, then has the
//! dispatcher process the resulting events. The parts call these functions through [`SocketHandlers`], so that they do not
//! depend on the gateway.

use std::os::unix::net::UnixStream;

use calloop::Readiness;
use harrierdock_event_loop::ConnectionId;

use crate::multi_site::control_socket::{ControlConnectionId, ControlHandlers};
use crate::runtime::gateway::Gateway;

/// Handles readiness of the connection with the given id.
pub(crate) type ConnectionHandler = fn(&mut Gateway, ConnectionId, Readiness);
/// Handles readiness of a stream that exists once per gateway.
pub(crate) type StreamHandler = fn(&mut Gateway, Readiness);

/// The handler functions, one for each kind of socket.
#[derive(Clone, Copy)]
pub(crate) struct SocketHandlers {
    /// The listener has pending connections.
    pub(crate) listener: fn(&mut Gateway),
    /// A client connection is ready.
    pub(crate) downstream: ConnectionHandler,
    /// A connection to an endpoint is ready.
    pub(crate) upstream: ConnectionHandler,
    /// The stream from discovery is ready.
    pub(crate) discovery: StreamHandler,
    /// The stream from the rollout platform is ready.
    pub(crate) rollout_platform: StreamHandler,
    /// A connection that carries a vote is ready.
    pub(crate) vote: ConnectionHandler,
    /// The socket to the other site's gateways is ready.
    pub(crate) site_transport: fn(&mut Gateway),
    /// A connection that carries a rollout command is ready.
    pub(crate) rollout_command: ConnectionHandler,
}

impl SocketHandlers {
    /// Returns the handlers that operate on a [`Gateway`].
    pub(crate) fn of_gateway() -> SocketHandlers {
        SocketHandlers {
            listener: handle_listener,
            downstream: handle_downstream,
            upstream: handle_upstream,
            discovery: handle_discovery,
            rollout_platform: handle_rollout_platform,
            vote: handle_vote,
            site_transport: handle_site_transport,
            rollout_command: handle_rollout_command,
        }
    }
}

fn handle_listener(gateway: &mut Gateway) {
    gateway.accept_connections();
}

fn handle_downstream(gateway: &mut Gateway, connection_id: ConnectionId, readiness: Readiness) {
    gateway
        .downstream
        .handle_readiness(&mut gateway.context, connection_id, readiness);
    gateway.process_events();
}

fn handle_upstream(gateway: &mut Gateway, connection_id: ConnectionId, readiness: Readiness) {
    let readiness =
        gateway
            .upstream
            .handle_connected(&mut gateway.context, connection_id, readiness);
    if readiness.writable {
        gateway.cancel_on_violation(connection_id);
    }
    gateway
        .upstream
        .handle_readiness(&mut gateway.context, connection_id, readiness);
    gateway.process_events();
}

pub(super) fn handle_discovery(gateway: &mut Gateway, readiness: Readiness) {
    let names = &mut gateway.dispatcher.names;
    gateway.discovery.handle_readiness(
        &mut gateway.context,
        names,
        &mut gateway.upstream,
        readiness,
    );
    gateway.update_readiness();
    gateway.process_events();
}

pub(super) fn handle_rollout_platform(gateway: &mut Gateway, readiness: Readiness) {
    if let Some(platform) = &mut gateway.rollout_platform {
        platform.handle_readiness(&mut gateway.context, &gateway.dispatcher.names, readiness);
    }
    gateway.process_events();
}

fn handle_vote(gateway: &mut Gateway, connection_id: ConnectionId, readiness: Readiness) {
    if let Some(platform) = &mut gateway.rollout_platform {
        platform.handle_vote_readiness(&mut gateway.context, connection_id, readiness);
    }
    gateway.process_events();
}

/// Receives gossip datagrams from peers.
pub(super) fn handle_gossip(gateway: &mut Gateway) {
    if let Some(gossip) = &gateway.gossip {
        gossip.receive(&mut gateway.context);
    }
    gateway.process_events();
}

fn handle_site_transport(gateway: &mut Gateway) {
    if let Some(forwarding) = &mut gateway.forwarding {
        forwarding.receive();
    }
    gateway.process_events();
}

fn handle_rollout_command(
    gateway: &mut Gateway,
    connection_id: ConnectionId,
    readiness: Readiness,
) {
    gateway.handle_rollout_command_readiness(connection_id, readiness);
    gateway.process_events();
}

/// Adds a connection that the control socket accepted.
pub(super) fn handle_control_connection(gateway: &mut Gateway, stream: UnixStream) {
    let now = gateway.context.now();
    let handlers = ControlHandlers {
        run_command: Gateway::handle_control_command,
        answered: handle_control_answered,
    };
    if let Some(control_socket) = &mut gateway.control_socket {
        control_socket.add_connection(&gateway.context.handle, stream, now, handlers);
    }
}

fn handle_control_answered(gateway: &mut Gateway, id: ControlConnectionId) {
    if let Some(control_socket) = &mut gateway.control_socket {
        control_socket.forget_connection(&gateway.context.handle, id);
    }
}
