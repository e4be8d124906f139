//! The gateway processes of one fleet: starts, stalls, kills and shuts them down, and collects their logs and counters.

mod configuration;
mod fault_injection;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::Sender;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use harrierdock_types::{TimeDelta, Timestamp};
use nanorand::WyRand;
use rustix::process::Signal;

use super::error::FleetError;
use super::relay::Relay;
use super::rollout_stand_in::RolloutStandIn;
use super::Scenario;
use crate::gateway_process::GatewayProcess;
use crate::simulation::Simulation;
use crate::stand_ins::{discovery_server, Trace};

/// The ratio by which a skewed clock runs fast or slow. Gateways are configured with the same ratio as the largest clock drift.
const SKEW: f64 = 0.02;
/// Time limit for the shutdown of all gateways.
const SHUTDOWN_TIMEOUT: TimeDelta = TimeDelta(20_000_000);
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The leases of a fleet, by their names on the wire and in logs.
pub const LEASES: [&str; 2] = ["steward", "heir"];
/// Number of electors. In a smaller fleet, all gateways are electors.
pub const MAX_ELECTORS: usize = 5;

/// Deviations from the usual configuration, applied from a gateway's next start on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StartOverrides {
    /// Clock rate over real time; `None` for an accurate clock.
    pub clock_rate: Option<f64>,
    /// Encodes and decodes lease messages in another version.
    pub uses_other_wire_format: bool,
}

/// Why a gateway was asked to shut down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownPurpose {
    /// [`ProcessGroup::observe`] starts it again after it has exited.
    Restart,
    /// It stays down.
    End,
}

/// A span in which a gateway was suspended by SIGSTOP.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stall {
    pub start: Timestamp,
    /// `None` while the gateway is suspended.
    pub end: Option<Timestamp>,
}

/// A gateway of a fleet, with records of all its incarnations.
pub struct Gateway {
    pub name: String,
    /// The running incarnation; `None` if the gateway is down.
    pub process: Option<GatewayProcess>,
    discovery: SocketAddr,
    // Kept because discovery's stream ends when the sender is dropped.
    _list_sender: Sender<String>,
    /// Why the process is shutting down; `None` unless it received SIGTERM and hasn't exited.
    pub shutdown_purpose: Option<ShutdownPurpose>,
    pub overrides: StartOverrides,
    /// Log lines on leases of the incarnations that have exited.
    pub lease_log_of_exited: Vec<String>,
    /// The times at which it was killed or stalled, in seconds of Unix time.
    pub stopped_at_unix: Vec<f64>,
    /// All stalls, the oldest first.
    pub stalls: Vec<Stall>,
    /// Processor time in microseconds of the incarnations that were killed or ran at the end; restarts are not counted.
    pub processor_time_us: f64,
}

impl Gateway {
    fn new(index: usize) -> Gateway {
        let (discovery, list_sender) = discovery_server(&Trace::default());
        Gateway {
            name: format!("g{index}"),
            process: None,
            discovery,
            _list_sender: list_sender,
            shutdown_purpose: None,
            overrides: StartOverrides::default(),
            lease_log_of_exited: Vec::new(),
            stopped_at_unix: Vec::new(),
            stalls: Vec::new(),
            processor_time_us: 0.0,
        }
    }

    /// Whether the running incarnation holds a lease according to its log; `None` if the log doesn't mention the lease.
    fn is_holder(&self, lease: &str) -> Option<bool> {
        let acquired = format!(" fleet: acquired lease {lease},");
        let lost = format!(" fleet: lost lease {lease},");
        let mut newest_first = self.process.as_ref()?.lease_log.iter().rev();
        let last = newest_first.find(|line| line.contains(&acquired) || line.contains(&lost))?;
        Some(last.contains(&acquired))
    }

    fn end_stall(&mut self, now: Timestamp) {
        if let Some(stall) = self.stalls.last_mut() {
            stall.end.get_or_insert(now);
        }
    }

