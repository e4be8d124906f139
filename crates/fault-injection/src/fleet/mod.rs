//! Fault injection for one fleet: built gateways that share leases, with faults drawn from the seed. The verdict depends
//! on what the clients, the endpoints and the deployment controller observed. Durations are reported, but no rule limits them.

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

/// Parameters of a run.
#[derive(Clone)]
pub struct Scenario {
    pub seed: u64,
    pub gateways: usize,
    /// How long clients send requests.
    pub duration_seconds: f64,
    /// The faults to inject; if empty, two or three are drawn from the seed.
    pub faults: Vec<Fault>,
    pub endpoints: usize,
    pub requests_per_second: f64,
    pub lease_ms: u32,
    pub heartbeat_ms: u32,
    /// Time from the move of a rollout stage to the announcement of the next stage.
    pub stage_pause_ms: u64,
    /// Runs the gateways without a `fleet` section, to compare the cost of leases.
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

/// A step of the timeline. Faults are identified by their index.
#[derive(Clone, Copy)]
enum Step {
    InjectFault(usize),
    EndFault(usize),
    /// Restarts about a tenth of the gateways: those whose index modulo the batch count is `batch`. Electors have low indexes,
    /// so they are not restarted together.
    RestartBatch {
        fault: usize,
        batch: usize,
    },
    StopRequests,
    EndRun,
}

/// Runs a scenario in a temporary folder. Calls `progress` with the elapsed share of the run, from 0 to 1.
///
/// # Errors
/// A gateway, socket or folder can't be set up, or a gateway does not shut down in time.
pub fn run_scenario(scenario: &Scenario, progress: impl FnMut(f64)) -> Result<Report, FleetError> {
    let folder = RunFolder::create("harrierdock-lease", &scenario.seed.to_string())?;
    run_in_folder(scenario, folder.path(), progress)
}

/// A fleet with its endpoints and clients, driven by one event loop.
pub struct FleetRun {
    event_loop: EventLoop<'static, Simulation>,
    pub simulation: Simulation,
    pub group: ProcessGroup,
}

/// How often the gateways' logs and exit statuses are read.
const OBSERVE_INTERVAL: TimeDelta = TimeDelta(20_000);
const BUFFERS: usize = 2048;
const DESCRIPTORS: usize = 4096;
/// Time between the last request and the end of the run, in which answers can still arrive.
const ANSWER_WAIT_SECONDS: f64 = 2.2;
/// Time from the start of a fault to the first restart that it causes, so that the fault is injected before the restart.
const RESTART_OFFSET_SECONDS: f64 = 0.01;
/// Combined with the run's seed, so that the draws of faults are independent of the simulation's draws.
const FAULT_SEED: u64 = 0x4641_554c_5453;

impl FleetRun {
    /// Sets up the endpoints, the stand-ins and the relay; gateways are not started.
    ///
    /// # Errors
    /// A socket can't be opened.
    pub fn new(
        scenario: &Scenario,
        program: PathBuf,
        folder: &Path,
    ) -> Result<FleetRun, FleetError> {
        let event_loop: EventLoop<Simulation> = EventLoop::try_new()?;
        let io = IoContext::new(
            event_loop.handle(),
            BufferPool::new(BUFFERS, DESCRIPTORS),
            DescriptorBudget::new(DESCRIPTORS, 0),
        );
        let mut simulation = Simulation::new(io, scenario.seed, true);
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

    /// Starts all gateways, and the clients one lease duration later, because electors grant no lease before then.
    /// Returns when the clients start.
    ///
    /// # Errors
    /// A gateway does not start.
    pub fn start(&mut self) -> Result<Timestamp, FleetError> {
        (0..self.group.gateways.len())
            .try_for_each(|index| self.group.start(&mut self.simulation, index))?;
        let start =
            self.simulation.now() + TimeDelta(i64::from(self.group.scenario.lease_ms) * 1000);
        self.simulation.sends_requests = true;
        self.simulation.timers.set(start, TimerEvent::Arrival(0));
        Ok(start)
    }

    /// Dispatches the event loop once, at most until `until` or the next observation. Then handles expired timers and observes
    /// the gateways.
    ///
    /// # Errors
    /// The event loop fails, or a gateway does not restart.
    pub fn run_once(&mut self, until: Timestamp) -> Result<(), FleetError> {
        let deadline = until.min(self.simulation.now() + OBSERVE_INTERVAL);
        let deadline = self
            .simulation
            .timers
            .next_deadline()
            .map_or(deadline, |expiry| expiry.min(deadline));
        let wait = self.simulation.io.clock.duration_until(deadline);
        self.event_loop.dispatch(wait, &mut self.simulation)?;
        self.simulation.handle_expired_timers();
        self.group.observe(&mut self.simulation)
    }
}

/// Number of batches in a rolling restart: at most ten, with at least one gateway each.
fn batch_count(scenario: &Scenario) -> usize {
    scenario.gateways.div_ceil(scenario.gateways.div_ceil(10))
}

/// Returns all steps of a run, sorted by time. `start` is when clients start.
fn timeline(scenario: &Scenario, faults: &[Fault], start: Timestamp) -> Vec<(Timestamp, Step)> {
    let at = |second: f64| start + TimeDelta::from_seconds(second);
    let mut steps = vec![
        (at(scenario.duration_seconds), Step::StopRequests),
        (
            at(scenario.duration_seconds + ANSWER_WAIT_SECONDS),
            Step::EndRun,
        ),
    ];
    for (index, fault) in faults.iter().enumerate() {
        let (begin, end) = (
            fault.start_second,
            (fault.start_second + fault.duration_seconds).min(scenario.duration_seconds),
        );
        steps.push((at(begin), Step::InjectFault(index)));
        steps.push((at(end), Step::EndFault(index)));
        // A rolling restart lasts as long as the fault. `Mixed` needs one at its start and one at its end.
        let restart_seconds: Vec<f64> = match fault.kind {
            FaultKind::Restart => vec![begin],
            FaultKind::Mixed => vec![begin, end],
            _ => vec![],
        };
        for restart_second in restart_seconds {
            let batches = batch_count(scenario);
            for batch in 0..batches {
                let second = restart_second
                    + RESTART_OFFSET_SECONDS
                    + fault.duration_seconds * batch as f64 / batches as f64;
                steps.push((
                    at(second.min(scenario.duration_seconds)),
                    Step::RestartBatch {
                        fault: index,
                        batch,
                    },
                ));
            }
        }
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}

fn run_in_folder(
    scenario: &Scenario,
    folder: &Path,
    mut progress: impl FnMut(f64),
) -> Result<Report, FleetError> {
    let faults = match &scenario.faults[..] {
        [] => faults::draw_faults(
            &mut WyRand::new_seed(scenario.seed ^ FAULT_SEED),
            scenario.duration_seconds,
        ),
        given => given.to_vec(),
    };
    let mut run = FleetRun::new(scenario, gateway_program()?, folder)?;
    let start = run.start()?;
    let mut steps = timeline(scenario, &faults, start).into_iter().peekable();
    let mut affected_gateways = vec![Vec::new(); faults.len()];
    let batches = batch_count(scenario);
    loop {
        run.run_once(steps.peek().map_or(start, |(at, _)| *at))?;
        let FleetRun {
            simulation, group, ..
        } = &mut run;
        let now = simulation.now();
        progress((now - start).as_seconds() / (scenario.duration_seconds + ANSWER_WAIT_SECONDS));
        let Some((_, step)) = steps.next_if(|(at, _)| *at <= now) else {
            continue;
        };
        match step {
            Step::InjectFault(fault) => {
                affected_gateways[fault] = group.inject_fault(simulation, faults[fault].kind)
            }
            Step::EndFault(fault) => {
                group.end_fault(simulation, faults[fault].kind, &affected_gateways[fault])?
            }
            Step::RestartBatch { fault, batch } => {
                let members = (batch..scenario.gateways).step_by(batches);
                members
                    .filter(|gateway| affected_gateways[fault].contains(gateway))
                    .for_each(|gateway| {
                        group.shut_down(simulation, gateway, ShutdownPurpose::Restart)
                    });
            }
            Step::StopRequests => simulation.sends_requests = false,
            Step::EndRun => break,
        }
    }
    let FleetRun {
        mut simulation,
        mut group,
        ..
    } = run;
    let run_seconds = (simulation.now() - start).as_seconds();
    group.shut_down_all(&mut simulation)?;
    let fault_names: Vec<String> = faults.iter().map(Fault::to_string).collect();
    Ok(report::build_report(
        scenario,
        &group,
        &simulation,
        fault_names,
        run_seconds,
    ))
}
