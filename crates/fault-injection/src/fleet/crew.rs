//! The gateways of one fleet as processes, and what befalls them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::Sender;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use harrierdock_types::Timestamp;
use nanorand::{Rng, WyRand};
use rustix::process::Signal;
use serde_json::{json, Value};

use super::faults::Kind;
use super::installation::{Installation, STAGES};
use super::relay::Relay;
use super::Day;
use crate::gateway_process::GatewayProcess;
use crate::simulation::{
    Simulation, DEDUPLICATION_WINDOW, FIRST_BUILD, INITIAL_CAPACITY_RATIO, LATENCY_OBJECTIVE,
    OVERLOAD_RATIO, OVERLOAD_WINDOW, REQUEST_TIMEOUT, SLOW_START_DURATION,
};
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
pub struct Odd {
    pub rate: Option<f64>,
    pub other_form: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// It was told to end, and is started again once it has.
    Restarts,
    Ends,
}

pub struct Gateway {
    pub name: String,
    pub process: Option<GatewayProcess>,
    discovery: SocketAddr,
    // Discovery's stream lasts as long as there is somebody to speak.
    _say: Sender<String>,
    pub ending: Option<Ending>,
    pub odd: Odd,
    /// Log lines on the fleet of all lives, and Unix time in seconds at which one was killed or stalled.
    pub lines: Vec<String>,
    pub stops: Vec<f64>,
    pub stalls: Vec<(Timestamp, Option<Timestamp>)>,
    pub cpu: f64,
}

pub struct Crew {
    pub program: PathBuf,
    pub folder: PathBuf,
    pub gateways: Vec<Gateway>,
    pub relay: Relay,
    pub installation: Installation,
    /// Where gateways call it.
    pub called_at: SocketAddr,
    pub day: Day,
    pub chance: WyRand,
    /// Lives that were killed: what they had taken is nobody's.
    pub killed: BTreeSet<(usize, u32)>,
    pub broken: u64,
    pub crashes: u64,
    /// Unix time at which the run was over.
    pub over_at: f64,
}

pub fn unix() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
}

fn settings(gateways: usize, ordinal: usize) -> Value {
    let class = |name: &str, kind: &str, worth: f64| {
        json!({"name": name, "aim": LATENCY_OBJECTIVE.0, "give_up": REQUEST_TIMEOUT.0, "idempotency": kind, "group": "all",
            "memory_span": DEDUPLICATION_WINDOW.0, "worth": worth})
    };
    json!({
        "az": ZONE, "azs": [ZONE], "balancers": gateways, "ordinal": ordinal, "tick": 5000,
        "classes": [class("draft", "safe", 1.0), class("payment", "keyed", 5.0), class("lodge", "unsafe", 5.0)],
        "family_info": {"exposure_caps": vec![1.0; STAGES], "steps": vec![1.0; STAGES], "counted_over": 2_000_000,
            "spare_tries": 1.0, "vote_life": 4_000_000, "vote_wait": 400_000, "api_rate": 600.0,
            "decided_by": "majority"},
        "limits": {"max_attempts": 3, "cancel": true, "may_tell": true, "retry_after": true,
            "max_retry_after": 1_000_000, "connect_timeout": 250_000, "conn_idle": 30_000_000},
        "safety": {"cold_from": INITIAL_CAPACITY_RATIO, "ramp_time": SLOW_START_DURATION.0, "fall": OVERLOAD_WINDOW.0, "fall_multiple": OVERLOAD_RATIO}})
}

