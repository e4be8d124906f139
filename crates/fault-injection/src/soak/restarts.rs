//! Restarts of gateways: a series of signals, a kill at the earliest time at which the platform may kill, and the new start.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::{json, Value};

use super::clients::{run_idle_client, run_requesting_client, SharedState};
use super::discovery::DiscoveryStandIn;
use super::plan::{ConnectionBurst, Restart, SignalKind, Stall, Termination, EARLIEST_KILL};
use super::records::{ShutdownRecord, SuddenKillRecord};
use super::startup::StartupConnection;
use super::startup_clients::{StartupClients, StartupTarget};
use crate::gateway_process::{GatewayCommand, GatewayProcess, GatewayProcessError};
use crate::stand_ins::policy_settings;

/// How often the soak checks whether a process has exited or is ready.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Time limit for a gateway to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_REQUEST: &[u8] = b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n";
const MEMORY_MB: u32 = 192;
/// Distance between the seeds of two gateways' startup clients.
const STARTUP_SEED_STEP: u64 = 1_000_000_007;
const ANY_PORT: &str = "127.0.0.1:0";
/// The clients of a connection burst connect within this time.
const BURST_SPREAD: Duration = Duration::from_millis(50);
const BURST_STACK_BYTES: usize = 256 * 1024;

/// The parameters with which a soak starts its gateways.
pub(super) struct GatewaySetup {
    pub(super) program: PathBuf,
    pub(super) folder: PathBuf,
    pub(super) seed: u64,
    pub(super) descriptors: usize,
    pub(super) discovery: DiscoveryStandIn,
}