    /// Adds the processor time that the running incarnation has used so far.
    fn count_processor_time(&mut self) {
        if let Some(process) = &self.process {
            self.processor_time_us += process.resource_usage().processor_time_us;
        }
    }
}

/// The gateways of one fleet, with their relay and stand-ins.
pub struct ProcessGroup {
    program: PathBuf,
    folder: PathBuf,
    /// Indexed by gateway number.
    pub gateways: Vec<Gateway>,
    pub relay: Relay,
    pub rollout_stand_in: RolloutStandIn,
    /// Where gateways send rollout commands. A test may replace it before the gateways start.
    pub deployment_controller_address: SocketAddr,
    pub scenario: Scenario,
    rng: WyRand,
    /// Killed incarnations, by gateway and number: requests that they had accepted need no answer.
    pub killed: BTreeSet<(usize, u32)>,
    /// Log lines on violated invariants or panics.
    pub logged_violations: u64,
    /// Gateways that exited by themselves, or with a failure.
    pub crashes: u64,
    /// When the run ended, before the gateways were shut down, in seconds of Unix time.
    pub ended_at_unix: f64,
}

fn unix_seconds() -> f64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_secs_f64()
}

impl ProcessGroup {
    /// Sets up the relay and the stand-ins; gateways are not started.
    ///
    /// # Errors
    ///
    /// A socket can't be opened.
    pub fn new(
        program: PathBuf,
        folder: PathBuf,
        scenario: &Scenario,
    ) -> Result<ProcessGroup, FleetError> {
        let rollout_stand_in =
            RolloutStandIn::start(Duration::from_millis(scenario.stage_pause_ms));
        Ok(ProcessGroup {
            program,
            folder,
            gateways: (0..scenario.gateways).map(Gateway::new).collect(),
            relay: Relay::start(scenario.gateways, scenario.seed)?,
            deployment_controller_address: rollout_stand_in.address,
            rollout_stand_in,
            scenario: scenario.clone(),
            rng: WyRand::new_seed(scenario.seed),
            killed: BTreeSet::new(),
            logged_violations: 0,
            crashes: 0,
            ended_at_unix: 0.0,
        })
    }

    /// Starts a new incarnation of a gateway.
    ///
    /// # Errors
    ///
    /// The gateway does not start.
    pub fn start(&mut self, simulation: &mut Simulation, index: usize) -> Result<(), FleetError> {
        let configuration = self.configuration(index, &simulation.endpoints);
        let extensions =
            (!self.scenario.without_leases).then(|| self.extension_configuration(index));
        let process = GatewayProcess::start(
            &self.program,
            &self.folder,
            &self.gateways[index].name,
            &configuration,
            extensions.as_ref(),
        )?;
        if let Some(address) = process.gossip_address {
            self.relay.set_gossip_address(index, address);
        }
        let target = &mut simulation.gateways[index];
        target.address = Some(process.listen_address);
        target.incarnation += 1;
        target.is_alive = true;
        target.accepts_clients = true;
        self.gateways[index].process = Some(process);
        Ok(())
    }

    /// Kills a gateway with SIGKILL; does nothing if it doesn't run.
    pub fn kill(&mut self, simulation: &mut Simulation, index: usize) {
        let gateway = &mut self.gateways[index];
        gateway.count_processor_time();
        let Some(process) = &mut gateway.process else {
            return;
        };
        process.kill();
        gateway.stopped_at_unix.push(unix_seconds());
        gateway.end_stall(simulation.now());
        let target = &mut simulation.gateways[index];
        target.is_alive = false;
        target.accepts_clients = false;
        self.killed.insert((index, target.incarnation));
        self.collect_exited(index);
    }

    /// Suspends a gateway with SIGSTOP, unless it is shutting down.
    pub fn stall(&mut self, simulation: &mut Simulation, index: usize) {
        let gateway = &mut self.gateways[index];
        let Some(process) = &gateway.process else {
            return;
        };
        if gateway.shutdown_purpose.is_some() {
            return;
        }
        let start = simulation.now();
        process.signal(Signal::STOP);
        gateway.stopped_at_unix.push(unix_seconds());
        gateway.stalls.push(Stall { start, end: None });
        simulation.gateways[index].accepts_clients = false;
    }

