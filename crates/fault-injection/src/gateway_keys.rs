//! Issues keys for the sites' gateways and for collectors with the gateway program.

use std::ffi::OsStr;
use std::io;
use std::path::Path;
use std::process::Command;

use thiserror::Error;

/// Why keys can't be issued.
#[derive(Debug, Error)]
pub enum KeyError {
    /// The gateway program can't be run.
    #[error("can't run the gateway program: {0}")]
    Run(#[from] io::Error),
    /// The gateway program exited with a failure.
    #[error("{message}")]
    Refused {
        /// What the program wrote to standard error.
        message: String,
    },
}

/// Creates a certificate authority in this folder and issues a key for each of these names, written as `SITE/NAME`.
///
/// # Errors
///
/// The gateway program can't be run, or exits with a failure.
pub fn issue_keys(program: &Path, folder: &Path, names: &[String]) -> Result<(), KeyError> {
    let keys_command = |action: &str| {
        let mut command = Command::new(program);
        command.arg("keys").arg(action).arg(folder);
        command
    };
    run(&mut keys_command("authority"))?;
    run(keys_command("issue").args(names.iter().map(OsStr::new)))
}

fn run(command: &mut Command) -> Result<(), KeyError> {
    let output = command.output()?;
    if output.status.success() {
        return Ok(());
    }
    let message = String::from_utf8_lossy(&output.stderr).trim().to_string();
    Err(KeyError::Refused { message })
}