impl Drop for GatewaySetup {
    fn drop(&mut self) {
        // A leftover configuration file is harmless.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl GatewaySetup {
    fn configuration(&self, gateway: usize, listen: &str) -> Value {
        json!({"name": format!("n{gateway}"), "listen": listen, "discovery": self.discovery.address,
            "seed": format!("{:016x}", self.seed), "known": self.discovery.current_list(),
            "limits": {"memory_mb": MEMORY_MB, "sockets": self.descriptors}, "settings": policy_settings()})
    }

    /// Starts a gateway on a port chosen by the system, and waits until it listens.
    pub(super) fn start(&self, gateway: usize) -> Result<GatewayProcess, GatewayProcessError> {
        let configuration = self.configuration(gateway, ANY_PORT);
        let name = format!("n{gateway}");
        GatewayProcess::start(&self.program, &self.folder, &name, &configuration, None)
    }

    /// Spawns a gateway at an address, which is also set in its environment, as on the platform.
    fn spawn(
        &self,
        target: StartupTarget,
        on_spawn: impl FnOnce(Instant),
    ) -> Result<GatewayProcess, GatewayProcessError> {
        let StartupTarget {
            gateway, address, ..
        } = target;
        let command = GatewayCommand {
            program: &self.program,
            folder: &self.folder,
            name: &format!("n{gateway}"),
            configuration: &self.configuration(gateway, &address.to_string()),
            extensions: None,
            listen_variable: Some(address),
        };
        command.spawn(on_spawn)
    }

    fn startup_target(&self, gateway: usize, address: SocketAddr) -> StartupTarget {
        let step = STARTUP_SEED_STEP * (gateway as u64 + 1);
        StartupTarget {
            gateway,
            address,
            seed: self.seed.wrapping_add(step),
        }
    }
}

/// The result of a restart.
pub(super) struct RestartOutcome {
    /// The running process: the new one if the gateway was restarted.
    pub(super) process: GatewayProcess,
    /// `None` if no signal started a shutdown.
    pub(super) shutdown: Option<ShutdownRecord>,
    pub(super) sudden_kill: Option<SuddenKillRecord>,
    /// Time from the new spawn until the gateway was ready; `None` if it never was, or was not restarted.
    pub(super) ready_after: Option<Duration>,
    /// Results of the clients that tried to connect from the spawn on.
    pub(super) startup_connections: Vec<StartupConnection>,
    pub(super) violations: Vec<String>,
}

impl RestartOutcome {
    /// The outcome for a gateway that keeps running.
    fn still_running(process: GatewayProcess) -> RestartOutcome {
        RestartOutcome {
            process,
            shutdown: None,
            sudden_kill: None,
            ready_after: None,
            startup_connections: Vec::new(),
            violations: Vec::new(),
        }
    }
}

/// Performs a restart that is due now.
pub(super) fn perform_restart(
    setup: &GatewaySetup,
    shared: &Arc<SharedState>,
    restart: &Restart,
    process: GatewayProcess,
) -> Result<RestartOutcome, GatewayProcessError> {
    let burst = restart
        .burst
        .map(|burst| start_burst(shared, restart.gateway, burst));
    let mut outcome = RestartOutcome::still_running(process);
    match restart.termination {
        Termination::Signals => shut_down(shared, restart, &mut outcome),
        Termination::SuddenKill => kill_suddenly(shared, restart.gateway, &mut outcome),
    }
    if outcome.shutdown.is_none() && outcome.sudden_kill.is_none() {
        return Ok(outcome);
    }
    start_replacement(setup, shared, restart.gateway, &mut outcome)?;
    if let Some(burst) = burst {
        // Each client of the burst ends after its request.
        let _ = burst.join();
    }
    Ok(outcome)
}

/// Sends the signals. If one of them starts a shutdown, waits until the gateway has exited or was killed.
fn shut_down(shared: &SharedState, restart: &Restart, outcome: &mut RestartOutcome) {
    let Some(signal_at) = send_signals(shared, restart, &outcome.process) else {
        return;
    };
    let RestartOutcome {
        process,
        violations,
        ..
    } = outcome;
    let killed_at = wait_for_exit_or_kill(shared, restart, process, signal_at, violations);
    outcome.shutdown = Some(ShutdownRecord {
        gateway: restart.gateway,
        signal_at: signal_at - shared.started_at,
        killed_at,
    });
}

/// Kills the gateway. Clients open no new connections to it from then on.
fn kill_suddenly(shared: &SharedState, gateway: usize, outcome: &mut RestartOutcome) {
    let from = shared.now();
    shared.update_access(gateway, |access| access.accepts_connections = false);
    outcome.process.kill();
    let until = shared.now();
    outcome.process.read_log();
    outcome.violations.append(&mut outcome.process.violations);
    outcome.sudden_kill = Some(SuddenKillRecord {
        gateway,
        from,
        until,
    });
}

/// Starts the gateway again at its address, and waits until it is ready and the startup clients have finished.
fn start_replacement(
    setup: &GatewaySetup,
    shared: &Arc<SharedState>,
    gateway: usize,
    outcome: &mut RestartOutcome,
) -> Result<(), GatewayProcessError> {
    let address = outcome.process.listen_address;
    shared.update_access(gateway, |access| access.accepts_connections = false);
    let target = setup.startup_target(gateway, address);
    let startup_clients = StartupClients::prepare(shared, target);
    let mut process = setup.spawn(target, |spawned_at| startup_clients.connect(spawned_at))?;
    process.wait_until_listening()?;
    outcome.ready_after = wait_until_ready(address, process.spawned_at);
    if outcome.ready_after.is_none() {
        let violation = format!("n{gateway} is not ready after a restart");
        outcome.violations.push(violation);
    }
    outcome.process = process;
    shared.update_access(gateway, |access| {
        access.accepts_connections = true;
        access.accepts_until = None;
    });
    outcome.startup_connections = startup_clients.join();
    Ok(())
}

fn to_system_signal(kind: SignalKind) -> Signal {
    match kind {
        SignalKind::Terminate => Signal::TERM,
        SignalKind::Interrupt => Signal::INT,
        SignalKind::HangUp => Signal::HUP,
    }
}

/// Sends the signals, and returns when the first one that starts a shutdown was sent.
fn send_signals(
    shared: &SharedState,
    restart: &Restart,
    process: &GatewayProcess,
) -> Option<Instant> {
    let stall = match restart.stall {
        Stall::BeforeSignal(length) => Some(length),
        Stall::None | Stall::BeforeKill(_) => None,
    };
    let stalled_at = Instant::now();
    if stall.is_some() {
        process.signal(Signal::STOP);
    }
    let mut signal_at = None;
    for (index, kind) in restart.signals.iter().enumerate() {
        if index > 0 {
            thread::sleep(restart.signal_gap);
        }
        if kind.starts_shutdown() && signal_at.is_none() {
            let now = Instant::now();
            signal_at = Some(now);
            let until = now + restart.new_connections_for;
            shared.update_access(restart.gateway, |access| access.accepts_until = Some(until));
        }
        process.signal(to_system_signal(*kind));
    }
    if let Some(length) = stall {
        thread::sleep(length.saturating_sub(stalled_at.elapsed()));
        process.signal(Signal::CONT);
    }
    signal_at
}

/// Waits until the process has exited, or kills it at [`EARLIEST_KILL`]. Returns when it was killed; `None` if it exited.
fn wait_for_exit_or_kill(
    shared: &SharedState,
    restart: &Restart,
    process: &mut GatewayProcess,
    signal_at: Instant,
    violations: &mut Vec<String>,
) -> Option<Duration> {
    let kill_at = signal_at + EARLIEST_KILL;
    let stall_at = match restart.stall {
        Stall::BeforeKill(length) => Some(kill_at - length),
        Stall::None | Stall::BeforeSignal(_) => None,
    };
    let mut is_stalled = false;
    loop {
        if let Some(status) = process.exit_status() {
            if !status.success() {
                violations.push(format!("n{} ended with {status}", restart.gateway));
            }
            process.read_log();
            violations.append(&mut process.violations);
            return None;
        }
        let now = Instant::now();
        if now >= kill_at {
            process.kill();
            let killed_at = shared.now();
            process.read_log();
            violations.append(&mut process.violations);
            return Some(killed_at);
        }
        if !is_stalled && stall_at.is_some_and(|at| now >= at) {
            is_stalled = true;
            process.signal(Signal::STOP);
        }
        thread::sleep(CHECK_INTERVAL.min(kill_at - now));
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return false;
    };
    let mut response = [0; 12];
    let is_request_sent = stream.set_read_timeout(Some(READY_TIMEOUT)).is_ok()
        && stream.write_all(READY_REQUEST).is_ok();
    is_request_sent && stream.read_exact(&mut response).is_ok() && response.ends_with(b"200")
}

fn wait_until_ready(address: SocketAddr, started_at: Instant) -> Option<Duration> {
    while started_at.elapsed() < READY_TIMEOUT {
        if is_ready(address) {
            return Some(started_at.elapsed());
        }
        thread::sleep(CHECK_INTERVAL);
    }
    None
}

/// Starts a connection burst on a separate thread, which ends with the last client.
fn start_burst(
    shared: &Arc<SharedState>,
    gateway: usize,
    burst: ConnectionBurst,
) -> thread::JoinHandle<()> {
    let shared = shared.clone();
    thread::spawn(move || {
        thread::sleep(burst.delay);
        let size = burst.idle + burst.requests;
        let pause = BURST_SPREAD / size.max(1) as u32;
        // The clients with requests are spread evenly among the idle ones.
        let sends_request =
            |index: usize| index * burst.requests / size != (index + 1) * burst.requests / size;
        let mut clients = Vec::with_capacity(size);
        for index in 0..size {
            let shared = shared.clone();
            let run_burst_client = if sends_request(index) {
                run_requesting_client
            } else {
                run_idle_client
            };
            let client = thread::Builder::new()
                .stack_size(BURST_STACK_BYTES)
                .spawn(move || run_burst_client(&shared, gateway));
            clients.extend(client);
            thread::sleep(pause);
        }
        for client in clients {
            // A client that panicked leaves no record, so its request isn't counted.
            let _ = client.join();
        }
    })
}