impl Crew {
    pub fn new(program: PathBuf, folder: PathBuf, day: &Day) -> std::io::Result<Crew> {
        let gateway = |ix: usize| {
            let (discovery, say) = discovery_server(&Trace::default());
            Gateway {
                name: format!("g{ix}"),
                process: None,
                discovery,
                _say: say,
                ending: None,
                odd: Odd::default(),
                lines: Vec::new(),
                stops: Vec::new(),
                stalls: Vec::new(),
                cpu: 0.0,
            }
        };
        let installation = Installation::start(Duration::from_millis(day.pause_ms));
        Ok(Crew {
            program,
            folder,
            gateways: (0..day.gateways).map(gateway).collect(),
            relay: Relay::start(day.gateways, day.seed)?,
            called_at: installation.address,
            installation,
            day: day.clone(),
            chance: WyRand::new_seed(day.seed),
            killed: BTreeSet::new(),
            broken: 0,
            crashes: 0,
            over_at: 0.0,
        })
    }

    /// The file of our own of one gateway.
    pub fn with(&self, ix: usize) -> Value {
        let names: Vec<&str> = self.gateways.iter().map(|g| g.name.as_str()).collect();
        let electors = &names[..names.len().min(ELECTORS)];
        let mut fleet = json!({"gateways": names, "electorate": electors, "lease_ms": self.day.lease_ms,
            "heartbeat_ms": self.day.heartbeat_ms, "drift": SKEW, "duties": DUTIES,
            "steward": {"installation": self.called_at, "bound_ms": 10_000}});
        let Odd { rate, other_form } = self.gateways[ix].odd;
        if rate.is_some() || other_form {
            let form = if other_form { OTHER_FORM } else { 1 };
            fleet["rehearsal"] = json!({"form": form, "clock_rate": rate.unwrap_or(1.0)});
        }
        json!({ "fleet": fleet })
    }

    pub fn start(&mut self, simulation: &mut Simulation, ix: usize) -> Result<(), String> {
        let members: Vec<Value> = simulation
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
        let doors = &self.relay.doors[ix];
        let told = json!({"name": gateway.name, "listen": "127.0.0.1:0", "discovery": gateway.discovery,
            "seed": seed, "limits": {"memory_mb": 192, "sockets": 1024}, "peer_listen": "127.0.0.1:0",
            "peers": doors, "peers_all": doors[ix], "rollouts": {"address": self.installation.address},
            "known": endpoint_list(1, true, &members), "settings": settings(self.day.gateways, ix)});
        let with = self.with(ix);
        let with = Some(&with).filter(|_| !self.day.off);
        let process =
            GatewayProcess::start(&self.program, &self.folder, &gateway.name, &told, with)
                .map_err(|error| error.to_string())?;
        if let Some(peers) = process.gossip_address {
            self.relay.lead(ix, peers);
        }
        let door = &mut simulation.gateways[ix];
        (
            door.address,
            door.incarnation,
            door.is_alive,
            door.accepts_clients,
        ) = (
            Some(process.listen_address),
            door.incarnation + 1,
            true,
            true,
        );
        self.gateways[ix].process = Some(process);
        Ok(())
    }

    /// Gathers what a life leaves behind.
    fn bury(&mut self, ix: usize) {
        let gateway = &mut self.gateways[ix];
        let Some(mut process) = gateway.process.take() else {
            return;
        };
        process.read_log();
        self.broken += process.violations.len() as u64;
        process
            .violations
            .iter()
            .for_each(|line| eprintln!("{}: {line}", gateway.name));
        gateway.lines.append(&mut process.lease_log);
    }

    pub fn kill(&mut self, simulation: &mut Simulation, ix: usize) {
        if self.gateways[ix].process.is_none() {
            return;
        }
        self.count(ix);
        if let Some(process) = &mut self.gateways[ix].process {
            process.kill();
        }
        self.gateways[ix].stops.push(unix());
        self.resume_mark(simulation, ix);
        self.killed
            .insert((ix, simulation.gateways[ix].incarnation));
        (
            simulation.gateways[ix].is_alive,
            simulation.gateways[ix].accepts_clients,
        ) = (false, false);
        self.bury(ix);
    }

