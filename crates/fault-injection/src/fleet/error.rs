//! Errors of a run of a fleet.

use std::io;

use thiserror::Error;

use crate::gateway_process::GatewayProcessError;
use crate::run_folder::RunFolderError;
use crate::simulation::SimulationError;

/// Why a run of a fleet failed.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The run's folder can't be created.
    #[error(transparent)]
    Folder(#[from] RunFolderError),
    /// A gateway can't be started.
    #[error(transparent)]
    Gateway(#[from] GatewayProcessError),
    /// A gateway still runs long after SIGTERM.
    #[error("a gateway did not shut down in time; see its log")]
    StillRunning,
    /// An endpoint can't be started.
    #[error(transparent)]
    Simulation(#[from] SimulationError),
    /// A socket of the relay can't be opened.
    #[error(transparent)]
    Relay(#[from] io::Error),
    /// The event loop failed.
    #[error(transparent)]
    EventLoop(#[from] calloop::Error),
}
