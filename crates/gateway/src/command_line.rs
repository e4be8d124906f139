//! The command line.

use std::path::PathBuf;

use bpaf::Bpaf;
use harrierdock_net::logging::{Form, Level};

/// The gateway that routes txns and votes on staged releases.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, generate(command_line))]
pub enum Command {
    /// Serves txns until it is told to end (SIGTERM, SIGINT).
    #[bpaf(command)]
    Serve {
        /// The least that is logged: error, warn, info, debug or trace; or off
        #[bpaf(long("log"), argument("LEVEL"), fallback(Level::INFO))]
        log: Level,
        /// How log lines are written: plain, or json (one object a line)
        #[bpaf(long("log-form"), argument("FORM"), fallback(Form::Plain))]
        form: Form,
        /// The configuration, instead of the file that LB_CONFIG names
        #[bpaf(long("config"), argument("FILE"))]
        config: Option<PathBuf>,
    },
    /// Reads a configuration and says what it holds, or in one line what is wrong with it.
    #[bpaf(command)]
    Check {
        /// The configuration, instead of the file that LB_CONFIG names
        #[bpaf(long("config"), argument("FILE"))]
        config: Option<PathBuf>,
    },
    /// Prints the version.
    #[bpaf(command)]
    Version,
}
