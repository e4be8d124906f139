//! Why a run on two sites is not possible.

use thiserror::Error;

use crate::gateway_keys::KeyError;
use crate::gateway_process::GatewayProcessError;
use crate::run_folder::RunFolderError;
use crate::simulation::SimulationError;

/// Why a run on two sites is not possible.
#[derive(Debug, Error)]
pub enum SitesError {
    /// There is no folder for its files.
    #[error(transparent)]
    Folder(#[from] RunFolderError),
    /// The gateways' keys can't be issued.
    #[error(transparent)]
    Keys(#[from] KeyError),
    /// A gateway does not start or end.
    #[error(transparent)]
    Gateway(#[from] GatewayProcessError),
    /// An endpoint or relay can't be started.
    #[error(transparent)]
    Simulation(#[from] SimulationError),
    /// The event loop fails.
    #[error(transparent)]
    EventLoop(#[from] calloop::Error),
}
