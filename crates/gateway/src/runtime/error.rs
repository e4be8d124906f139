//! Why a gateway cannot start.

use std::io;
use std::net::SocketAddr;

use harrierdock_flow_export::FlowExportError;
use thiserror::Error;

use crate::config::error::ConfigError;
use crate::config::lease::LeaseConfigError;
use crate::multi_site::control_socket::ControlSocketError;
use crate::multi_site::forwarding::ForwardingError;

/// Why a gateway cannot start. The message is one line for operators.
#[derive(Debug, Error)]
pub(crate) enum StartError {
    /// The configuration is refused.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The lease settings are refused.
    #[error(transparent)]
    Leases(#[from] LeaseConfigError),
    /// The event loop cannot be made.
    #[error("no event loop: {0}")]
    EventLoop(#[source] calloop::Error),
    /// The listener's address is unknown.
    #[error("no address: {0}")]
    Address(#[source] io::Error),
    /// Clients cannot be listened for.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Where.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The loop cannot watch a source of events.
    #[error("{0}")]
    Watch(WatchError),
    /// The gossip socket cannot be opened.
    #[error("cannot hear peers: {0}")]
    Gossip(#[source] io::Error),
    /// The transport to the other site cannot be opened.
    #[error(transparent)]
    Forwarding(#[from] ForwardingError),
    /// The control socket cannot be opened.
    #[error(transparent)]
    ControlSocket(#[from] ControlSocketError),
    /// Signals cannot be blocked.
    #[error("no signals: {0}")]
    Signals(#[source] calloop::Error),
    /// Signals cannot be watched.
    #[error("no signals: {0}")]
    WatchSignals(WatchError),
    /// The flow exporter cannot be opened.
    #[error(transparent)]
    Exporter(#[from] FlowExportError),
}

/// The loop cannot watch a source of events.
#[derive(Debug, Error)]
#[error("error inserting event source: {0}")]
pub(crate) struct WatchError(#[source] pub calloop::Error);
