//! Errors of a run on two sites.

use thiserror::Error;

use crate::gateway_keys::KeyError;
use crate::gateway_process::GatewayProcessError;
use crate::run_folder::RunFolderError;
use crate::simulation::SimulationError;

/// Why a run on two sites failed.
#[derive(Debug, Error)]
pub enum SitesError {
    /// The run's folder can't be created.
    #[error(transparent)]
    Folder(#[from] RunFolderError),
    /// The gateways' keys can't be issued.
    #[error(transparent)]
    Keys(#[from] KeyError),
    /// A gateway can't be started or shut down.
    #[error(transparent)]
    Gateway(#[from] GatewayProcessError),
    /// An endpoint or relay can't be started.
    #[error(transparent)]
    Simulation(#[from] SimulationError),
    /// The event loop failed.
    #[error(transparent)]
    EventLoop(#[from] calloop::Error),
}
