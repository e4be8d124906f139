//! `harrierdock`: the decision module as a gateway on sockets. `gateway` holds its parts and its loop; `driver`
//! alone speaks with the module.

mod across;
mod attempts;
mod book;
mod clients;
mod command_line;
mod control;
mod counters;
mod discovery;
mod driver;
mod due;
mod duties;
mod export;
mod fleet;
mod fleet_told;
mod flow_file;
mod flow_report;
mod gateway;
mod keys;
mod peers;
mod platform;
mod request;
mod room;
mod servers;
mod steward;
mod told;
mod with;

use std::io::{self, Write};
use std::process::ExitCode;

use harrierdock_net::logging;

use command_line::{command_line, Command, Keys};
use told::Told;

fn say(mut to: impl Write, line: &str) -> Result<(), String> {
    writeln!(to, "{line}").map_err(|e| format!("cannot write: {e}"))
}

fn run(command: Command) -> Result<(), String> {
    let print = |text: String| say(io::stdout(), &text);
    match command {
        Command::Serve { log, form, config, with } => {
            logging::start(log, form);
            gateway::serve(&Told::read(config)?, with)
        }
        Command::Check { config, with } => {
            let told = Told::read(config)?;
            print(told.checked(with.as_deref())?)
        }
        Command::Schema => print(with::schema()),
        Command::Keys(Keys::Authority { name, days, folder }) => {
            print(keys::make_authority(&folder, &name, days)?)
        }
        Command::Keys(Keys::Issue { days, folder, gateways }) => {
            print(keys::issue_all(&folder, &gateways, days)?)
        }
        Command::Keys(Keys::Show { file }) => print(keys::show_file(&file)?),
        Command::Flows { chart, files } => {
            let read = flow_report::Read::files(&files)?;
            read.notes.iter().try_for_each(|note| say(io::stderr(), note))?;
            print(read.table())?;
            chart.map_or(Ok(()), |path| read.chart(&path))
        }
        Command::Site { word, control } => print(control::say(&control, word.as_str())?),
        Command::Version => print(concat!("harrierdock ", env!("CARGO_PKG_VERSION")).into()),
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
