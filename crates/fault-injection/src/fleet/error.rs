//! Why a run of a fleet is not possible.

use std::io;

use thiserror::Error;

use crate::gateway_process::GatewayProcessError;
use crate::run_folder::RunFolderError;
use crate::simulation::SimulationError;

/// Why a run of a fleet is not possible.
#[derive(Debug, Error)]
pub enum FleetError {
    /// There is no folder for its files.
    #[error(transparent)]
    Folder(#[from] RunFolderError),
    /// A gateway does not start.
    #[error(transparent)]
    Gateway(#[from] GatewayProcessError),
    /// A gateway that was asked to shut down still runs.
    #[error("a gateway told to end did not: look at its log")]
    StillRunning,
    /// An endpoint can't be started.
    #[error(transparent)]
    Simulation(#[from] SimulationError),
    /// A socket of the relay is not to be had.
    #[error(transparent)]
    Relay(#[from] io::Error),
    /// The event loop fails.
    #[error(transparent)]
    EventLoop(#[from] calloop::Error),
}