    pub fn stall(&mut self, simulation: &mut Simulation, ix: usize) {
        let now = simulation.now();
        let gateway = &mut self.gateways[ix];
        let Some(process) = gateway
            .process
            .as_mut()
            .filter(|_| gateway.ending.is_none())
        else {
            return;
        };
        process.signal(Signal::STOP);
        gateway.stops.push(unix());
        gateway.stalls.push((now, None));
        simulation.gateways[ix].accepts_clients = false;
    }

    fn resume_mark(&mut self, simulation: &Simulation, ix: usize) {
        let open = self.gateways[ix]
            .stalls
            .last_mut()
            .filter(|s| s.1.is_none());
        open.into_iter().for_each(|s| s.1 = Some(simulation.now()));
    }

    pub fn go_on(&mut self, simulation: &mut Simulation, ix: usize) {
        if let Some(process) = &self.gateways[ix].process {
            process.signal(Signal::CONT);
            simulation.gateways[ix].accepts_clients = self.gateways[ix].ending.is_none();
        }
        self.resume_mark(simulation, ix);
    }

    /// Tells it to end in order; `look` starts it again where that is wanted.
    pub fn end(&mut self, simulation: &mut Simulation, ix: usize, ending: Ending) {
        let gateway = &mut self.gateways[ix];
        if let Some(process) = gateway
            .process
            .as_ref()
            .filter(|_| gateway.ending.is_none())
        {
            process.signal(Signal::TERM);
            gateway.ending = Some(ending);
            simulation.gateways[ix].accepts_clients = false;
        }
    }

    /// Whether a gateway has logged this of the fleet, in any of its lives.
    pub fn logged(&self, ix: usize, part: &str) -> bool {
        let gateway = &self.gateways[ix];
        let now = gateway.process.iter().flat_map(|p| &p.lease_log);
        gateway
            .lines
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
        let holding = |gateway: &Gateway| {
            let lines = gateway.process.as_ref()?.lease_log.iter().rev();
            let last = lines
                .into_iter()
                .find(|l| l.contains(&holds) || l.contains(&ended))?;
            Some(last.contains(&holds))
        };
        (0..self.gateways.len()).find(|ix| holding(&self.gateways[*ix]) == Some(true))
    }

    fn count(&mut self, ix: usize) {
        let used = self.gateways[ix]
            .process
            .as_ref()
            .map_or(0.0, |p| p.resource_usage().processor_time_us);
        self.gateways[ix].cpu += used;
    }

    /// Hears all, and starts again those that have ended and are to come back.
    pub fn look(&mut self, simulation: &mut Simulation) -> Result<(), String> {
        for ix in 0..self.gateways.len() {
            let gateway = &mut self.gateways[ix];
            let Some(process) = &mut gateway.process else {
                continue;
            };
            process.read_log();
            let Some(status) = process.exit_status() else {
                continue;
            };
            self.crashes += u64::from(!status.success() || gateway.ending.is_none());
            let ending = gateway.ending.take();
            self.bury(ix);
            simulation.gateways[ix].is_alive = false;
            if ending == Some(Ending::Restarts) {
                self.start(simulation, ix)?;
            }
        }
        Ok(())
    }

    /// The gateway that the installation last saw act, seven times in ten; else any.
    fn target(&mut self) -> usize {
        let any = self.chance.generate_range(0..self.gateways.len());
        let last = self.installation.calls().last().map(|c| c.gateway.clone());
        let holder = self
            .gateways
            .iter()
            .position(|g| Some(&g.name) == last.as_ref());
        holder
            .filter(|_| self.chance.generate::<f64>() < 0.7)
            .unwrap_or(any)
    }

    /// Nothing passes any more into these from all others, or out of them.
    pub fn cut(&self, inside: &[usize], inward: bool, outward: bool) {
        let all = self.gateways.len();
        self.relay.change(|now| {
            let pairs = inside.iter().flat_map(|a| (0..all).map(move |b| (*a, b)));
            for (a, b) in pairs.filter(|(_, b)| !inside.contains(b)) {
                now.cut.extend(inward.then_some((b, a)));
                now.cut.extend(outward.then_some((a, b)));
            }
        });
    }