    /// Resumes a stalled gateway with SIGCONT.
    pub fn resume(&mut self, simulation: &mut Simulation, index: usize) {
        let gateway = &mut self.gateways[index];
        if let Some(process) = &gateway.process {
            process.signal(Signal::CONT);
            simulation.gateways[index].accepts_clients = gateway.shutdown_purpose.is_none();
        }
        gateway.end_stall(simulation.now());
    }

    /// Sends SIGTERM to a gateway, unless it is shutting down already.
    pub fn shut_down(
        &mut self,
        simulation: &mut Simulation,
        index: usize,
        purpose: ShutdownPurpose,
    ) {
        let gateway = &mut self.gateways[index];
        let Some(process) = &gateway.process else {
            return;
        };
        if gateway.shutdown_purpose.is_some() {
            return;
        }
        process.signal(Signal::TERM);
        gateway.shutdown_purpose = Some(purpose);
        simulation.gateways[index].accepts_clients = false;
    }

    /// Whether any incarnation of a gateway logged a line on leases that contains `text`.
    pub fn has_logged(&self, index: usize, text: &str) -> bool {
        let gateway = &self.gateways[index];
        let running = gateway.process.iter().flat_map(|p| &p.lease_log);
        let mut lines = gateway.lease_log_of_exited.iter().chain(running);
        lines.any(|line| line.contains(text))
    }

    /// The first gateway that holds a lease according to its log.
    pub fn holder(&self, lease: &str) -> Option<usize> {
        let mut gateways = self.gateways.iter();
        gateways.position(|gateway| gateway.is_holder(lease) == Some(true))
    }

    /// Reads all logs, counts crashes, and restarts the gateways that shut down for a restart.
    ///
    /// # Errors
    ///
    /// A gateway does not start.
    pub fn observe(&mut self, simulation: &mut Simulation) -> Result<(), FleetError> {
        for index in 0..self.gateways.len() {
            let gateway = &mut self.gateways[index];
            let Some(process) = &mut gateway.process else {
                continue;
            };
            process.read_log();
            let Some(status) = process.exit_status() else {
                continue;
            };
            let purpose = gateway.shutdown_purpose.take();
            self.crashes += u64::from(!status.success() || purpose.is_none());
            self.collect_exited(index);
            simulation.gateways[index].is_alive = false;
            if purpose == Some(ShutdownPurpose::Restart) {
                self.start(simulation, index)?;
            }
        }
        Ok(())
    }

    /// Collects the log of an incarnation that has exited.
    fn collect_exited(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
        let Some(mut process) = gateway.process.take() else {
            return;
        };
        process.read_log();
        self.logged_violations += process.violations.len() as u64;
        for line in &process.violations {
            eprintln!("{}: {line}", gateway.name);
        }
        gateway.lease_log_of_exited.append(&mut process.lease_log);
    }

    /// Ends the run: resumes and shuts down all gateways, and waits until they have exited.
    ///
    /// # Errors
    ///
    /// A gateway does not exit in time.
    pub fn shut_down_all(&mut self, simulation: &mut Simulation) -> Result<(), FleetError> {
        self.ended_at_unix = unix_seconds();
        for index in 0..self.gateways.len() {
            self.resume(simulation, index);
            self.gateways[index].count_processor_time();
            self.shut_down(simulation, index, ShutdownPurpose::End);
        }
        let deadline = simulation.now() + SHUTDOWN_TIMEOUT;
        while self.gateways.iter().any(|g| g.process.is_some()) {
            self.observe(simulation)?;
            if simulation.now() > deadline {
                return Err(FleetError::StillRunning);
            }
            std::thread::sleep(SHUTDOWN_POLL_INTERVAL);
        }
        Ok(())
    }
}
