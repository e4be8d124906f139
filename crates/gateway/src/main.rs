//! `harrierdock`: a gateway that routes requests to endpoints and votes on the rollout of new builds. `runtime` holds the
//! parts of the gateway and its event loop; only `dispatch` calls the policy.

#![warn(missing_docs, unreachable_pub)]

mod cli;
mod config;
mod control_plane;
mod dispatch;
mod downstream;
mod gossip;
mod lease;
mod metrics;
mod multi_site;
mod rollout;
mod runtime;
#[cfg(test)]
#[path = "../tests/unit/mod.rs"]
mod unit;
mod upstream;

use std::error::Error;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use harrierdock_event_loop::logging;
use harrierdock_flow_export::report::FlowReport;

use cli::arguments::{command_line, Command, KeysCommand};
use config::gateway::GatewayConfig;

/// Exit code of a failed command. Invalid arguments exit with 1, which bpaf chooses.
const FAILURE: u8 = 2;

fn print(text: &str) -> Result<(), Box<dyn Error>> {
    write_line(io::stdout(), text)
}

fn write_line(mut stream: impl Write, line: &str) -> Result<(), Box<dyn Error>> {
    writeln!(stream, "{line}").map_err(|e| format!("cannot write: {e}").into())
}

fn run(command: Command) -> Result<(), Box<dyn Error>> {
    match command {
        Command::Serve {
            log,
            format,
            config,
            extension,
        } => {
            logging::start(log, format);
            Ok(runtime::event_loop::serve(config, extension)?)
        }
        Command::Check { config, extension } => {
            let config = GatewayConfig::read(config)?;
            print(&config.describe(extension.as_deref())?)
        }
        Command::Schema => print(&config::extension::schema()),
        Command::Keys(command) => run_keys(command),
        Command::Flows { chart, files } => report_flows(chart.as_deref(), &files),
        Command::Site { command, control } => print(&multi_site::control_socket::send_command(
            &control,
            command.as_str(),
        )?),
        Command::Version => print(concat!("harrierdock ", env!("CARGO_PKG_VERSION"))),
    }
}

fn run_keys(command: KeysCommand) -> Result<(), Box<dyn Error>> {
    match command {
        KeysCommand::Authority { name, days, folder } => {
            print(&cli::keys::create_authority_files(&folder, &name, days)?)
        }
        KeysCommand::Issue {
            days,
            folder,
            gateways,
        } => print(&cli::keys::issue_gateway_certificates(
            &folder, &gateways, days,
        )?),
        KeysCommand::Show { file } => print(&cli::keys::describe_file(&file)?),
    }
}

fn report_flows(chart: Option<&Path>, files: &[PathBuf]) -> Result<(), Box<dyn Error>> {
    let report = FlowReport::read(files)?;
    for note in report.notes() {
        write_line(io::stderr(), note)?;
    }
    print(&report.table())?;
    match chart {
        Some(path) => Ok(report.draw_charts(path)?),
        None => Ok(()),
    }
}

fn main() -> ExitCode {
    match run(command_line().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            let message = e.to_string().replace('\n', " ");
            // If standard error is closed, the exit code still reports the failure.
            let _ = write_line(io::stderr(), &format!("harrierdock: {message}"));
            ExitCode::from(FAILURE)
        }
    }
}
