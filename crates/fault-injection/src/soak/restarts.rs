//! Restarts: signals in series, a kill at the earliest moment that the platform grants, and the start anew.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::{json, Value};

use super::clients::{run_asking_client, run_silent_client, Shared};
use super::discovery::DiscoveryStandIn;
use super::plan::{Crowd, Ending, Restart, SignalKind, Stall, EARLIEST_KILL};
use super::records::{ShutdownRecord, SuddenKillRecord};
use super::starts::StartupConnection;
use super::startup_clients::{StartupClients, StartupTarget};
use crate::gateway_process::{GatewayCommand, GatewayProcess, GatewayProcessError};
use crate::stand_ins::policy_settings;

/// How often it is checked whether a process has ended, or is ready.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// How long a gateway may take to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_REQUEST: &[u8] = b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n";
const MEMORY_MB: u32 = 192;
/// How far the seeds of two gateways' clients of a start lie apart.
const STARTUP_SEED_STEP: u64 = 1_000_000_007;
const ANY_PORT: &str = "127.0.0.1:0";
/// A crowd's clients connect within this time.
const CROWD_SPREAD: Duration = Duration::from_millis(50);
const CROWD_STACK_BYTES: usize = 256 * 1024;

/// What the gateways of a soak are started with.
pub(super) struct GatewaySetup {
    pub(super) program: PathBuf,
    pub(super) folder: PathBuf,
    pub(super) seed: u64,
    pub(super) descriptors: usize,
    pub(super) discovery: DiscoveryStandIn,
}

