//! Runs the policies of many gateways for a simulator. Each input line is a batch of events in JSON; each output line holds the
//! resulting commands. Only `inputs`, `commands` and `host` use the simulator's names.

#![warn(missing_docs, unreachable_pub)]

mod commands;
mod error;
mod host;
mod inputs;
mod row;

use std::io::{BufRead, Write};

pub use error::{BatchError, EventError, ServeError};

use host::Host;

/// Replies to every batch until the input ends. Empty lines are ignored.
///
/// # Errors
///
/// Fails on the first line that cannot be read, is malformed, or whose reply cannot be written.
pub fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), ServeError> {
    let mut host = Host::default();
    for (index, line) in input.lines().enumerate() {
        let number = index + 1;
        let line = line.map_err(|source| ServeError::Read {
            line: number,
            source,
        })?;
        if line.trim().is_empty() {
            continue;
        }
        let reply = host
            .handle_batch(&line)
            .map_err(|source| ServeError::Batch {
                line: number,
                source,
            })?;
        writeln!(output, "{reply}")
            .and_then(|()| output.flush())
            .map_err(|source| ServeError::Write {
                line: number,
                source,
            })?;
    }
    Ok(())
}
