//! The command line.

use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;
use harrierdock_event_loop::logging::{Format, Level};
use thiserror::Error;

/// The gateway that routes requests and votes on staged releases.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, generate(command_line))]
pub(crate) enum Command {
    /// Serves requests until it is told to end (SIGTERM, SIGINT).
    #[bpaf(command)]
    Serve {
        /// The least that is logged: error, warn, info, debug or trace; or off
        #[bpaf(long("log"), argument("LEVEL"), fallback(Level::INFO))]
        log: Level,
        /// How log lines are written: plain, or json (one object a line)
        #[bpaf(long("log-form"), argument("FORM"), fallback(Format::Plain))]
        format: Format,
        /// The configuration, instead of the file that LB_CONFIG names
        #[bpaf(long("config"), argument("FILE"))]
        config: Option<PathBuf>,
        /// What this installation has beyond the configuration: a JSON file of the form that `schema` prints
        #[bpaf(long("with"), argument("FILE"))]
        extension: Option<PathBuf>,
    },
    /// Reads a configuration and says what it holds, or in one line what is wrong with it.
    #[bpaf(command)]
    Check {
        /// The configuration, instead of the file that LB_CONFIG names
        #[bpaf(long("config"), argument("FILE"))]
        config: Option<PathBuf>,
        /// The file beside it that `serve --with` would read
        #[bpaf(long("with"), argument("FILE"))]
        extension: Option<PathBuf>,
    },
    /// Prints the JSON schema of the file that `--with` names.
    #[bpaf(command)]
    Schema,
    /// Makes and shows the keys of links between sites.
    #[bpaf(command)]
    Keys(#[bpaf(external(keys_command))] KeysCommand),
    /// Prints files of exported flows by release, stage and request class, and draws them.
    #[bpaf(command)]
    Flows {
        /// Where a chart is drawn, as SVG
        #[bpaf(long("chart"), argument("FILE"))]
        chart: Option<PathBuf>,
        /// IPFIX files, the oldest first, or a collector's tables (.parquet)
        #[bpaf(positional("FILE"), some("no file is named"))]
        files: Vec<PathBuf>,
    },
    /// Says a word to a running gateway: drain, resume or status. It answers in one line of JSON.
    #[bpaf(command)]
    Site {
        /// The gateway's control socket, as `sites.control` names it
        #[bpaf(long("control"), argument("SOCKET"))]
        control: PathBuf,
        /// drain: hand this site's requests over and take none; resume: end that; status: how things stand
        #[bpaf(positional("WORD"))]
        command: SiteCommand,
    },
    /// Prints the version.
    #[bpaf(command)]
    Version,
}

/// What `keys` does.
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum KeysCommand {
    /// Makes an authority that both sites believe: FOLDER/authority.pem and FOLDER/authority.key.
    #[bpaf(command)]
    Authority {
        /// Its name
        #[bpaf(long("name"), argument("NAME"), fallback("harrierdock authority".into()))]
        name: String,
        /// How long it counts
        #[bpaf(long("days"), argument("DAYS"), fallback(3650))]
        days: u32,
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Issues certificates by the folder's authority: FOLDER/SITE-GATEWAY.pem and .key for each gateway.
    #[bpaf(command)]
    Issue {
        /// How long they count
        #[bpaf(long("days"), argument("DAYS"), fallback(90))]
        days: u32,
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
        /// Whom they are for
        #[bpaf(positional("SITE/GATEWAY"), some("no gateway is named"))]
        gateways: Vec<String>,
    },
    /// Says what the certificates in a PEM file hold.
    #[bpaf(command)]
    Show {
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// What an operator may have a gateway do.
#[derive(Clone, Copy, Debug)]
pub(crate) enum SiteCommand {
    /// Forward this site's requests and accept none.
    Drain,
    /// End that.
    Resume,
    /// Report how things stand.
    Status,
}

/// A command has another name.
#[derive(Debug, Error)]
#[error("'{name}' is none of drain, resume, status")]
pub(crate) struct UnknownSiteCommand {
    name: String,
}

impl SiteCommand {
    /// Its name, on the command line and on the control socket.
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
