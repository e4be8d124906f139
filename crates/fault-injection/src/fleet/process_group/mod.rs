//! The gateways of one fleet as processes, and what befalls them.

mod configuration;
mod fault_injection;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::Sender;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use harrierdock_types::Timestamp;
use nanorand::WyRand;
use rustix::process::Signal;
use serde_json::{json, Value};

use configuration::policy_settings;

use super::installation::Installation;
use super::relay::Relay;
use super::Day;
use crate::gateway_process::GatewayProcess;
use crate::simulation::{Simulation, FIRST_BUILD};
use crate::stand_ins::{discovery_server, endpoint_list, Trace};

const ZONE: &str = "hobart";
/// The error of a skewed clock's rate, which is the drift that gateways are told.
const SKEW: f64 = 0.02;
/// The form that a mixed gateway writes and reads.
const OTHER_FORM: u8 = 2;

pub const DUTIES: [&str; 2] = ["steward", "heir"];
/// Electors at the most.
pub const ELECTORS: usize = 5;

/// What is odd about a gateway's next life.
#[derive(Clone, Copy, Default, PartialEq)]
pub struct StartOverrides {
    pub clock_rate: Option<f64>,
    pub uses_other_wire_format: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ShutdownPurpose {
    /// It was told to end, and is started again once it has.
    Restart,
    End,
}

pub struct Gateway {
    pub name: String,
    pub process: Option<GatewayProcess>,
    discovery: SocketAddr,
    // Discovery's stream lasts as long as there is somebody to speak.
    _list_sender: Sender<String>,
    pub shutdown_purpose: Option<ShutdownPurpose>,
    pub overrides: StartOverrides,
    /// Log lines on the fleet of all lives, and Unix time in seconds at which one was killed or stalled.
    pub lease_log_of_ended: Vec<String>,
    pub stopped_at_unix: Vec<f64>,
    pub stalls: Vec<(Timestamp, Option<Timestamp>)>,
    pub processor_time_us: f64,
}

pub struct ProcessGroup {
    pub program: PathBuf,
    pub folder: PathBuf,
    pub gateways: Vec<Gateway>,
    pub relay: Relay,
    pub installation: Installation,
    /// Where gateways call it.
    pub rollout_address: SocketAddr,
    pub day: Day,
    pub rng: WyRand,
    /// Lives that were killed: what they had taken is nobody's.
    pub killed: BTreeSet<(usize, u32)>,
    pub logged_violations: u64,
    pub crashes: u64,
    /// Unix time at which the run was over.
    pub ended_at_unix: f64,
}

pub fn unix_time() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
}

