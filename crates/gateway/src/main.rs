//! `harrierdock`: the decision module as a gateway on sockets. `gateway` holds its parts and its loop; `driver`
//! alone speaks with the module.

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
mod upstream;

use std::io::{self, Write};
use std::process::ExitCode;

use harrierdock_event_loop::logging;
use harrierdock_flow_export::report::FlowReport;

use cli::arguments::{command_line, Command, Keys};
use config::gateway::Told;

fn say(mut to: impl Write, line: &str) -> Result<(), String> {
    writeln!(to, "{line}").map_err(|e| format!("cannot write: {e}"))
}

fn run(command: Command) -> Result<(), String> {
    let print = |text: String| say(io::stdout(), &text);
    match command {
        Command::Serve {
            log,
            form,
            config,
            with,
        } => {
            logging::start(log, form);
            runtime::event_loop::serve(&Told::read(config)?, with)
        }
        Command::Check { config, with } => {
            let told = Told::read(config)?;
            print(told.checked(with.as_deref())?)
        }
        Command::Schema => print(config::extensions::schema()),
        Command::Keys(Keys::Authority { name, days, folder }) => {
            print(cli::keys::make_authority(&folder, &name, days)?)
        }
        Command::Keys(Keys::Issue {
            days,
            folder,
            gateways,
        }) => print(cli::keys::issue_all(&folder, &gateways, days)?),
        Command::Keys(Keys::Show { file }) => print(cli::keys::show_file(&file)?),
        Command::Flows { chart, files } => {
            let report = FlowReport::read(&files).map_err(|e| e.to_string())?;
            report
                .notes()
                .iter()
                .try_for_each(|note| say(io::stderr(), note))?;
            print(report.table())?;
            chart.map_or(Ok(()), |path| {
                report.draw_charts(&path).map_err(|e| e.to_string())
            })
        }
        Command::Site { word, control } => print(multi_site::control_socket::send_command(
            &control,
            word.as_str(),
        )?),
        Command::Version => print(concat!("harrierdock ", env!("CARGO_PKG_VERSION")).into()),
    }
}

fn main() -> ExitCode {
    match run(command_line().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            // With nobody left to read it, the exit code still tells.
            let _ = say(
                io::stderr(),
                &format!("harrierdock: {}", e.replace('\n', " ")),
            );
            ExitCode::from(2)
        }
    }
}
