//! A built gateway as a process: started on files of its own, observed by its log, killed when dropped.

use std::fs;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use thiserror::Error;

/// How long a gateway may take to start, and to end.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The environment variable that names the gateway's program.
const PROGRAM_VARIABLE: &str = "HARRIERDOCK";
/// The environment variable that names where the gateway listens.
const LISTEN_VARIABLE: &str = "LB_LISTEN";
/// Environment variables that would change a gateway's configuration.
const CONFIGURATION_VARIABLES: [&str; 4] =
    ["LB_NAME", LISTEN_VARIABLE, "LB_DISCOVERY", "LB_CONFIG"];
/// What the first line of a panic's report holds.
const PANIC_MARK: &str = "panicked";
const KIB_PER_MIB: f64 = 1024.0;
const NANOSECONDS_PER_MICROSECOND: f64 = 1000.0;

/// Why a gateway can't be started or ended.
#[derive(Debug, Error)]
pub enum GatewayProcessError {
    /// The path of this program is unknown.
    #[error("{0}")]
    OwnPath(#[source] io::Error),
    /// The gateway isn't built.
    #[error("{path} is not there: build it, or name it by HARRIERDOCK", path = path.display())]
    ProgramMissing {
        /// Where it was looked for.
        path: PathBuf,
    },
    /// A file of the gateway can't be written, or its program not run.
    #[error("{path}: {source}", path = path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// It ended, or said nothing of its listener for too long.
    #[error("{name} does not start: see {name}.json in {folder}", folder = folder.display())]
    NotStarted {
        /// The gateway.
        name: String,
        /// Where its files are.
        folder: PathBuf,
    },
    /// It can't be signalled or waited for.
    #[error("{0}")]
    Signal(#[source] io::Error),
    /// It was asked to end and failed.
    #[error("a gateway told to end did not: {status}")]
    Failed {
        /// How it ended.
        status: ExitStatus,
    },
}

/// What a process has used of the machine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    /// Resident memory in MiB.
    pub memory_mb: f64,
    /// Processor time since its start, in microseconds.
    pub processor_time_us: f64,
}

/// A gateway that runs, or has ended. Killed when dropped.
pub struct GatewayProcess {
    child: Child,
    log: Receiver<String>,
    name: String,
    folder: PathBuf,
    /// When it was about to be spawned.
    pub spawned_at: Instant,
    /// Where it takes clients' requests.
    pub listen_address: SocketAddr,
    /// Where it takes the other site's datagrams, if it serves two sites.
    pub site_address: Option<SocketAddr>,
    /// Where it takes gossip, if it has peers.
    pub gossip_address: Option<SocketAddr>,
    /// Logged lines that report a violated invariant or a panic.
    pub violations: Vec<String>,
    /// Whether the last line read began the report of a panic: its message stands in the next one.
    is_panic_message_next: bool,
    /// Logged lines on leases.
    pub lease_log: Vec<String>,
}

/// The gateway's program: beside this one, or where the environment variable `HARRIERDOCK` says.
///
/// # Errors
///
/// It is not built.
pub fn gateway_program() -> Result<PathBuf, GatewayProcessError> {
    if let Some(path) = std::env::var_os(PROGRAM_VARIABLE) {
        return Ok(path.into());
    }
    let own_path = std::env::current_exe().map_err(GatewayProcessError::OwnPath)?;
    let path = own_path.with_file_name("harrierdock");
    if path.exists() {
        return Ok(path);
    }
    Err(GatewayProcessError::ProgramMissing { path })
}

/// How a gateway is started.
#[derive(Clone, Copy, Debug)]
pub struct GatewayCommand<'a> {
    /// Its program.
    pub program: &'a Path,
    /// The folder for its files.
    pub folder: &'a Path,
    /// Its name, and that of its files.
    pub name: &'a str,
    /// Its configuration.
    pub configuration: &'a Value,
    /// Its extension configuration, if it has one.
    pub extensions: Option<&'a Value>,
    /// The address that its environment names, if it does.
    pub listen_variable: Option<SocketAddr>,
}

impl GatewayCommand<'_> {
    /// Writes the gateway's files and spawns it, with a call right before the spawn. It does not listen yet.
    ///
    /// # Errors
    ///
    /// A file can't be written, or the program can't be run.
    pub fn spawn(
        &self,
        on_spawn: impl FnOnce(Instant),
    ) -> Result<GatewayProcess, GatewayProcessError> {
        let path = write_json(
            self.folder,
            &format!("{}.json", self.name),
            self.configuration,
        )?;
        let mut command = Command::new(self.program);
        command.arg("serve").arg("--config").arg(path);
        command.args(["--log", "info"]);
        if let Some(extensions) = self.extensions {
            let path = write_json(
                self.folder,
                &format!("{}-sites.json", self.name),
                extensions,
            )?;
            command.arg("--with").arg(path);
        }
        for variable in CONFIGURATION_VARIABLES {
            command.env_remove(variable);
        }
        if let Some(address) = self.listen_variable {
            command.env(LISTEN_VARIABLE, address.to_string());
        }
        GatewayProcess::spawn(&mut command, self, on_spawn)
    }
}

