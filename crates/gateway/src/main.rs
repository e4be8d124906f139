//! `harrierdock`: the decision module as a gateway on sockets. `gateway` holds its parts and its loop; `driver`
//! alone speaks with the module.

mod clients;
mod clock;
mod command_line;
mod connection;
mod counters;
mod discovery;
mod driver;
mod dues;
mod feed;
mod gateway;
mod logger;
mod peers;
mod platform;
mod pool;
mod room;
mod servers;
mod told;

use std::process::ExitCode;

use command_line::{command_line, Command};
use told::Told;

fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Serve { log, config } => {
            logger::start(log);
            gateway::serve(&Told::read(config)?)
        }
        Command::Check { config } => {
            let told = Told::read(config)?;
            println!("{}", told.summary()?);
            Ok(())
        }
        Command::Version => {
            println!("harrierdock {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    match run(command_line().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("harrierdock: {}", e.replace('\n', " "));
            ExitCode::from(2)
        }
    }
}
