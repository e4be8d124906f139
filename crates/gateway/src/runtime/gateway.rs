//! The gateway struct: the parts of the gateway, each of which owns its state, and the values needed for a reload.

use std::path::PathBuf;

use harrierdock_flow_export::FlowExporter;
use harrierdock_types::TimeDelta;

use crate::control_plane::discovery::Discovery;
use crate::control_plane::rollout_platform::RolloutPlatform;
use crate::dispatch::dispatcher::Dispatcher;
use crate::downstream::Downstream;
use crate::gossip::GossipSocket;
use crate::lease::participant::LeaseParticipant;
use crate::multi_site::control_socket::ControlSocket;
use crate::multi_site::forwarding::Forwarding;
use crate::rollout::commands::RolloutCommands;
use crate::runtime::context::Context;
use crate::runtime::shutdown::ShutdownState;
use crate::upstream::Upstream;

/// A running gateway. `None` in an optional part means that it is not configured.
pub(crate) struct Gateway {
    /// State shared by all parts.
    pub(crate) context: Context,
    /// Policy and pending requests.
    pub(crate) dispatcher: Dispatcher,
    /// Connections from clients.
    pub(crate) downstream: Downstream,
    /// Connections to endpoints.
    pub(crate) upstream: Upstream,
    /// Client of discovery, which provides the endpoint list.
    pub(crate) discovery: Discovery,
    /// Client of the rollout platform.
    pub(crate) rollout_platform: Option<RolloutPlatform>,
    /// UDP socket for messages to and from all peers.
    pub(crate) gossip: Option<GossipSocket>,
    /// Forwarding between this site and the other site.
    pub(crate) forwarding: Option<Forwarding>,
    /// Control socket for `harrierdock site`.
    pub(crate) control_socket: Option<ControlSocket>,
    /// Exporter of flow records to collectors and to the flow file.
    pub(crate) exporter: Option<Box<FlowExporter>>,
    /// This gateway's participation in leases.
    pub(crate) leases: Option<Box<LeaseParticipant>>,
    /// Rollout commands to the deployment controller.
    pub(crate) rollout_commands: Option<Box<RolloutCommands>>,
    /// Progress of the shutdown.
    pub(crate) shutdown: ShutdownState,
    /// File named by `--with`, read again at a reload.
    pub(super) extension_path: Option<PathBuf>,
    /// File of the platform's configuration, read again at a reload.
    pub(super) config_path: PathBuf,
    /// Longest wait for the response to a vote, for a rollout platform that a reload adds.
    pub(super) vote_timeout: TimeDelta,
    /// Interval of checks for idle connections and broken streams: the connect timeout, capped so that idle connections are
    /// closed in time.
    pub(crate) maintenance_interval: TimeDelta,
}
