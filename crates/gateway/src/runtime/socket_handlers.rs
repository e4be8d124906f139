//! What the event loop calls when a socket is ready. Each function lets the part that owns the socket handle it, and then
//! has the dispatcher process the events that came of it. The parts reach these functions through [`SocketHandlers`] and so
//! know nothing of the gateway.

use std::os::unix::net::UnixStream;

use calloop::Readiness;
use harrierdock_event_loop::ConnectionId;

use crate::multi_site::control_socket::{ControlConnectionId, ControlHandlers};
use crate::runtime::gateway::Gateway;

/// Handles the readiness of one of many connections.
pub(crate) type ConnectionHandler = fn(&mut Gateway, ConnectionId, Readiness);
/// Handles the readiness of a stream of which there is one.
pub(crate) type StreamHandler = fn(&mut Gateway, Readiness);

/// The functions by the kind of socket.
#[derive(Clone, Copy)]
pub(crate) struct SocketHandlers {
    /// The listener has connections that wait.
    pub(crate) listener: fn(&mut Gateway),
    /// A client's connection is ready.
    pub(crate) downstream: ConnectionHandler,
    /// A connection to an endpoint is ready.
    pub(crate) upstream: ConnectionHandler,
    /// The stream of discovery is ready.
    pub(crate) discovery: StreamHandler,
    /// The stream of the rollout platform is ready.
    pub(crate) rollout_platform: StreamHandler,
    /// A connection with a vote is ready.
    pub(crate) vote: ConnectionHandler,
    /// The socket to the other site's gateways is ready.
    pub(crate) site_transport: fn(&mut Gateway),
    /// The connection of a rollout command is ready.
    pub(crate) rollout_command: ConnectionHandler,
}

impl SocketHandlers {
    /// The handlers of a gateway.
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

/// Handles datagrams of peers.
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

/// Handles a connection that the control socket has accepted.
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
