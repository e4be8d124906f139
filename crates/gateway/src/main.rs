//! `harrierdock`: the decision module as a gateway on sockets. `gateway` holds its parts and its loop; `driver`
//! alone speaks with the module.

mod clients;
mod command_line;
mod counters;
mod discovery;
mod driver;
mod due;
mod gateway;
mod peers;
mod platform;
mod request;
mod room;
mod servers;
mod told;

use std::io::{self, Write};
use std::process::ExitCode;

use harrierdock_net::logging;

use command_line::{command_line, Command};
use told::Told;

fn say(mut to: impl Write, line: &str) -> Result<(), String> {
    writeln!(to, "{line}").map_err(|e| format!("cannot write: {e}"))
}

fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Serve { log, form, config } => {
            logging::start(log, form);
            gateway::serve(&Told::read(config)?)
        }
        Command::Check { config } => {
            let told = Told::read(config)?;
            say(io::stdout(), &told.summary()?)
        }
        Command::Version => say(io::stdout(), concat!("harrierdock ", env!("CARGO_PKG_VERSION"))),
    }
}

fn main() -> ExitCode {
    match run(command_line().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            // With nobody left to read it, the exit code still tells.
            let _ = say(io::stderr(), &format!("harrierdock: {}", e.replace('\n', " ")));
            ExitCode::from(2)
        }
    }
}
