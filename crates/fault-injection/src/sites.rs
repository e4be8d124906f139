//! The rehearsal of two sites with built gateways: faults by the seed and the switches, then what crossed the
//! sockets is checked against the rules, and set beside the same day with the link off.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::Duration;

use calloop::EventLoop;
use harrierdock_event_loop::{BufferPool, DescriptorBudget, IoContext};
use harrierdock_types::{TimeDelta, Timestamp};
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::{json, Value};

use crate::collector::Collector;
use crate::gateway_process::{gateway_program, GatewayProcess};
use crate::schedule::{Outage, SiteTime};
use crate::simulation::{
    Answer, GatewayTarget, RequestClass, ScenarioStep, Simulation, TimerEvent, CORES_PER_ENDPOINT,
    DEDUPLICATION_WINDOW, FIRST_BUILD, INITIAL_CAPACITY_RATIO, LATENCY_OBJECTIVE, MEAN_WORK,
    OVERLOAD_RATIO, OVERLOAD_WINDOW, REQUEST_TIMEOUT, SITE_NAMES, SLOW_START_DURATION,
};
use crate::stand_ins::{discovery_server, endpoint_list, Trace};

/// What is played.
#[derive(Clone, Default)]
pub struct Day {
    pub seed: u64,
    pub seconds: f64,
    pub kill: Option<SiteTime>,
    pub servers_only: bool,
    pub back_after: Option<f64>,
    pub loss: f64,
    pub one_way: bool,
    pub cut: Option<Outage>,
    pub drain: Option<SiteTime>,
    /// Gateways restarted one after another, from this second on.
    pub rolling: Option<f64>,
    pub gateways: usize,
    pub servers: usize,
    /// Requests a second that come to each site.
    pub rate: f64,
    /// How much more comes to the first site.
    pub skew: f64,
    pub spans: bool,
    /// Further steps, by their seconds.
    pub more: Vec<(f64, ScenarioStep)>,
    /// Flow export, for every other gateway.
    pub export: Option<Arc<Collector>>,
    pub told_flows: Value,
}

#[derive(Debug, Default, Serialize)]
pub struct Times {
    pub p50: f64,
    pub p99: f64,
}

#[derive(Debug, Default, Serialize)]
pub struct Report {
    pub taken: u64,
    pub answered_once: u64,
    pub answered_twice: u64,
    pub unanswered: u64,
    pub once_only_run_twice: u64,
    pub repeats_outside_memory: u64,
    pub after_drain: u64,
    pub cold_pushed_over: u64,
    pub broken_lines: u64,
    pub crashes: u64,
    pub crossed: u64,
    pub crossed_refused: u64,
    pub crossed_settled: u64,
    pub moves: u64,
    pub revenue_share: f64,
    pub revenue_share_alone: f64,
    pub revenue_ceiling: f64,
    /// Times of answers to requests that ran at the other site, and at their own.
    pub crossing_ms: Times,
    pub home_ms: Times,
    pub memory_mb: f64,
    /// Processor time a request, of the gateways that only took clients' requests, in microseconds.
    pub cpu_a_txn: f64,
    /// The same in each span between the script's marks.
    #[serde(skip)]
    pub marked: Vec<f64>,
    /// In each such span: processor time and requests of each gateway.
    #[serde(skip)]
    pub by_gateway: Vec<Vec<(f64, usize)>>,
    /// Of each gateway: the part of its requests not settled in time, their p99 in ms, its memory in MB.
    #[serde(skip)]
    pub of_gateways: Vec<(f64, f64, f64)>,
    /// What gateways with export said of it at their end.
    #[serde(skip)]
    pub last_lines: Vec<String>,
    pub round_trip_ms: f64,
    pub rig_late_ms: f64,
    pub datagrams: u64,
    pub datagrams_dropped: u64,
    pub rules_kept: bool,
    pub ok: bool,
}

