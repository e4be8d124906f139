//! The gateway: its parts, each of which owns its state, and what it keeps for reloading.

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

/// One gateway.
pub(crate) struct Gateway {
    /// What the parts share.
    pub(crate) context: Context,
    /// The policy and the requests under way.
    pub(crate) dispatcher: Dispatcher,
    /// The clients' side.
    pub(crate) downstream: Downstream,
    /// The endpoints' side.
    pub(crate) upstream: Upstream,
    /// The endpoint list's source.
    pub(crate) discovery: Discovery,
    /// The rollout platform, if one is configured.
    pub(crate) rollout_platform: Option<RolloutPlatform>,
    /// The socket to the peers, if any are configured.
    pub(crate) gossip: Option<GossipSocket>,
    /// Forwarding to the other site, if one is configured.
    pub(crate) forwarding: Option<Forwarding>,
    /// The operators' control socket, if one is configured.
    pub(crate) control_socket: Option<ControlSocket>,
    /// The flow exporter, if collectors are configured.
    pub(crate) exporter: Option<Box<FlowExporter>>,
    /// This gateway's part in the leases, if any are configured.
    pub(crate) leases: Option<Box<LeaseParticipant>>,
    /// The commands to the deployment controller, if one is configured.
    pub(crate) rollout_commands: Option<Box<RolloutCommands>>,
    /// How far the shutdown has come.
    pub(crate) shutdown: ShutdownState,
    pub(super) extension_path: Option<PathBuf>,
    pub(super) config_path: PathBuf,
    pub(super) vote_timeout: TimeDelta,
    /// How often idle connections and streams are checked: as long as a connection may take to come up, and often enough to
    /// close the silent ones in time.
    pub(crate) maintenance_interval: TimeDelta,
}
