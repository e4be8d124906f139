//! `harrierdock-rehearse`: plays bad days against the built gateway, or its deciding parts alone, and ends with
//! one JSON line on standard output. Exit code 0 if every property in it holds, 1 if one does not, 2 for bad
//! usage.

use std::process::ExitCode;

use bpaf::Bpaf;
use harrierdock_rehearse::core;
use indicatif::{ProgressBar, ProgressDrawTarget};
use serde::Serialize;

/// Rehearses bad days on loopback.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, generate(command_line))]
enum Command {
    /// Two sites without sockets, in simulated time: letters lost, cuts, kills, drains, by the seed.
    #[bpaf(command)]
    Core {
        /// The first seed
        #[bpaf(long("seed"), argument("N"), fallback(1))]
        seed: u64,
        /// How many seeds are played
        #[bpaf(long("seeds"), argument("N"), fallback(100))]
        seeds: u64,
        /// Gateways a site
        #[bpaf(long("gateways"), argument("N"), fallback(3))]
        gateways: usize,
    },
}

fn end(found: &impl Serialize, ok: bool) -> Result<bool, String> {
    println!("{}", serde_json::to_string(found).map_err(|e| e.to_string())?);
    Ok(ok)
}

fn bar(length: u64) -> ProgressBar {
    ProgressBar::with_draw_target(Some(length), ProgressDrawTarget::stderr())
}

fn run(command: Command) -> Result<bool, String> {
    match command {
        Command::Core { seed, seeds, gateways } => {
            let bar = bar(seeds);
            let found = core::play(seed, seeds, gateways.max(1), |_| bar.inc(1));
            end(&found, found.ok)
        }
    }
}

fn main() -> ExitCode {
    match run(command_line().run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("harrierdock-rehearse: {}", e.replace('\n', " "));
            ExitCode::from(2)
        }
    }
}
