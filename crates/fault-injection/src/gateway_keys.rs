//! Keys of the sites' gateways and of collectors, issued by the gateway program itself.

use std::ffi::OsStr;
use std::io;
use std::path::Path;
use std::process::Command;

use thiserror::Error;

/// Why keys can't be issued.
#[derive(Debug, Error)]
pub enum KeyError {
    /// The program can't be run.
    #[error("{0}")]
    Run(#[from] io::Error),
    /// The program refused.
    #[error("{message}")]
    Refused {
        /// What it wrote to its standard error.
        message: String,
    },
}

/// Makes an authority in this folder and issues a key to each of these names, written as `SITE/NAME`.
///
/// # Errors
///
/// The program can't be run, or refuses.
pub fn issue_keys(program: &Path, folder: &Path, names: &[String]) -> Result<(), KeyError> {
    let keys = |action: &str| {
        let mut command = Command::new(program);
        command.arg("keys").arg(action).arg(folder);
        command
    };
    run(&mut keys("authority"))?;
    run(keys("issue").args(names.iter().map(OsStr::new)))
}

fn run(command: &mut Command) -> Result<(), KeyError> {
    let output = command.output()?;
    if output.status.success() {
        return Ok(());
    }
    let message = String::from_utf8_lossy(&output.stderr).trim().to_string();
    Err(KeyError::Refused { message })
}