fn settings(site: usize) -> Value {
    let class = |name: &str, kind: &str, worth: f64| {
        json!({"name": name, "aim": LATENCY_OBJECTIVE.0, "give_up": REQUEST_TIMEOUT.0, "idempotency": kind, "group": "all",
            "memory_span": DEDUPLICATION_WINDOW.0, "worth": worth})
    };
    json!({
        "az": SITE_NAMES[site], "azs": SITE_NAMES, "balancers": 1, "ordinal": 0, "tick": 5000,
        "classes": [class("draft", "safe", 1.0), class("payment", "keyed", 5.0), class("lodge", "unsafe", 5.0)],
        "family_info": {"exposure_caps": [1.0], "steps": [1.0], "counted_over": 2_000_000, "spare_tries": 1.0,
            "vote_life": 4_000_000, "vote_wait": 400_000, "api_rate": 600.0, "decided_by": "majority"},
        "limits": {"max_attempts": 3, "cancel": true, "may_tell": false, "retry_after": true,
            "max_retry_after": 1_000_000, "connect_timeout": 250_000, "conn_idle": 30_000_000},
        "safety": {"cold_from": INITIAL_CAPACITY_RATIO, "ramp_time": SLOW_START_DURATION.0, "fall": OVERLOAD_WINDOW.0, "fall_multiple": OVERLOAD_RATIO}})
}

struct Gateway {
    name: String,
    site: usize,
    process: Option<GatewayProcess>,
    relay: Option<usize>,
    discovery: SocketAddr,
    say: Sender<String>,
    spent: BTreeMap<&'static str, u64>,
}

struct Stage {
    folder: PathBuf,
    program: PathBuf,
    gateways: Vec<Gateway>,
    fronts: Vec<SocketAddr>,
    linked: bool,
    revision: u32,
    churned: u32,
    day: Day,
    /// Processor time and requests so far, at the points that the script marks.
    marks: Vec<(Timestamp, Vec<f64>, usize)>,
}

