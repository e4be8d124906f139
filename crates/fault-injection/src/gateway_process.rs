//! Built gateways as processes: started with files of their own, heard by their log, killed and started again.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;

/// How long a gateway may take to start.
const START: Duration = Duration::from_secs(20);

pub struct Process {
    child: Child,
    log: Receiver<String>,
    pub serves: SocketAddr,
    pub links: Option<SocketAddr>,
    /// Where it hears its peers.
    pub peers: Option<SocketAddr>,
    /// Lines that say that something does not hold.
    pub broken: Vec<String>,
    /// Lines on what it shares with its fleet.
    pub fleet: Vec<String>,
}

/// The gateway's program: beside this one, or where HARRIERDOCK says.
pub fn program() -> Result<PathBuf, String> {
    if let Some(path) = std::env::var_os("HARRIERDOCK") {
        return Ok(path.into());
    }
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let beside = own.with_file_name("harrierdock");
    if beside.exists() {
        return Ok(beside);
    }
    Err(format!(
        "{} is not there: build it, or name it by HARRIERDOCK",
        beside.display()
    ))
}

pub fn write_file(folder: &Path, name: &str, text: &str) -> Result<PathBuf, String> {
    let path = folder.join(name);
    fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(path)
}

fn address_in(line: &str, before: &str) -> Option<SocketAddr> {
    let (_, rest) = line.split_once(before)?;
    rest.split_whitespace().next()?.parse().ok()
}

impl Process {
    /// Starts a gateway on its files, and waits until it serves.
    pub fn start(
        program: &Path,
        folder: &Path,
        name: &str,
        told: &Value,
        with: Option<&Value>,
    ) -> Result<Process, String> {
        let config = write_file(folder, &format!("{name}.json"), &told.to_string())?;
        let mut command = Command::new(program);
        command
            .arg("serve")
            .arg("--config")
            .arg(config)
            .args(["--log", "info"]);
        if let Some(with) = with {
            command.arg("--with").arg(write_file(
                folder,
                &format!("{name}-sites.json"),
                &with.to_string(),
            )?);
        }
        for variable in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_CONFIG"] {
            command.env_remove(variable);
        }
        let started = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn();
        let mut child = started.map_err(|e| format!("{}: {e}", program.display()))?;
        let (say, log) = channel();
        if let Some(error) = child.stderr.take() {
            let lines = BufReader::new(error).lines().map_while(Result::ok);
            std::thread::spawn(move || lines.into_iter().try_for_each(|line| say.send(line)));
        }
        let serves = SocketAddr::from(([127, 0, 0, 1], 0));
        let (broken, fleet) = (Vec::new(), Vec::new());
        let mut process = Process {
            child,
            log,
            serves,
            links: None,
            peers: None,
            broken,
            fleet,
        };
        let until = Instant::now() + START;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let Ok(line) = process.log.recv_timeout(left) else {
                return Err(format!(
                    "{name} does not start: see {name}.json in {}",
                    folder.display()
                ));
            };
            if let Some(links) = address_in(&line, " listens on ") {
                process.links = Some(links);
            }
            if let Some(peers) = address_in(&line, " hears peers on ") {
                process.peers = Some(peers);
            }
            if let Some(serves) = address_in(&line, " serves on ") {
                process.serves = serves;
                return Ok(process);
            }
        }
    }

    /// Looks through what was logged since.
    pub fn listen(&mut self) {
        for line in self.log.try_iter() {
            if line.contains(" broken: ") || line.contains("panicked") {
                self.broken.push(line);
            } else if line.contains(" fleet: ") || line.contains(" fleet.") {
                self.fleet.push(line);
            }
        }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal, if it is still there.
    pub fn signal(&self, signal: Signal) {
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }

    /// How it ended; none while it runs.
    pub fn ended(&mut self) -> Option<bool> {
        self.child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.success())
    }

    /// Whether it runs.
    pub fn lives(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Tells it to end, waits until it has, and gives back what it said of flows meanwhile.
    pub fn end(&mut self) -> Result<Vec<String>, String> {
        kill_process(Pid::from_child(&self.child), Signal::TERM).map_err(|e| e.to_string())?;
        let until = Instant::now() + START;
        let mut lines = Vec::new();
        while let Ok(line) = self
            .log
            .recv_timeout(until.saturating_duration_since(Instant::now()))
        {
            lines.extend(line.split_once("flows: ").map(|(_, said)| said.to_string()));
        }
        let code = self.child.wait().map_err(|e| e.to_string())?;
        if !code.success() {
            return Err(format!("a gateway told to end did not: {code}"));
        }
        Ok(lines)
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Resident memory in MB, and processor time so far in microseconds, as the system tells.
    pub fn use_of(&self) -> (f64, f64) {
        let read = |file: &str| {
            fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).unwrap_or_default()
        };
        let status = read("status");
        let kb = status.lines().find_map(|l| {
            l.strip_prefix("VmRSS:")?
                .split_whitespace()
                .next()?
                .parse::<f64>()
                .ok()
        });
        // Time on a processor, in nanoseconds: finer than the ticks of `stat`.
        let spent = read("schedstat")
            .split_whitespace()
            .next()
            .and_then(|n| n.parse::<f64>().ok());
        (kb.unwrap_or(0.0) / 1024.0, spent.unwrap_or(0.0) / 1000.0)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
