//! The gateways of one fleet as processes: started, stalled, killed and shut down, with what each leaves behind.

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

/// The error of a skewed clock's rate, which is the drift that gateways are configured with.
const SKEW: f64 = 0.02;
/// How long all gateways together may take to shut down.
const SHUTDOWN_TIMEOUT: TimeDelta = TimeDelta(20_000_000);
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The leases of a fleet, by their names on the wire.
pub const LEASES: [&str; 2] = ["steward", "heir"];
/// Electors at the most.
pub const MAX_ELECTORS: usize = 5;

/// What differs from the usual at a gateway's next start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StartOverrides {
    /// The rate of its clock.
    pub clock_rate: Option<f64>,
    /// It writes and reads another format of messages.
    pub uses_other_wire_format: bool,
}

/// Why a gateway was asked to shut down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownPurpose {
    /// To be started again once it has ended.
    Restart,
    /// For good.
    End,
}

/// A time in which a gateway was stopped between two instructions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stall {
    /// When it began.
    pub start: Timestamp,
    /// When it ended, if it has.
    pub end: Option<Timestamp>,
}

/// A gateway over all its incarnations.
pub struct Gateway {
    /// Its name.
    pub name: String,
    /// The incarnation that runs.
    pub process: Option<GatewayProcess>,
    discovery: SocketAddr,
    // Discovery's stream lasts as long as this.
    _list_sender: Sender<String>,
    /// Set while it shuts down.
    pub shutdown_purpose: Option<ShutdownPurpose>,
    /// What differs at its next start.
    pub overrides: StartOverrides,
    /// What its ended incarnations logged on leases.
    pub lease_log_of_ended: Vec<String>,
    /// When it was killed or stalled, in seconds of Unix time.
    pub stopped_at_unix: Vec<f64>,
    /// When it was stalled.
    pub stalls: Vec<Stall>,
    /// Processor time of its incarnations that were killed, or ran at the end, in microseconds.
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
            lease_log_of_ended: Vec::new(),
            stopped_at_unix: Vec::new(),
            stalls: Vec::new(),
            processor_time_us: 0.0,
        }
    }

    /// Whether the running incarnation holds a lease by its own log; none if it logged nothing of it.
    fn is_holder(&self, duty: &str) -> Option<bool> {
        let acquired = format!(" fleet: acquired lease {duty},");
        let ended = format!(" fleet: lost lease {duty},");
        let mut newest_first = self.process.as_ref()?.lease_log.iter().rev();
        let last = newest_first.find(|line| line.contains(&acquired) || line.contains(&ended))?;
        Some(last.contains(&acquired))
    }

    fn end_stall(&mut self, now: Timestamp) {
        if let Some(stall) = self.stalls.last_mut() {
            stall.end.get_or_insert(now);
        }
    }

    fn count_processor_time(&mut self) {
        if let Some(process) = &self.process {
            self.processor_time_us += process.resource_usage().processor_time_us;
        }
    }
}

/// The gateways of one fleet, and what they talk to.
pub struct ProcessGroup {
    program: PathBuf,
    folder: PathBuf,
    /// The gateways, by their numbers.
    pub gateways: Vec<Gateway>,
    /// Carries the datagrams between them.
    pub relay: Relay,
    /// The deployment controller and the rollout platform.
    pub rollout_stand_in: RolloutStandIn,
    /// Where gateways call the deployment controller.
    pub deployment_controller_address: SocketAddr,
    /// What is played.
    pub scenario: Scenario,
    rng: WyRand,
    /// Killed incarnations, which owe no answer to what they had accepted.
    pub killed: BTreeSet<(usize, u32)>,
    /// Logged lines that report a violated invariant or a panic.
    pub logged_violations: u64,
    /// Gateways that ended by themselves, or failed.
    pub crashes: u64,
    /// When the run was over, in seconds of Unix time.
    pub ended_at_unix: f64,
}

/// Seconds of Unix time.
fn unix_time() -> f64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_secs_f64()
}

impl ProcessGroup {
    /// Gateways that do not run yet, with all that they talk to.
    ///
    /// # Errors
    ///
    /// A socket is not to be had.
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

    /// Starts a gateway, which gets a new incarnation.
    ///
    /// # Errors
    ///
    /// It does not start.
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

    /// Kills a gateway that runs.
    pub fn kill(&mut self, simulation: &mut Simulation, index: usize) {
        let gateway = &mut self.gateways[index];
        gateway.count_processor_time();
        let Some(process) = &mut gateway.process else {
            return;
        };
        process.kill();
        gateway.stopped_at_unix.push(unix_time());
        gateway.end_stall(simulation.now());
        let target = &mut simulation.gateways[index];
        target.is_alive = false;
        target.accepts_clients = false;
        self.killed.insert((index, target.incarnation));
        self.collect_ended(index);
    }

    /// Stops a gateway between two instructions, unless it shuts down.
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
        gateway.stopped_at_unix.push(unix_time());
        gateway.stalls.push(Stall { start, end: None });
        simulation.gateways[index].accepts_clients = false;
    }

    /// Lets a stalled gateway go on.
    pub fn resume(&mut self, simulation: &mut Simulation, index: usize) {
        let gateway = &mut self.gateways[index];
        if let Some(process) = &gateway.process {
            process.signal(Signal::CONT);
            simulation.gateways[index].accepts_clients = gateway.shutdown_purpose.is_none();
        }
        gateway.end_stall(simulation.now());
    }

    /// Asks a gateway to shut down, once; [`ProcessGroup::observe`] starts it again where that is its purpose.
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

    /// Whether any incarnation of a gateway has logged this on leases.
    pub fn logged(&self, index: usize, text: &str) -> bool {
        let gateway = &self.gateways[index];
        let running = gateway.process.iter().flat_map(|p| &p.lease_log);
        let mut lines = gateway.lease_log_of_ended.iter().chain(running);
        lines.any(|line| line.contains(text))
    }

    /// The gateway that holds a lease by its own log.
    pub fn holder(&self, duty: &str) -> Option<usize> {
        let mut gateways = self.gateways.iter();
        gateways.position(|gateway| gateway.is_holder(duty) == Some(true))
    }

    /// Reads all logs, and starts again the gateways that have ended in a restart.
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
            self.collect_ended(index);
            simulation.gateways[index].is_alive = false;
            if purpose == Some(ShutdownPurpose::Restart) {
                self.start(simulation, index)?;
            }
        }
        Ok(())
    }

    /// Collects the log of an incarnation that has ended.
    fn collect_ended(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
        let Some(mut process) = gateway.process.take() else {
            return;
        };
        process.read_log();
        self.logged_violations += process.violations.len() as u64;
        for line in &process.violations {
            eprintln!("{}: {line}", gateway.name);
        }
        gateway.lease_log_of_ended.append(&mut process.lease_log);
    }

    /// Ends the run: resumes and shuts down all gateways, and waits until they have ended.
    ///
    /// # Errors
    ///
    /// One of them does not end in time.
    pub fn shut_down_all(&mut self, simulation: &mut Simulation) -> Result<(), FleetError> {
        self.ended_at_unix = unix_time();
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