    /// A fault begins. Gives back whom it befalls.
    pub fn befall(&mut self, simulation: &mut Simulation, kind: Kind) -> Vec<usize> {
        let all = self.gateways.len();
        let first = self.target();
        let others =
            |from: usize, many: usize| (0..many).map(|n| (from + n) % all).collect::<Vec<usize>>();
        match kind {
            Kind::Stall => {
                self.stall(simulation, first);
                vec![first]
            }
            Kind::Kill => {
                self.kill(simulation, first);
                vec![first]
            }
            Kind::KillMost => {
                let most = others(first, all / 2 + 1);
                most.iter().for_each(|ix| self.kill(simulation, *ix));
                most
            }
            Kind::Cut | Kind::CutHalf | Kind::CutOneWay => {
                let inside = others(first, if kind == Kind::CutHalf { all / 2 } else { 1 });
                let (both, heard) = (kind != Kind::CutOneWay, self.chance.generate::<bool>());
                self.cut(&inside, both || heard, both || !heard);
                inside
            }
            Kind::Slow => {
                self.relay.change(|now| {
                    now.slow.insert(first, Duration::from_millis(250));
                    (now.lost, now.doubled, now.overtaken, now.garbled) = (0.1, 0.1, 0.1, 0.05);
                });
                vec![first]
            }
            Kind::Skew => {
                let fast = self.chance.generate::<bool>();
                self.gateways[first].odd.rate = Some(if fast { 1.0 + SKEW } else { 1.0 - SKEW });
                self.end(simulation, first, Ending::Restarts);
                vec![first]
            }
            Kind::Mixed => {
                let half: Vec<usize> = (0..all).step_by(2).collect();
                half.iter()
                    .for_each(|ix| self.gateways[*ix].odd.other_form = true);
                half
            }
            Kind::Restart => (0..all).collect(),
        }
    }

    /// A fault ends.
    pub fn relent(
        &mut self,
        simulation: &mut Simulation,
        kind: Kind,
        whom: &[usize],
    ) -> Result<(), String> {
        match kind {
            Kind::Stall => whom.iter().for_each(|ix| self.go_on(simulation, *ix)),
            Kind::Kill | Kind::KillMost => {
                for ix in whom {
                    if self.gateways[*ix].process.is_none() {
                        self.start(simulation, *ix)?;
                    }
                }
            }
            // Whatever else is cut between these is over as well.
            Kind::Cut | Kind::CutHalf | Kind::CutOneWay => self.relay.change(|now| {
                now.cut
                    .retain(|(a, b)| whom.contains(a) == whom.contains(b));
            }),
            Kind::Slow => self.relay.change(|now| {
                now.slow.clear();
                (now.lost, now.doubled, now.overtaken, now.garbled) = (0.0, 0.0, 0.0, 0.0);
            }),
            Kind::Skew => whom.iter().for_each(|ix| {
                self.gateways[*ix].odd.rate = None;
                self.end(simulation, *ix, Ending::Restarts);
            }),
            Kind::Mixed => whom
                .iter()
                .for_each(|ix| self.gateways[*ix].odd.other_form = false),
            Kind::Restart => {}
        }
        Ok(())
    }

    /// The end of the run: nobody is stalled any more, and what was used is counted.
    pub fn close(&mut self, simulation: &mut Simulation) -> Result<(), String> {
        self.over_at = unix();
        for ix in 0..self.gateways.len() {
            self.go_on(simulation, ix);
            self.count(ix);
            self.end(simulation, ix, Ending::Ends);
        }
        let from = simulation.now();
        while self.gateways.iter().any(|g| g.process.is_some()) {
            self.look(simulation)?;
            if (simulation.now() - from).as_seconds() > 20.0 {
                return Err("a gateway told to end did not: look at its log".into());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }
}