impl ProcessGroup {
    pub fn new(program: PathBuf, folder: PathBuf, day: &Day) -> std::io::Result<ProcessGroup> {
        let gateway = |ix: usize| {
            let (discovery, list_sender) = discovery_server(&Trace::default());
            Gateway {
                name: format!("g{ix}"),
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
        };
        let installation = Installation::start(Duration::from_millis(day.pause_ms));
        Ok(ProcessGroup {
            program,
            folder,
            gateways: (0..day.gateways).map(gateway).collect(),
            relay: Relay::start(day.gateways, day.seed)?,
            rollout_address: installation.address,
            installation,
            day: day.clone(),
            rng: WyRand::new_seed(day.seed),
            killed: BTreeSet::new(),
            logged_violations: 0,
            crashes: 0,
            ended_at_unix: 0.0,
        })
    }

    pub fn start(&mut self, simulation: &mut Simulation, ix: usize) -> Result<(), String> {
        let endpoints: Vec<Value> = simulation
            .endpoints
            .iter()
            .enumerate()
            .map(|(at, server)| {
                json!({"id": format!("s-{at}"), "host_port": server.address, "locality": ZONE, "flavor": "m",
                "cell": 0, "phase": "ready", "size": 1.0, "up_since_ms": 0, "revision_no": FIRST_BUILD})
            })
            .collect();
        let gateway = &self.gateways[ix];
        let seed = format!(
            "{:016x}",
            self.day.seed.wrapping_mul(31).wrapping_add(ix as u64)
        );
        let peer_addresses = &self.relay.doors[ix];
        let configuration = json!({"name": gateway.name, "listen": "127.0.0.1:0", "discovery": gateway.discovery,
            "seed": seed, "limits": {"memory_mb": 192, "sockets": 1024}, "peer_listen": "127.0.0.1:0",
            "peers": peer_addresses, "peers_all": peer_addresses[ix], "rollouts": {"address": self.installation.address},
            "known": endpoint_list(1, true, &endpoints), "settings": policy_settings(self.day.gateways, ix)});
        let extension_configuration = self.extension_configuration(ix);
        let extension_configuration = Some(&extension_configuration).filter(|_| !self.day.off);
        let process = GatewayProcess::start(
            &self.program,
            &self.folder,
            &gateway.name,
            &configuration,
            extension_configuration,
        )
        .map_err(|error| error.to_string())?;
        if let Some(peers) = process.gossip_address {
            self.relay.lead(ix, peers);
        }
        let client_target = &mut simulation.gateways[ix];
        (
            client_target.address,
            client_target.incarnation,
            client_target.is_alive,
            client_target.accepts_clients,
        ) = (
            Some(process.listen_address),
            client_target.incarnation + 1,
            true,
            true,
        );
        self.gateways[ix].process = Some(process);
        Ok(())
    }

    /// Gathers what a life leaves behind.
    fn collect_ended(&mut self, ix: usize) {
        let gateway = &mut self.gateways[ix];
        let Some(mut process) = gateway.process.take() else {
            return;
        };
        process.read_log();
        self.logged_violations += process.violations.len() as u64;
        process
            .violations
            .iter()
            .for_each(|line| eprintln!("{}: {line}", gateway.name));
        gateway.lease_log_of_ended.append(&mut process.lease_log);
    }

    pub fn kill(&mut self, simulation: &mut Simulation, ix: usize) {
        if self.gateways[ix].process.is_none() {
            return;
        }
        self.count_processor_time(ix);
        if let Some(process) = &mut self.gateways[ix].process {
            process.kill();
        }
        self.gateways[ix].stopped_at_unix.push(unix_time());
        self.end_stall(simulation, ix);
        self.killed
            .insert((ix, simulation.gateways[ix].incarnation));
        (
            simulation.gateways[ix].is_alive,
            simulation.gateways[ix].accepts_clients,
        ) = (false, false);
        self.collect_ended(ix);
    }

    pub fn stall(&mut self, simulation: &mut Simulation, ix: usize) {
        let now = simulation.now();
        let gateway = &mut self.gateways[ix];
        let Some(process) = gateway
            .process
            .as_mut()
            .filter(|_| gateway.shutdown_purpose.is_none())
        else {
            return;
        };
        process.signal(Signal::STOP);
        gateway.stopped_at_unix.push(unix_time());
        gateway.stalls.push((now, None));
        simulation.gateways[ix].accepts_clients = false;
    }

    fn end_stall(&mut self, simulation: &Simulation, ix: usize) {
        let open = self.gateways[ix]
            .stalls
            .last_mut()
            .filter(|s| s.1.is_none());
        open.into_iter().for_each(|s| s.1 = Some(simulation.now()));
    }

    pub fn resume(&mut self, simulation: &mut Simulation, ix: usize) {
        if let Some(process) = &self.gateways[ix].process {
            process.signal(Signal::CONT);
            simulation.gateways[ix].accepts_clients = self.gateways[ix].shutdown_purpose.is_none();
        }
        self.end_stall(simulation, ix);
    }

    /// Tells it to end in order; `observe` starts it again where that is wanted.
    pub fn shut_down(
        &mut self,
        simulation: &mut Simulation,
        ix: usize,
        shutdown_purpose: ShutdownPurpose,
    ) {
        let gateway = &mut self.gateways[ix];
        if let Some(process) = gateway
            .process
            .as_ref()
            .filter(|_| gateway.shutdown_purpose.is_none())
        {
            process.signal(Signal::TERM);
            gateway.shutdown_purpose = Some(shutdown_purpose);
            simulation.gateways[ix].accepts_clients = false;
        }
    }

    /// Whether a gateway has logged this of the fleet, in any of its lives.
    pub fn logged(&self, ix: usize, part: &str) -> bool {
        let gateway = &self.gateways[ix];
        let now = gateway.process.iter().flat_map(|p| &p.lease_log);
        gateway
            .lease_log_of_ended
            .iter()
            .chain(now)
            .any(|line| line.contains(part))
    }

    /// Who holds a duty by its own log, of those that run.
    pub fn holder(&self, duty: &str) -> Option<usize> {
        let (holds, ended) = (
            format!(" fleet: holds {duty},"),
            format!(" fleet: {duty} ended,"),
        );
        let is_holder = |gateway: &Gateway| {
            let lease_log_of_ended = gateway.process.as_ref()?.lease_log.iter().rev();
            let last = lease_log_of_ended
                .into_iter()
                .find(|l| l.contains(&holds) || l.contains(&ended))?;
            Some(last.contains(&holds))
        };
        (0..self.gateways.len()).find(|ix| is_holder(&self.gateways[*ix]) == Some(true))
    }

    fn count_processor_time(&mut self, ix: usize) {
        let used = self.gateways[ix]
            .process
            .as_ref()
            .map_or(0.0, |p| p.resource_usage().processor_time_us);
        self.gateways[ix].processor_time_us += used;
    }

    /// Hears all, and starts again those that have ended and are to come back.
    pub fn observe(&mut self, simulation: &mut Simulation) -> Result<(), String> {
        for ix in 0..self.gateways.len() {
            let gateway = &mut self.gateways[ix];
            let Some(process) = &mut gateway.process else {
                continue;
            };
            process.read_log();
            let Some(status) = process.exit_status() else {
                continue;
            };
            self.crashes += u64::from(!status.success() || gateway.shutdown_purpose.is_none());
            let shutdown_purpose = gateway.shutdown_purpose.take();
            self.collect_ended(ix);
            simulation.gateways[ix].is_alive = false;
            if shutdown_purpose == Some(ShutdownPurpose::Restart) {
                self.start(simulation, ix)?;
            }
        }
        Ok(())
    }

    /// The end of the run: nobody is stalled any more, and what was used is counted.
    pub fn shut_down_all(&mut self, simulation: &mut Simulation) -> Result<(), String> {
        self.ended_at_unix = unix_time();
        for ix in 0..self.gateways.len() {
            self.resume(simulation, ix);
            self.count_processor_time(ix);
            self.shut_down(simulation, ix, ShutdownPurpose::End);
        }
        let from = simulation.now();
        while self.gateways.iter().any(|g| g.process.is_some()) {
            self.observe(simulation)?;
            if (simulation.now() - from).as_seconds() > 20.0 {
                return Err("a gateway told to end did not: look at its log".into());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }
}
