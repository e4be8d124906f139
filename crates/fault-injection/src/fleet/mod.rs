//! The rehearsal of one fleet: built gateways that share duties, with faults between them by the seed. The rules are
//! judged by what those saw who were acted on; how fast it went is told and not judged.

mod error;
pub mod faults;
pub mod process_group;
pub mod relay;
mod report;
pub mod rollout_stand_in;

use std::path::{Path, PathBuf};

use calloop::EventLoop;
use harrierdock_event_loop::{BufferPool, DescriptorBudget, IoContext};
use harrierdock_types::{TimeDelta, Timestamp};
use nanorand::WyRand;

use crate::gateway_process::gateway_program;
use crate::run_folder::RunFolder;
use crate::simulation::{GatewayTarget, Simulation, TimerEvent};
pub use error::FleetError;
pub use report::Report;

use faults::{Fault, FaultKind};
use process_group::{ProcessGroup, ShutdownPurpose};

/// What is played.
#[derive(Clone)]
pub struct Scenario {
    pub seed: u64,
    pub gateways: usize,
    pub duration_seconds: f64,
    /// Drawn by the seed where none is named.
    pub faults: Vec<Fault>,
    pub endpoints: usize,
    /// Requests a second.
    pub requests_per_second: f64,
    pub lease_ms: u32,
    pub heartbeat_ms: u32,
    /// How long after a wave was moved the next stage is told.
    pub stage_pause_ms: u64,
    /// Gateways are told of no fleet: what all this costs is the difference.
    pub without_leases: bool,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            seed: 1,
            gateways: 5,
            duration_seconds: 12.0,
            faults: Vec::new(),
            endpoints: 4,
            requests_per_second: 60.0,
            lease_ms: 1000,
            heartbeat_ms: 250,
            stage_pause_ms: 100,
            without_leases: false,
        }
    }
}

/// What the script does next.
#[derive(Clone, Copy)]
enum Step {
    Begin(usize),
    End(usize),
    /// A tenth of all gateways is restarted in order: those whose number leaves this rest, so that electors, which
    /// have low numbers, are not restarted together.
    Restart(usize, usize),
    StopArrivals,
    Over,
}

pub fn run_scenario(scenario: &Scenario, progress: impl FnMut(f64)) -> Result<Report, FleetError> {
    let folder = RunFolder::create("harrierdock-lease", &scenario.seed.to_string())?;
    run_in_folder(scenario, folder.path(), progress)
}

/// A fleet with its servers and clients, on one loop.
pub struct FleetRun {
    event_loop: EventLoop<'static, Simulation>,
    pub simulation: Simulation,
    pub group: ProcessGroup,
}

/// How often gateways are looked after at the least.
const NAP: TimeDelta = TimeDelta(20_000);

impl FleetRun {
    /// All but the gateways stand.
    ///
    /// # Errors
    /// No sockets are to be had.
    pub fn new(
        scenario: &Scenario,
        program: PathBuf,
        folder: &Path,
    ) -> Result<FleetRun, FleetError> {
        let event_loop: EventLoop<Simulation> = EventLoop::try_new()?;
        let net = IoContext::new(
            event_loop.handle(),
            BufferPool::new(2048),
            DescriptorBudget::new(4096, 0),
        );
        let mut simulation = Simulation::new(net, scenario.seed, true);
        simulation.requests_per_second = [scenario.requests_per_second, 0.0];
        (0..scenario.endpoints).try_for_each(|_| simulation.add_endpoint(0))?;
        simulation.gateways = vec![GatewayTarget::not_started(0); scenario.gateways];
        let group = ProcessGroup::new(program, folder.into(), scenario)?;
        Ok(FleetRun {
            event_loop,
            simulation,
            group,
        })
    }

    /// Starts all gateways, and clients a lease later: until then electors are silent.
    ///
    /// # Errors
    /// A gateway does not start.
    pub fn start(&mut self) -> Result<Timestamp, FleetError> {
        (0..self.group.gateways.len())
            .try_for_each(|ix| self.group.start(&mut self.simulation, ix))?;
        let from =
            self.simulation.now() + TimeDelta(i64::from(self.group.scenario.lease_ms) * 1000);
        self.simulation.sends_requests = true;
        self.simulation.timers.set(from, TimerEvent::Arrival(0));
        Ok(from)
    }

