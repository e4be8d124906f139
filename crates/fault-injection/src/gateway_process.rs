//! A built gateway as a child process: started with its own configuration files, observed through its log, killed on drop.

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

/// Time limit for a gateway to start, and for it to shut down.
const START_OR_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(20);
/// Environment variable with the path of the gateway program.
const PROGRAM_VARIABLE: &str = "HARRIERDOCK";
/// Environment variable with the gateway's listen address.
const LISTEN_VARIABLE: &str = "LB_LISTEN";
/// Environment variables that override the configuration file.
const CONFIGURATION_VARIABLES: [&str; 4] =
    ["LB_NAME", LISTEN_VARIABLE, "LB_DISCOVERY", "LB_CONFIG"];
/// Text in the first line of a panic report.
const PANIC_MARKER: &str = "panicked";
const KIB_PER_MIB: f64 = 1024.0;
const NANOSECONDS_PER_MICROSECOND: f64 = 1000.0;

/// Why a gateway can't be started or shut down.
#[derive(Debug, Error)]
pub enum GatewayProcessError {
    /// The path of the running program is unknown.
    #[error("can't find the path of this program: {0}")]
    OwnPath(#[source] io::Error),
    /// The gateway program doesn't exist.
    #[error("{path} does not exist: build the gateway, or set HARRIERDOCK to the path of its program", path = path.display())]
    ProgramMissing {
        /// The path where the program was expected.
        path: PathBuf,
    },
    /// A file of the gateway can't be written, or its program can't be run.
    #[error("{path}: {source}", path = path.display())]
    File {
        /// Path of the file or program.
        path: PathBuf,
        /// The error from the operating system.
        source: io::Error,
    },
    /// The gateway exited, or didn't log its listen address in time.
    #[error("{name} did not start: see {name}.json in {folder}", folder = folder.display())]
    NotStarted {
        /// Name of the gateway.
        name: String,
        /// Folder with the gateway's files.
        folder: PathBuf,
    },
    /// The process can't be signalled, or its exit status can't be read.
    #[error("can't signal or await a gateway: {0}")]
    Signal(#[source] io::Error),
    /// The gateway exited with a failure after SIGTERM.
    #[error("a gateway failed to shut down: {status}")]
    Failed {
        /// Exit status of the process.
        status: ExitStatus,
    },
}

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    /// Resident memory in MiB.
    pub memory_mb: f64,
    /// Processor time since the start of the process, in microseconds.
    pub processor_time_us: f64,
}

/// A gateway process, which may have exited. Killed on drop.
pub struct GatewayProcess {
    child: Child,
    log: Receiver<String>,
    name: String,
    folder: PathBuf,
    /// Right before the process was spawned.
    pub spawned_at: Instant,
    /// Where the gateway accepts clients' connections.
    pub listen_address: SocketAddr,
    /// Where the gateway receives the other site's datagrams; `None` unless it serves two sites.
    pub site_address: Option<SocketAddr>,
    /// Where the gateway receives gossip; `None` without peers.
    pub gossip_address: Option<SocketAddr>,
    /// Log lines that report a violated invariant or a panic.
    pub violations: Vec<String>,
    /// Whether the last line read started a panic report. The next line has its message.
    is_panic_message_next: bool,
    /// Log lines about leases.
    pub lease_log: Vec<String>,
}

/// Finds the gateway program: at the path in the environment variable `HARRIERDOCK`, or else beside this program.
///
/// # Errors
///
/// The program doesn't exist.
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
    /// Path of the gateway program.
    pub program: &'a Path,
    /// The folder for the gateway's files.
    pub folder: &'a Path,
    /// Name of the gateway, also used for its files.
    pub name: &'a str,
    /// Content of the configuration file.
    pub configuration: &'a Value,
    /// Content of the extension file, if the gateway has one.
    pub extensions: Option<&'a Value>,
    /// The listen address to set in the environment, if any.
    pub listen_variable: Option<SocketAddr>,
}

impl GatewayCommand<'_> {
    /// Writes the gateway's files and spawns it. Calls `on_spawn` right before the spawn. Doesn't wait until the gateway
    /// listens.
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
    /// Writes the configuration and the extension file to this folder, starts the gateway, and waits until it listens.
    ///
    /// # Errors
    ///
    /// A file can't be written, the program can't be run, or the gateway doesn't listen in time.
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
        gateway: &GatewayCommand<'_>,
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
                path: gateway.program.into(),
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
            name: gateway.name.into(),
            folder: gateway.folder.into(),
            spawned_at,
            listen_address: SocketAddr::from(([127, 0, 0, 1], 0)),
            site_address: None,
            gossip_address: None,
            violations: Vec::new(),
            is_panic_message_next: false,
            lease_log: Vec::new(),
        })
    }

    /// Waits until the gateway logs its listen address, and reads its addresses from the log.
    ///
    /// # Errors
    ///
    /// The gateway exits, or doesn't log its listen address in time.
    pub fn wait_until_listening(&mut self) -> Result<(), GatewayProcessError> {
        let deadline = Instant::now() + START_OR_SHUTDOWN_TIMEOUT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let Ok(line) = self.log.recv_timeout(remaining) else {
                return Err(GatewayProcessError::NotStarted {
                    name: self.name.clone(),
                    folder: self.folder.clone(),
                });
            };
            if let Some(address) = parse_address_after(&line, " listens on ") {
                self.site_address = Some(address);
            }
            if let Some(address) = parse_address_after(&line, " receives gossip on ") {
                self.gossip_address = Some(address);
            }
            if let Some(address) = parse_address_after(&line, " serves on ") {
                self.listen_address = address;
                return Ok(());
            }
        }
    }

    /// Reads the lines logged since the last call and collects violations and lines about leases.
    pub fn read_log(&mut self) {
        for line in self.log.try_iter() {
            if std::mem::take(&mut self.is_panic_message_next) {
                self.violations.push(line);
            } else if line.contains(" invariant violated: ") || line.contains(PANIC_MARKER) {
                self.is_panic_message_next = line.contains(PANIC_MARKER);
                self.violations.push(line);
            } else if line.contains(" fleet: ") || line.contains(" fleet.") {
                self.lease_log.push(line);
            }
        }
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process; does nothing if it has exited.
    pub fn signal(&self, signal: Signal) {
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }

    /// Exit status of the process; `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends SIGTERM, waits until the process has exited, and returns the flow export reports logged meanwhile.
    ///
    /// # Errors
    ///
    /// The process can't be signalled, or exits with a failure.
    pub fn shut_down(&mut self) -> Result<Vec<String>, GatewayProcessError> {
        kill_process(Pid::from_child(&self.child), Signal::TERM)
            .map_err(|error| GatewayProcessError::Signal(error.into()))?;
        let deadline = Instant::now() + START_OR_SHUTDOWN_TIMEOUT;
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

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Resource usage as reported in `/proc`; zero for values that can't be read.
    pub fn resource_usage(&self) -> ResourceUsage {
        let memory_kib = self
            .read_proc_file("status")
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:").and_then(parse_first_number));
        // `schedstat` counts nanoseconds; `stat` only counts ticks.
        let processor_time_ns = parse_first_number(&self.read_proc_file("schedstat"));
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

fn parse_address_after(line: &str, prefix: &str) -> Option<SocketAddr> {
    let (_, rest) = line.split_once(prefix)?;
    rest.split_whitespace().next()?.parse().ok()
}

fn parse_first_number(text: &str) -> Option<f64> {
    text.split_whitespace().next()?.parse().ok()
}