impl Drop for GatewaySetup {
    fn drop(&mut self) {
        // Configurations that stay behind harm nobody.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl GatewaySetup {
    fn configuration(&self, gateway: usize, listen: &str) -> Value {
        json!({"name": format!("n{gateway}"), "listen": listen, "discovery": self.discovery.address,
            "seed": format!("{:016x}", self.seed), "known": self.discovery.current_list(),
            "limits": {"memory_mb": MEMORY_MB, "sockets": self.descriptors}, "settings": policy_settings()})
    }

    /// Starts a gateway on a port of the system's choice, and waits until it listens.
    pub(super) fn start(&self, gateway: usize) -> Result<GatewayProcess, GatewayProcessError> {
        let configuration = self.configuration(gateway, ANY_PORT);
        let name = format!("n{gateway}");
        GatewayProcess::start(&self.program, &self.folder, &name, &configuration, None)
    }

    /// Spawns a gateway at an address, which its environment names too, as the platform does.
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

/// What came of a restart beside its shutdown.
pub(super) struct RestartOutcome {
    pub(super) process: GatewayProcess,
    pub(super) shutdown: Option<ShutdownRecord>,
    pub(super) sudden_kill: Option<SuddenKillRecord>,
    /// From the start anew until the gateway was ready.
    pub(super) ready_after: Option<Duration>,
    /// What clients saw that connected from the spawn on.
    pub(super) startup_connections: Vec<StartupConnection>,
    pub(super) violations: Vec<String>,
}

impl RestartOutcome {
    /// Of a gateway that goes on as it is.
    fn unchanged(process: GatewayProcess) -> RestartOutcome {
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

/// Plays a restart. The time until it begins has passed.
pub(super) fn play_restart(
    setup: &GatewaySetup,
    shared: &Arc<Shared>,
    restart: &Restart,
    process: GatewayProcess,
) -> Result<RestartOutcome, GatewayProcessError> {
    let crowd = restart
        .crowd
        .map(|crowd| start_crowd(shared, restart.gateway, crowd));
    let mut outcome = RestartOutcome::unchanged(process);
    match restart.ending {
        Ending::Signals => shut_down(shared, restart, &mut outcome),
        Ending::SuddenKill => kill_suddenly(shared, restart.gateway, &mut outcome),
    }
    if outcome.shutdown.is_none() && outcome.sudden_kill.is_none() {
        return Ok(outcome);
    }
    start_anew(setup, shared, restart.gateway, &mut outcome)?;
    if let Some(crowd) = crowd {
        // A crowd's client ends with its request.
        let _ = crowd.join();
    }
    Ok(outcome)
}

/// Sends the signals, and waits until the gateway has ended or its kill has come, if one of them ends it.
fn shut_down(shared: &Shared, restart: &Restart, outcome: &mut RestartOutcome) {
    let Some(signal_at) = send_signals(shared, restart, &outcome.process) else {
        return;
    };
    let RestartOutcome {
        process,
        violations,
        ..
    } = outcome;
    let killed_at = end(shared, restart, process, signal_at, violations);
    outcome.shutdown = Some(ShutdownRecord {
        gateway: restart.gateway,
        signal_at: signal_at - shared.started_at,
        killed_at,
    });
}

/// Kills the gateway. No connection is tried from then on.
fn kill_suddenly(shared: &Shared, gateway: usize, outcome: &mut RestartOutcome) {
    let from = shared.now();
    shared.set_admission(gateway, |admission| admission.is_admitted = false);
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

/// Starts the gateway anew at its address, and waits until it is ready and the clients of its start have ended.
fn start_anew(
    setup: &GatewaySetup,
    shared: &Arc<Shared>,
    gateway: usize,
    outcome: &mut RestartOutcome,
) -> Result<(), GatewayProcessError> {
    let address = outcome.process.listen_address;
    shared.set_admission(gateway, |admission| admission.is_admitted = false);
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
    shared.set_admission(gateway, |admission| {
        admission.is_admitted = true;
        admission.until = None;
    });
    outcome.startup_connections = startup_clients.join();
    Ok(())
}

fn system_signal(kind: SignalKind) -> Signal {
    match kind {
        SignalKind::Terminate => Signal::TERM,
        SignalKind::Interrupt => Signal::INT,
        SignalKind::HangUp => Signal::HUP,
    }
}

/// Sends the signals, and returns when the first that ends the gateway was sent.
fn send_signals(shared: &Shared, restart: &Restart, process: &GatewayProcess) -> Option<Instant> {
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
        if kind.ends() && signal_at.is_none() {
            let now = Instant::now();
            signal_at = Some(now);
            let until = now + restart.new_connections_for;
            shared.set_admission(restart.gateway, |admission| admission.until = Some(until));
        }
        process.signal(system_signal(*kind));
    }
    if let Some(length) = stall {
        thread::sleep(length.saturating_sub(stalled_at.elapsed()));
        process.signal(Signal::CONT);
    }
    signal_at
}

/// Waits until the process has ended, or kills it at the earliest moment. Returns when it was killed.
fn end(
    shared: &Shared,
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
    let has_asked = stream.set_read_timeout(Some(READY_TIMEOUT)).is_ok()
        && stream.write_all(READY_REQUEST).is_ok();
    has_asked && stream.read_exact(&mut response).is_ok() && response.ends_with(b"200")
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

/// Starts a crowd on a thread of its own, which ends with its last client.
fn start_crowd(shared: &Arc<Shared>, gateway: usize, crowd: Crowd) -> thread::JoinHandle<()> {
    let shared = shared.clone();
    thread::spawn(move || {
        thread::sleep(crowd.delay);
        let size = crowd.silent + crowd.requests;
        let pause = CROWD_SPREAD / size.max(1) as u32;
        // Those that ask come evenly among the others.
        let asks =
            |index: usize| index * crowd.requests / size != (index + 1) * crowd.requests / size;
        let mut clients = Vec::with_capacity(size);
        for index in 0..size {
            let shared = shared.clone();
            let play = if asks(index) {
                run_asking_client
            } else {
                run_silent_client
            };
            let client = thread::Builder::new()
                .stack_size(CROWD_STACK_BYTES)
                .spawn(move || play(&shared, gateway));
            clients.extend(client);
            thread::sleep(pause);
        }
        for client in clients {
            // A client that panicked would have left no record: its request counts as none.
            let _ = client.join();
        }
    })
}
