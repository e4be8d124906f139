//! The command line.

use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;
use harrierdock_event_loop::logging::{Format, Level};

/// The gateway that routes requests and votes on staged releases.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, generate(command_line))]
pub enum Command {
    /// Serves requests until it is told to end (SIGTERM, SIGINT).
    #[bpaf(command)]
    Serve {
        /// The least that is logged: error, warn, info, debug or trace; or off
        #[bpaf(long("log"), argument("LEVEL"), fallback(Level::INFO))]
        log: Level,
        /// How log lines are written: plain, or json (one object a line)
        #[bpaf(long("log-form"), argument("FORM"), fallback(Format::Plain))]
        form: Format,
        /// The configuration, instead of the file that LB_CONFIG names
        #[bpaf(long("config"), argument("FILE"))]
        config: Option<PathBuf>,
        /// What this installation has beyond the configuration: a JSON file of the form that `schema` prints
        #[bpaf(long("with"), argument("FILE"))]
        with: Option<PathBuf>,
    },
    /// Reads a configuration and says what it holds, or in one line what is wrong with it.
    #[bpaf(command)]
    Check {
        /// The configuration, instead of the file that LB_CONFIG names
        #[bpaf(long("config"), argument("FILE"))]
        config: Option<PathBuf>,
        /// The file beside it that `serve --with` would read
        #[bpaf(long("with"), argument("FILE"))]
        with: Option<PathBuf>,
    },
    /// Prints the JSON schema of the file that `--with` names.
    #[bpaf(command)]
    Schema,
    /// Makes and shows the keys of links between sites.
    #[bpaf(command)]
    Keys(#[bpaf(external(keys))] Keys),
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
        word: Word,
    },
    /// Prints the version.
    #[bpaf(command)]
    Version,
}

/// What `keys` does.
#[derive(Bpaf, Clone, Debug)]
pub enum Keys {
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

/// What can be said by hand.
#[derive(Clone, Copy, Debug)]
pub enum Word {
    Drain,
    Resume,
    Status,
}

impl Word {
    pub fn as_str(self) -> &'static str {
        match self {
            Word::Drain => "drain",
            Word::Resume => "resume",
            Word::Status => "status",
        }
    }
}

impl FromStr for Word {
    type Err = String;
    fn from_str(text: &str) -> Result<Word, String> {
        let known = [Word::Drain, Word::Resume, Word::Status];
        let found = known.into_iter().find(|w| w.as_str() == text);
        found.ok_or_else(|| format!("'{text}' is none of drain, resume, status"))
    }
}
