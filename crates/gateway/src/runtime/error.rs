//! Errors that prevent a gateway from starting.

use std::io;
use std::net::SocketAddr;

use harrierdock_flow_export::FlowExportError;
use thiserror::Error;

use crate::config::error::ConfigError;
use crate::config::lease::LeaseConfigError;
use crate::multi_site::control_socket::ControlSocketError;
use crate::multi_site::forwarding::ForwardingError;

/// The gateway cannot start. Each message is a single line for operators.
#[derive(Debug, Error)]
pub(crate) enum StartError {
    /// The configuration or the extension file is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The lease settings are invalid.
    #[error(transparent)]
    Leases(#[from] LeaseConfigError),
    /// The event loop cannot be created.
    #[error("cannot create the event loop: {0}")]
    EventLoop(#[source] calloop::Error),
    /// The listener's local address cannot be read.
    #[error("cannot read the listener's address: {0}")]
    Address(#[source] io::Error),
    /// The listener for clients cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A source of events cannot be added to the event loop.
    #[error("{0}")]
    Watch(WatchError),
    /// The gossip socket cannot be opened.
    #[error("cannot open the gossip socket: {0}")]
    Gossip(#[source] io::Error),
    /// The transport to the other site cannot be opened.
    #[error(transparent)]
    Forwarding(#[from] ForwardingError),
    /// The control socket cannot be opened.
    #[error(transparent)]
    ControlSocket(#[from] ControlSocketError),
    /// Signals cannot be blocked.
    #[error("cannot block signals: {0}")]
    Signals(#[source] calloop::Error),
    /// The signal source cannot be added to the event loop.
    #[error("cannot watch signals: {0}")]
    WatchSignals(WatchError),
    /// The flow exporter cannot be opened.
    #[error(transparent)]
    Exporter(#[from] FlowExportError),
}

/// A source of events cannot be added to the event loop.
#[derive(Debug, Error)]
#[error("error inserting event source: {0}")]
pub(crate) struct WatchError(#[source] pub calloop::Error);