    /// Does what is due, and waits for what comes, up to this point at the most.
    ///
    /// # Errors
    /// The loop fails, or a gateway does not start again.
    pub fn run_once(&mut self, until: Timestamp) -> Result<(), FleetError> {
        let wait = until.min(self.simulation.now() + NAP);
        let wait = self
            .simulation
            .timers
            .next_deadline()
            .map_or(wait, |due| due.min(wait));
        let wait = self.simulation.io.clock.duration_until(wait);
        self.event_loop.dispatch(wait, &mut self.simulation)?;
        self.simulation.handle_expired_timers();
        self.group.observe(&mut self.simulation)
    }
}

/// How many tenths there are, each of one gateway at the least.
fn batches(scenario: &Scenario) -> usize {
    scenario.gateways.div_ceil(scenario.gateways.div_ceil(10))
}

fn script(scenario: &Scenario, faults: &[Fault], from: Timestamp) -> Vec<(Timestamp, Step)> {
    let at = |second: f64| from + TimeDelta::from_seconds(second);
    let mut steps = vec![
        (at(scenario.duration_seconds), Step::StopArrivals),
        (at(scenario.duration_seconds + 2.2), Step::Over),
    ];
    for (ix, fault) in faults.iter().enumerate() {
        let (begin, end) = (
            fault.second,
            (fault.second + fault.seconds).min(scenario.duration_seconds),
        );
        steps.push((at(begin), Step::Begin(ix)));
        steps.push((at(end), Step::End(ix)));
        // Restarts go through the fleet within the fault's time; another form comes by restarts, and goes so.
        let rolls: Vec<f64> = match fault.kind {
            FaultKind::Restart => vec![begin],
            FaultKind::Mixed => vec![begin, end],
            _ => vec![],
        };
        for roll in rolls {
            let batches = batches(scenario);
            for batch in 0..batches {
                let second = roll + 0.01 + fault.seconds * batch as f64 / batches as f64;
                steps.push((
                    at(second.min(scenario.duration_seconds)),
                    Step::Restart(ix, batch),
                ));
            }
        }
    }
    steps.sort_by_key(|s| s.0);
    steps
}

fn run_in_folder(
    scenario: &Scenario,
    folder: &Path,
    mut progress: impl FnMut(f64),
) -> Result<Report, FleetError> {
    let faults = match &scenario.faults[..] {
        [] => faults::draw(
            &mut WyRand::new_seed(scenario.seed ^ 0x4641_554c_5453),
            scenario.duration_seconds,
        ),
        told => told.to_vec(),
    };
    let mut run = FleetRun::new(scenario, gateway_program()?, folder)?;
    let from = run.start()?;
    let mut steps = script(scenario, &faults, from).into_iter().peekable();
    let mut whom = vec![Vec::new(); faults.len()];
    let batches = batches(scenario);
    loop {
        run.run_once(steps.peek().map_or(from, |s| s.0))?;
        let FleetRun {
            simulation, group, ..
        } = &mut run;
        let now = simulation.now();
        progress((now - from).as_seconds() / (scenario.duration_seconds + 2.2));
        let Some((_, step)) = steps.next_if(|s| s.0 <= now) else {
            continue;
        };
        match step {
            Step::Begin(ix) => whom[ix] = group.inject_fault(simulation, faults[ix].kind),
            Step::End(ix) => group.end_fault(simulation, faults[ix].kind, &whom[ix])?,
            Step::Restart(ix, batch) => {
                let some = (batch..scenario.gateways).step_by(batches);
                some.filter(|g| whom[ix].contains(g))
                    .for_each(|g| group.shut_down(simulation, g, ShutdownPurpose::Restart));
            }
            Step::StopArrivals => simulation.sends_requests = false,
            Step::Over => break,
        }
    }
    let FleetRun {
        mut simulation,
        mut group,
        ..
    } = run;
    let ran = (simulation.now() - from).as_seconds();
    group.shut_down_all(&mut simulation)?;
    let told: Vec<String> = faults.iter().map(Fault::to_string).collect();
    Ok(report::build_report(
        scenario,
        &group,
        &simulation,
        told,
        ran,
    ))
}