/// A word on a gateway's control socket.
fn say(path: &Path, word: &str) -> Option<Value> {
    let mut stream = UnixStream::connect(path).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    stream.write_all(word.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    serde_json::from_str(&answer).ok()
}

const COUNTED: [&str; 4] = ["handed_over", "refused", "settled_there", "moves"];

impl Stage {
    fn control(&self, gateway: usize) -> PathBuf {
        self.folder
            .join(format!("{}.sock", self.gateways[gateway].name))
    }

    /// What is behind a server's name once names have changed.
    fn generation(&self) -> String {
        if self.churned > 0 {
            format!("-{}", self.churned)
        } else {
            String::new()
        }
    }

    fn members(&self, simulation: &Simulation, site: usize) -> Vec<Value> {
        let of_site = simulation
            .endpoints
            .iter()
            .enumerate()
            .filter(|(_, s)| s.site == site);
        let told = of_site.map(|(ix, server)| {
            let phase = match (simulation.is_endpoint_running(ix), server.draining_since) {
                (false, _) => "gone",
                (true, Some(_)) => "draining",
                (true, None) => "ready",
            };
            let since = server.slow_start_began.map_or(0, |at| at.0 / 1000);
            json!({"id": format!("s-{ix}{}", self.generation()), "host_port": server.address, "locality": SITE_NAMES[site], "flavor": "m",
                "cell": 0, "phase": phase, "size": 1.0, "up_since_ms": since, "revision_no": server.build + self.churned / 10})
        });
        told.collect()
    }

    fn start(&mut self, simulation: &mut Simulation, ix: usize) -> Result<(), String> {
        let (name, site) = (self.gateways[ix].name.clone(), self.gateways[ix].site);
        let members = self.members(simulation, site);
        let seed = format!(
            "{:016x}",
            self.day.seed.wrapping_mul(31).wrapping_add(ix as u64)
        );
        let told = json!({"name": name, "listen": "127.0.0.1:0", "discovery": self.gateways[ix].discovery,
            "seed": seed, "limits": {"memory_mb": 192, "sockets": 1024},
            "known": endpoint_list(self.revision, true, &members), "settings": settings(site)});
        let other = self
            .gateways
            .iter()
            .enumerate()
            .filter(|(_, g)| g.site != site);
        let seeds: Vec<Value> = other
            .map(|(ix, g)| json!({"gateway": g.name, "address": self.fronts[ix]}))
            .take(2)
            .collect();
        let with = self.linked.then(|| {
            json!({"sites": {"site": SITE_NAMES[site], "listen": "127.0.0.1:0", "reached_at": self.fronts[ix],
                "other": {"site": SITE_NAMES[1 - site], "gateways": seeds},
                "keys": {"authority": "keys/authority.pem", "certificate": format!("keys/{}-{name}.pem", SITE_NAMES[site]),
                    "key": format!("keys/{}-{name}.key", SITE_NAMES[site])},
                "control": format!("{name}.sock"),
                "groups_spanning": if self.day.spans { vec!["payment"] } else { vec![] }}})
        });
        let with = if self.day.export.is_some() && ix.is_multiple_of(4) | (ix % 4 == 1) {
            let mut flows = self.day.told_flows.clone();
            flows["domain"] = json!(ix + 1);
            if let Some(folder) = self.day.told_flows["keep"].as_str() {
                let path = Path::new(folder).join(format!("{name}.ipfix"));
                flows["file"] = json!({"path": path, "most_mb": 16});
            }
            if let Some(told) = flows.as_object_mut() {
                told.remove("keep");
            }
            Some(json!({ "flows": flows }))
        } else {
            with
        };
        let process =
            GatewayProcess::start(&self.program, &self.folder, &name, &told, with.as_ref())
                .map_err(|error| error.to_string())?;
        let door = &mut simulation.gateways[ix];
        (door.address, door.incarnation, door.is_alive) =
            (Some(process.listen_address), door.incarnation + 1, true);
        if let Some((relay, links)) = self.gateways[ix].relay.zip(process.site_address) {
            simulation.set_relay_target(relay, links);
        }
        self.gateways[ix].process = Some(process);
        Ok(())
    }

    /// Adds what a gateway has counted to what its earlier lives had.
    fn count(&mut self, ix: usize) {
        let Some(status) = say(&self.control(ix), "status").filter(|_| self.linked) else {
            return;
        };
        for name in COUNTED {
            *self.gateways[ix].spent.entry(name).or_default() += status[name].as_u64().unwrap_or(0);
        }
    }

    fn kill(&mut self, simulation: &mut Simulation, ix: usize) {
        self.count(ix);
        if let Some(process) = &mut self.gateways[ix].process {
            process.kill();
        }
        simulation.gateways[ix].is_alive = false;
    }

    /// Discovery tells a site's gateways of its servers.
    fn tell(&mut self, simulation: &Simulation, site: usize) {
        self.revision += 1;
        let line = endpoint_list(self.revision, true, &self.members(simulation, site)).to_string();
        for gateway in self.gateways.iter().filter(|g| g.site == site) {
            let _ = gateway.say.send(line.clone());
        }
    }

    fn step(&mut self, simulation: &mut Simulation, step: ScenarioStep) -> Result<bool, String> {
        let now = simulation.now();
        let mut after = |seconds: f64, step: ScenarioStep| {
            let at = now + TimeDelta::from_seconds(seconds);
            let place = simulation
                .steps
                .iter()
                .position(|s| s.0 > at)
                .unwrap_or(simulation.steps.len());
            simulation.steps.insert(place, (at, step));
            simulation.timers.set(at, TimerEvent::ScenarioStep);
        };
        let of_site = |site: usize, gateways: &[Gateway]| -> Vec<usize> {
            (0..gateways.len())
                .filter(|g| gateways[*g].site == site)
                .collect()
        };
        match step {
            ScenarioStep::KillSite {
                site,
                with_gateways,
            } => {
                after(1.0, ScenarioStep::UpdateDiscovery { site });
                let servers: Vec<usize> = (0..simulation.endpoints.len())
                    .filter(|s| simulation.endpoints[*s].site == site)
                    .collect();
                servers
                    .into_iter()
                    .for_each(|ix| simulation.stop_endpoint(ix));
                if with_gateways {
                    of_site(site, &self.gateways)
                        .into_iter()
                        .for_each(|ix| self.kill(simulation, ix));
                    simulation.timers.set(
                        now + TimeDelta::from_seconds(1.0),
                        TimerEvent::GatewaysNoticed,
                    );
                }
            }
            ScenarioStep::RestoreSite { site } => {
                after(1.0, ScenarioStep::UpdateDiscovery { site });
                let servers: Vec<usize> = (0..simulation.endpoints.len())
                    .filter(|s| simulation.endpoints[*s].site == site)
                    .collect();
                servers
                    .into_iter()
                    .try_for_each(|ix| simulation.start_endpoint(ix, true))
                    .map_err(|error| error.to_string())?;
                for ix in of_site(site, &self.gateways) {
                    if !simulation.gateways[ix].is_alive {
                        self.start(simulation, ix)?;
                    }
                }
                simulation.timers.set(
                    now + TimeDelta::from_seconds(0.5),
                    TimerEvent::GatewaysNoticed,
                );
            }
            ScenarioStep::SetPathCut { is_cut } => simulation.path_faults.is_cut = is_cut,
            ScenarioStep::DrainSite { site } => {
                after(1.0, ScenarioStep::UpdateDiscovery { site });
                for ix in of_site(site, &self.gateways) {
                    if self.linked {
                        say(&self.control(ix), "drain");
                    }
                }
                // Half of its servers are drained as well, of which discovery tells a second later.
                let half: Vec<usize> = (0..simulation.endpoints.len())
                    .filter(|s| simulation.endpoints[*s].site == site)
                    .step_by(2)
                    .collect();
                let told = simulation.now() + TimeDelta::from_seconds(1.05);
                half.into_iter()
                    .for_each(|ix| simulation.endpoints[ix].draining_since = Some(told));
                if self.linked {
                    simulation.drained_since[site] = Some(simulation.now());
                }
            }
            ScenarioStep::SendCommand { site, command } => {
                for ix in of_site(site, &self.gateways) {
                    say(&self.control(ix), command);
                }
            }
            ScenarioStep::SetGatewayWeight { gateway, weight } => {
                simulation.gateways[gateway].weight = weight
            }
            ScenarioStep::RenameEndpoints => {
                self.churned += 1;
                self.tell(simulation, 0);
                self.tell(simulation, 1);
            }
            ScenarioStep::ReleaseBuild { failure_ratio } => {
                for (ix, server) in simulation.endpoints.iter_mut().enumerate() {
                    if ix % 4 >= 2 {
                        (server.build, server.failure_ratio) = (FIRST_BUILD + 1, failure_ratio);
                    }
                }
                self.tell(simulation, 0);
                self.tell(simulation, 1);
            }
            ScenarioStep::SetCollectorRunning { is_running } => {
                if let Some(collector) = &self.day.export {
                    collector.set_running(is_running);
                }
            }
            ScenarioStep::RecordUsage => {
                let ticks = self.gateways.iter().map(|g| {
                    g.process
                        .as_ref()
                        .map_or(0.0, |p| p.resource_usage().processor_time_us)
                });
                self.marks
                    .push((simulation.now(), ticks.collect(), simulation.requests.len()));
            }
            ScenarioStep::UpdateDiscovery { site } => self.tell(simulation, site),
            ScenarioStep::RestartGateway { gateway } => {
                self.kill(simulation, gateway);
                self.start(simulation, gateway)?;
                simulation.gateways[gateway].accepts_clients = true;
            }
            ScenarioStep::StopRequests => simulation.sends_requests = false,
            ScenarioStep::End => return Ok(true),
        }
        Ok(false)
    }
}

/// The part of asked priority weight that this capacity can serve at best, dearer request classes first.
fn ceiling(capacity: f64, rates: [f64; 2]) -> f64 {
    let demand: f64 = rates.iter().sum();
    let (mut left, mut served, mut asked) = (capacity, 0.0, 0.0);
    for (part, priority_weight) in [(0.4, 5.0), (0.6, 1.0)] {
        let wanted = demand * part;
        served += wanted.min(left) * priority_weight;
        left -= wanted.min(left);
        asked += wanted * priority_weight;
    }
    served / asked
}

fn times(values: &Histogram<u64>) -> Times {
    Times {
        p50: values.value_at_quantile(0.5) as f64 / 1000.0,
        p99: values.value_at_quantile(0.99) as f64 / 1000.0,
    }
}

fn folder(day: &Day, linked: bool) -> Result<PathBuf, String> {
    let name = format!(
        "harrierdock-fault-injection-{}-{}-{}",
        std::process::id(),
        day.seed,
        u8::from(linked)
    );
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    Ok(folder)
}

fn make_keys(program: &Path, folder: &Path, gateways: &[Gateway]) -> Result<(), String> {
    let run = |arguments: &[String]| {
        let output = Command::new(program)
            .arg("keys")
            .args(arguments)
            .output()
            .map_err(|e| e.to_string())?;
        let said = String::from_utf8_lossy(&output.stderr).trim().to_string();
        output.status.success().then_some(()).ok_or(said)
    };
    let keys = folder.join("keys").display().to_string();
    run(&["authority".into(), keys.clone()])?;
    let names = gateways
        .iter()
        .map(|g| format!("{}/{}", SITE_NAMES[g.site], g.name));
    run(&["issue".to_string(), keys]
        .into_iter()
        .chain(names)
        .collect::<Vec<_>>())
}

/// Plays a day once, with the link or without.
pub fn once(day: &Day, linked: bool, progress: &mut dyn FnMut(f64)) -> Result<Report, String> {
    let folder = folder(day, linked)?;
    let played = on_stage(day, linked, &folder, progress);
    if played.is_ok() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    played
}

fn on_stage(
    day: &Day,
    linked: bool,
    folder: &Path,
    progress: &mut dyn FnMut(f64),
) -> Result<Report, String> {
    let mut event_loop: EventLoop<Simulation> = EventLoop::try_new().map_err(|e| e.to_string())?;
    let net = IoContext::new(
        event_loop.handle(),
        BufferPool::new(2048),
        DescriptorBudget::new(4096, 0),
    );
    let mut simulation = Simulation::new(net, day.seed, day.spans);
    simulation.requests_per_second = [day.rate * day.skew, day.rate];
    let mut stage = Stage {
        folder: folder.into(),
        program: gateway_program().map_err(|error| error.to_string())?,
        gateways: Vec::new(),
        fronts: Vec::new(),
        linked,
        revision: 1,
        churned: 0,
        day: day.clone(),
        marks: Vec::new(),
    };
    for ix in 0..2 * day.servers {
        simulation
            .add_endpoint(ix % 2)
            .map_err(|error| error.to_string())?;
    }
    for ix in 0..2 * day.gateways {
        let (discovery, say) = discovery_server(&Trace::default());
        let name = format!("{}{}", ["h", "l"][ix % 2], ix / 2);
        let (relay, front) = (world_relay(&mut simulation, ix)?, ix % 2);
        stage.fronts.push(relay.1);
        simulation.gateways.push(GatewayTarget {
            site: front,
            address: None,
            incarnation: 0,
            is_alive: false,
            accepts_clients: false,
            weight: 1.0,
        });
        let (process, spent) = (None, BTreeMap::new());
        stage.gateways.push(Gateway {
            name,
            site: ix % 2,
            process,
            relay: Some(relay.0),
            discovery,
            say,
            spent,
        });
    }
    if linked {
        make_keys(&stage.program, folder, &stage.gateways)?;
    }
    for ix in 0..stage.gateways.len() {
        stage.start(&mut simulation, ix)?;
        simulation.gateways[ix].accepts_clients = true;
    }
    // The links come up before clients do.
    let from = simulation.now() + TimeDelta::from_seconds(1.5);
    let at = |second: f64| from + TimeDelta::from_seconds(second);
    let mut steps = vec![
        (at(day.seconds), ScenarioStep::StopRequests),
        (at(day.seconds + 2.5), ScenarioStep::End),
    ];
    if let Some(kill) = day.kill {
        steps.push((
            at(kill.second),
            ScenarioStep::KillSite {
                site: kill.site,
                with_gateways: !day.servers_only,
            },
        ));
        if let Some(after) = day.back_after {
            steps.push((
                at(kill.second + after),
                ScenarioStep::RestoreSite { site: kill.site },
            ));
        }
    }
    if let Some(cut) = day.cut {
        steps.push((
            at(cut.start_second),
            ScenarioStep::SetPathCut { is_cut: true },
        ));
        steps.push((
            at(cut.end_second()),
            ScenarioStep::SetPathCut { is_cut: false },
        ));
    }
    if let Some(drain) = day.drain {
        steps.push((
            at(drain.second),
            ScenarioStep::DrainSite { site: drain.site },
        ));
    }
    if let Some(second) = day.rolling {
        for gateway in 0..stage.gateways.len() {
            steps.push((
                at(second + 1.5 * gateway as f64),
                ScenarioStep::RestartGateway { gateway },
            ));
        }
    }
    steps.extend(
        day.more
            .iter()
            .map(|(second, step)| (at(*second), step.clone())),
    );
    steps.sort_by_key(|s| s.0);
    steps
        .iter()
        .for_each(|s| simulation.timers.set(s.0, TimerEvent::ScenarioStep));
    simulation.steps = steps.into();
    (
        simulation.path_faults.loss_ratio,
        simulation.path_faults.is_one_way,
    ) = (day.loss, day.one_way);
    simulation.sends_requests = true;
    for site in 0..2 {
        simulation.timers.set(from, TimerEvent::Arrival(site));
    }
    let mut over = false;
    let mut memory: f64 = 0.0;
    while !over {
        let wait = simulation
            .timers
            .next_deadline()
            .map(|at| simulation.io.clock.duration_until(at));
        event_loop
            .dispatch(wait, &mut simulation)
            .map_err(|e| e.to_string())?;
        for step in simulation.run_due_events() {
            over |= stage.step(&mut simulation, step)?;
        }
        progress((simulation.now() - from).as_seconds() / (day.seconds + 2.5));
    }
    let mut report = judge(day, &simulation, from);
    for ix in 0..stage.gateways.len() {
        stage.count(ix);
        let gateway = &mut stage.gateways[ix];
        if let Some(process) = &mut gateway.process {
            let usage = process.resource_usage();
            memory = memory.max(usage.memory_mb);
            report.cpu_a_txn += usage.processor_time_us;
            process.read_log();
            report.broken_lines += process.violations.len() as u64;
            report.crashes += u64::from(simulation.gateways[ix].is_alive && !process.is_running());
            process
                .violations
                .iter()
                .for_each(|line| eprintln!("{}: {line}", gateway.name));
        }
        let spent = |name: &str| gateway.spent.get(name).copied().unwrap_or(0);
        report.crossed += spent("handed_over");
        report.crossed_refused += spent("refused");
        report.crossed_settled += spent("settled_there");
        report.moves += spent("moves");
    }
    let of = |w: &[(Timestamp, Vec<f64>, usize)], g: usize| w[1].1[g] - w[0].1[g];
    for w in stage.marks.windows(2) {
        let ticks: f64 = (0..stage.gateways.len()).map(|g| of(w, g)).sum();
        report.marked.push(ticks / (w[1].2 - w[0].2).max(1) as f64);
        let of_gateway = |g: usize| {
            let txns = simulation.requests[w[0].2..w[1].2]
                .iter()
                .filter(|t| t.gateway.is_some_and(|(at, _)| at == g));
            (of(w, g), txns.count())
        };
        report
            .by_gateway
            .push((0..stage.gateways.len()).map(of_gateway).collect());
    }
    for (g, gateway) in stage.gateways.iter().enumerate() {
        let of_it = simulation
            .requests
            .iter()
            .filter(|t| t.gateway.is_some_and(|(at, _)| at == g));
        let (mut all, mut late, mut took) = (0_u64, 0_u64, Vec::new());
        for (answer, at, asked) in of_it.filter_map(|t| t.answer.map(|(a, at)| (a, at, t.sent_at)))
        {
            all += 1;
            late += u64::from(answer != Answer::Succeeded || at - asked > LATENCY_OBJECTIVE);
            took.push((at - asked).as_seconds() * 1000.0);
        }
        took.sort_by(f64::total_cmp);
        let p99 = took.get(took.len() * 99 / 100).copied().unwrap_or(0.0);
        let used = gateway
            .process
            .as_ref()
            .map_or(0.0, |p| p.resource_usage().memory_mb);
        report
            .of_gateways
            .push((late as f64 / all.max(1) as f64, p99, used));
    }
    if day.export.is_some() {
        for gateway in &mut stage.gateways {
            if let Some(process) = &mut gateway.process {
                report
                    .last_lines
                    .extend(process.shut_down().map_err(|error| error.to_string())?);
            }
        }
    }
    let trip =
        say(&stage.control(0), "status").and_then(|s| s["members"][0]["round_trip_ms"].as_f64());
    report.round_trip_ms = trip.unwrap_or(0.0);
    report.memory_mb = memory;
    report.cpu_a_txn /= report.taken.max(1) as f64;
    Ok(report)
}

fn world_relay(simulation: &mut Simulation, ix: usize) -> Result<(usize, SocketAddr), String> {
    Ok((
        ix,
        simulation
            .add_relay(ix % 2)
            .map_err(|error| error.to_string())?,
    ))
}

/// What crossed the sockets, against the rules.
fn judge(day: &Day, simulation: &Simulation, from: Timestamp) -> Report {
    let mut report = Report::default();
    let new = || {
        Histogram::<u64>::new(3)
            .unwrap_or_else(|_| Histogram::new_with_max(60_000_000, 1).expect("bounds"))
    };
    let (mut crossing, mut home) = (new(), new());
    let trouble = day
        .kill
        .map(|k| k.second)
        .into_iter()
        .chain(day.drain.map(|d| d.second));
    let start = from + TimeDelta::from_seconds(trouble.fold(0.0, f64::max) + 2.0);
    let within = |at: Timestamp| at >= start && at < start + TimeDelta::from_seconds(10.0);
    let (mut asked, mut earned) = (0.0, 0.0);
    for txn in &simulation.requests {
        if within(txn.sent_at) {
            asked += txn.class.priority_weight();
            let in_time = txn.answer.is_some_and(|(a, at)| {
                a == Answer::Succeeded && at - txn.sent_at <= LATENCY_OBJECTIVE
            });
            earned += f64::from(in_time) * txn.class.priority_weight();
        }
        // Taken is what was written whole to a gateway that lived on.
        let lived = txn.gateway.is_some_and(|(g, life)| {
            simulation.gateways[g].is_alive && simulation.gateways[g].incarnation == life
        });
        if lived {
            report.taken += 1;
            report.answered_once += u64::from(txn.answer.is_some() && !txn.is_answered_twice);
            report.unanswered += u64::from(txn.answer.is_none());
        }
        report.answered_twice += u64::from(txn.is_answered_twice);
        if txn.class == RequestClass::Lodge {
            report.once_only_run_twice += u64::from(txn.runs.len() > 1);
        }
        if let (Some((Answer::Succeeded, at)), [(site, _)]) = (txn.answer, &txn.runs[..]) {
            let took = (at - txn.sent_at).0.max(1) as u64;
            let _ = if *site == txn.site {
                home.record(took)
            } else {
                crossing.record(took)
            };
        }
    }
    report.revenue_share = if asked > 0.0 { earned / asked } else { 0.0 };
    let dead = day
        .kill
        .map(|k| k.site)
        .filter(|_| day.back_after.is_none_or(|b| b >= 12.0));
    let sites = 2.0 - f64::from(u8::from(dead.is_some()));
    let capacity = sites * day.servers as f64 * CORES_PER_ENDPOINT as f64 / MEAN_WORK.as_seconds();
    report.revenue_ceiling = ceiling(capacity, simulation.requests_per_second);
    (report.crossing_ms, report.home_ms) = (times(&crossing), times(&home));
    let found = &simulation.observations;
    report.repeats_outside_memory = found.repeats_outside_window;
    report.after_drain = found.requests_after_drain;
    report.cold_pushed_over = found.overloaded_warming_endpoints;
    report.rig_late_ms = found.largest_loop_delay.as_seconds() * 1000.0;
    (report.datagrams, report.datagrams_dropped) = (found.datagrams, found.datagrams_dropped);
    report
}

/// Plays a day with the link, then without it, and sets the two side by side.
pub fn play(day: &Day, mut progress: impl FnMut(f64)) -> Result<Report, String> {
    let mut report = once(day, true, &mut |part| progress(part / 2.0))?;
    let alone = once(day, false, &mut |part| progress(0.5 + part / 2.0))?;
    report.revenue_share_alone = alone.revenue_share;
    let r = &report;
    let broken = r.answered_twice + r.unanswered + r.once_only_run_twice + r.repeats_outside_memory;
    let broken = broken + r.after_drain + r.cold_pushed_over + r.broken_lines + r.crashes;
    report.rules_kept = broken == 0;
    report.ok = report.rules_kept && report.taken > 0;
    Ok(report)
}

/// What a crossing costs beside a request served at home, in one run.
#[derive(Debug, Default, Serialize)]
pub struct Cost {
    /// Median time of crossed requests over that of those served at home, and the link's own round trip.
    pub added_ms: f64,
    pub round_trip_ms: f64,
    pub added_over_round_trip_ms: f64,
    /// Processor time of all gateways a request while the first site's requests cross, over that while they stay.
    pub cpu_half_across_over_home: f64,
    /// The same for one request that crosses, over one that stays: half of all requests are the first site's.
    pub cpu_across_over_home: f64,
    /// Processor time a request with an idle link, over that without the file.
    pub cpu_idle_link_over_without: f64,
    pub crossed: u64,
    pub rules_kept: bool,
    pub ok: bool,
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// Drains the first site by hand and lets it come home, again and again; then plays as long without the file.
pub fn cost(
    seed: u64,
    periods: usize,
    rate: f64,
    mut progress: impl FnMut(f64),
) -> Result<Cost, String> {
    let home = SLOW_START_DURATION.as_seconds() + 1.0;
    let (spell, period) = (5.0, 2.0 * 5.0 + home + 1.0);
    let mut more = Vec::new();
    for n in 0..periods {
        let from = 1.0 + n as f64 * period;
        // Home, then across: marks at both ends of each.
        more.extend([
            (from, ScenarioStep::RecordUsage),
            (from + spell, ScenarioStep::RecordUsage),
        ]);
        more.push((
            from + spell,
            ScenarioStep::SendCommand {
                site: 0,
                command: "drain",
            },
        ));
        more.extend([
            (from + spell + 1.0, ScenarioStep::RecordUsage),
            (from + 2.0 * spell + 1.0, ScenarioStep::RecordUsage),
        ]);
        more.push((
            from + 2.0 * spell + 1.0,
            ScenarioStep::SendCommand {
                site: 0,
                command: "resume",
            },
        ));
    }
    let seconds = 1.0 + periods as f64 * period;
    let day = Day {
        seed,
        seconds,
        gateways: 2,
        servers: 4,
        rate,
        skew: 1.0,
        spans: true,
        more,
        ..Day::default()
    };
    let with = once(&day, true, &mut |part| progress(part / 2.0))?;
    let without = once(&day, false, &mut |part| progress(0.5 + part / 2.0))?;
    // Spans in turn: home, settling, across, coming home.
    let every = |report: &Report, first: usize| {
        report
            .marked
            .iter()
            .skip(first)
            .step_by(4)
            .copied()
            .collect()
    };
    let (at_home, across) = (median(every(&with, 0)), median(every(&with, 2)));
    let added = with.crossing_ms.p50 - with.home_ms.p50;
    let ratio = across / at_home;
    let kept =
        with.unanswered + with.answered_twice + with.once_only_run_twice + with.broken_lines == 0;
    Ok(Cost {
        added_ms: added,
        round_trip_ms: with.round_trip_ms,
        added_over_round_trip_ms: added - with.round_trip_ms,
        cpu_half_across_over_home: ratio,
        cpu_across_over_home: 2.0 * ratio - 1.0,
        cpu_idle_link_over_without: at_home / median(every(&without, 0)),
        crossed: with.crossed,
        rules_kept: kept,
        ok: kept && with.crossed > 0,
    })
}
