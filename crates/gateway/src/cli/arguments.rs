//! Command line arguments. The doc comments are the help texts. Existing scripts fix the option names, so some differ from
//! the Rust names.

use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;
use harrierdock_event_loop::logging::{Format, Level};
use thiserror::Error;

/// Gateway that routes requests to endpoints and votes on staged rollouts of new builds.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, generate(command_line))]
pub(crate) enum Command {
    /// Serves requests until SIGTERM or SIGINT. SIGHUP reloads the configuration.
    #[bpaf(command)]
    Serve {
        /// Lowest level to log: error, warn, info, debug, trace or off
        #[bpaf(long("log"), argument("LEVEL"), fallback(Level::INFO))]
        log: Level,
        /// Format of log lines: plain, or json (one object per line)
        #[bpaf(long("log-form"), argument("FORM"), fallback(Format::Plain))]
        format: Format,
        /// Configuration file; overrides LB_CONFIG
        #[bpaf(long("config"), argument("FILE"))]
        config: Option<PathBuf>,
        /// Extension file: JSON as described by the output of `schema`
        #[bpaf(long("with"), argument("FILE"))]
        extension: Option<PathBuf>,
    },
    /// Checks a configuration and prints a summary of it, or an error in one line.
    #[bpaf(command)]
    Check {
        /// Configuration file; overrides LB_CONFIG
        #[bpaf(long("config"), argument("FILE"))]
        config: Option<PathBuf>,
        /// Extension file, as for `serve --with`
        #[bpaf(long("with"), argument("FILE"))]
        extension: Option<PathBuf>,
    },
    /// Prints the JSON schema of the extension file (`--with`).
    #[bpaf(command)]
    Schema,
    /// Creates and shows keys and certificates for connections between sites.
    #[bpaf(command)]
    Keys(#[bpaf(external(keys_command))] KeysCommand),
    /// Summarizes exported flows by build, rollout stage and request class.
    #[bpaf(command)]
    Flows {
        /// Also draws the flows as an SVG chart in this file
        #[bpaf(long("chart"), argument("FILE"))]
        chart: Option<PathBuf>,
        /// IPFIX files, oldest first, or tables of a collector (.parquet)
        #[bpaf(positional("FILE"), some("at least one FILE is required"))]
        files: Vec<PathBuf>,
    },
    /// Sends a command to a running gateway and prints its response, one line of JSON.
    #[bpaf(command)]
    Site {
        /// Control socket of the gateway, as set in `sites.control`
        #[bpaf(long("control"), argument("SOCKET"))]
        control: PathBuf,
        /// drain: forward all requests and accept none; resume: end the drain; status: show the state
        #[bpaf(positional("WORD"))]
        command: SiteCommand,
    },
    /// Prints the version of this program.
    #[bpaf(command)]
    Version,
}

/// Subcommands of `keys`.
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum KeysCommand {
    /// Creates a certificate authority for both sites: FOLDER/authority.pem and FOLDER/authority.key.
    #[bpaf(command)]
    Authority {
        /// Name of the authority
        #[bpaf(long("name"), argument("NAME"), fallback("harrierdock authority".into()))]
        name: String,
        /// Validity of the certificate in days
        #[bpaf(long("days"), argument("DAYS"), fallback(3650))]
        days: u32,
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Issues a certificate for each gateway, signed by the authority in FOLDER: FOLDER/SITE-GATEWAY.pem and .key.
    #[bpaf(command)]
    Issue {
        /// Validity of the certificates in days
        #[bpaf(long("days"), argument("DAYS"), fallback(90))]
        days: u32,
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
        /// Gateways to issue certificates for
        #[bpaf(
            positional("SITE/GATEWAY"),
            some("at least one SITE/GATEWAY is required")
        )]
        gateways: Vec<String>,
    },
    /// Prints the contents of the certificates in a PEM file.
    #[bpaf(command)]
    Show {
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// A command that an operator sends to the control socket.
#[derive(Clone, Copy, Debug)]
pub(crate) enum SiteCommand {
    /// Forward the requests of this site, and accept none from the other site.
    Drain,
    /// End the manual drain.
    Resume,
    /// Report the state of forwarding between the sites.
    Status,
}

/// The name does not belong to a site command.
#[derive(Debug, Error)]
#[error("'{name}' is not one of drain, resume, status")]
pub(crate) struct UnknownSiteCommand {
    name: String,
}

impl SiteCommand {
    /// Returns the name used on the command line and on the control socket.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            SiteCommand::Drain => "drain",
            SiteCommand::Resume => "resume",
            SiteCommand::Status => "status",
        }
    }
}

impl FromStr for SiteCommand {
    type Err = UnknownSiteCommand;

    fn from_str(name: &str) -> Result<SiteCommand, UnknownSiteCommand> {
        let commands = [SiteCommand::Drain, SiteCommand::Resume, SiteCommand::Status];
        commands
            .into_iter()
            .find(|command| command.as_str() == name)
            .ok_or_else(|| UnknownSiteCommand { name: name.into() })
    }
}