impl GatewayProcess {
    /// Starts a gateway on its configuration and extension configuration, written to this folder, and waits until it
    /// listens.
    ///
    /// # Errors
    ///
    /// A file can't be written, the program can't be run, or it doesn't listen in time.
    pub fn start(
        program: &Path,
        folder: &Path,
        name: &str,
        configuration: &Value,
        extensions: Option<&Value>,
    ) -> Result<GatewayProcess, GatewayProcessError> {
        let command = GatewayCommand {
            program,
            folder,
            name,
            configuration,
            extensions,
            listen_variable: None,
        };
        let mut process = command.spawn(|_| ())?;
        process.wait_until_listening()?;
        Ok(process)
    }

    fn spawn(
        command: &mut Command,
        setup: &GatewayCommand<'_>,
        on_spawn: impl FnOnce(Instant),
    ) -> Result<Self, GatewayProcessError> {
        let spawned_at = Instant::now();
        on_spawn(spawned_at);
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|source| GatewayProcessError::File {
                path: setup.program.into(),
                source,
            })?;
        let (sender, log) = channel();
        if let Some(stderr) = child.stderr.take() {
            let mut lines = BufReader::new(stderr).lines().map_while(Result::ok);
            thread::spawn(move || lines.try_for_each(|line| sender.send(line)));
        }
        Ok(GatewayProcess {
            child,
            log,
            name: setup.name.into(),
            folder: setup.folder.into(),
            spawned_at,
            listen_address: SocketAddr::from(([127, 0, 0, 1], 0)),
            site_address: None,
            gossip_address: None,
            violations: Vec::new(),
            is_panic_message_next: false,
            lease_log: Vec::new(),
        })
    }

    /// Waits until it says that it listens for clients, and takes the addresses from its log.
    ///
    /// # Errors
    ///
    /// It ends, or doesn't say so in time.
    pub fn wait_until_listening(&mut self) -> Result<(), GatewayProcessError> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let Ok(line) = self.log.recv_timeout(remaining) else {
                return Err(GatewayProcessError::NotStarted {
                    name: self.name.clone(),
                    folder: self.folder.clone(),
                });
            };
            if let Some(address) = address_after(&line, " listens on ") {
                self.site_address = Some(address);
            }
            if let Some(address) = address_after(&line, " receives gossip on ") {
                self.gossip_address = Some(address);
            }
            if let Some(address) = address_after(&line, " serves on ") {
                self.listen_address = address;
                return Ok(());
            }
        }
    }

    /// Sorts the lines that were logged since the last call.
    pub fn read_log(&mut self) {
        for line in self.log.try_iter() {
            if std::mem::take(&mut self.is_panic_message_next) {
                self.violations.push(line);
            } else if line.contains(" invariant violated: ") || line.contains(PANIC_MARK) {
                self.is_panic_message_next = line.contains(PANIC_MARK);
                self.violations.push(line);
            } else if line.contains(" fleet: ") || line.contains(" fleet.") {
                self.lease_log.push(line);
            }
        }
    }

    /// The system's id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal, if it still runs.
    pub fn signal(&self, signal: Signal) {
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }

    /// How it ended; none while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Whether it runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Asks it to shut down, waits until it has, and returns what it logged of flow export meanwhile.
    ///
    /// # Errors
    ///
    /// It can't be signalled, or fails.
    pub fn shut_down(&mut self) -> Result<Vec<String>, GatewayProcessError> {
        kill_process(Pid::from_child(&self.child), Signal::TERM)
            .map_err(|error| GatewayProcessError::Signal(error.into()))?;
        let deadline = Instant::now() + START_TIMEOUT;
        let remaining = || deadline.saturating_duration_since(Instant::now());
        let mut lines = Vec::new();
        while let Ok(line) = self.log.recv_timeout(remaining()) {
            if let Some((_, report)) = line.split_once("flows: ") {
                lines.push(report.to_string());
            }
        }
        let status = self.child.wait().map_err(GatewayProcessError::Signal)?;
        if !status.success() {
            return Err(GatewayProcessError::Failed { status });
        }
        Ok(lines)
    }

    /// Kills it and waits until it is gone.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// What it uses by the system's account; zeros where the system says nothing.
    pub fn resource_usage(&self) -> ResourceUsage {
        let memory_kib = self
            .read_proc_file("status")
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:").and_then(first_number));
        // `schedstat` counts nanoseconds, `stat` ticks only.
        let processor_time_ns = first_number(&self.read_proc_file("schedstat"));
        ResourceUsage {
            memory_mb: memory_kib.unwrap_or(0.0) / KIB_PER_MIB,
            processor_time_us: processor_time_ns.unwrap_or(0.0) / NANOSECONDS_PER_MICROSECOND,
        }
    }

    fn read_proc_file(&self, name: &str) -> String {
        fs::read_to_string(format!("/proc/{}/{name}", self.child.id())).unwrap_or_default()
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn write_json(folder: &Path, name: &str, value: &Value) -> Result<PathBuf, GatewayProcessError> {
    let path = folder.join(name);
    match fs::write(&path, value.to_string()) {
        Ok(()) => Ok(path),
        Err(source) => Err(GatewayProcessError::File { path, source }),
    }
}

fn address_after(line: &str, prefix: &str) -> Option<SocketAddr> {
    let (_, rest) = line.split_once(prefix)?;
    rest.split_whitespace().next()?.parse().ok()
}

fn first_number(text: &str) -> Option<f64> {
    text.split_whitespace().next()?.parse().ok()
}
