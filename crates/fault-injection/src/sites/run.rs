//! Runs a scenario once.

use std::path::Path;

use calloop::EventLoop;
use harrierdock_event_loop::{BufferPool, DescriptorBudget, IoContext};
use harrierdock_types::{TimeDelta, Timestamp};

use super::error::SitesError;
use super::harness::TestHarness;
use super::report::Report;
use super::rules::check_rules;
use super::scenario::Scenario;
use super::steps::Progress;
use super::timeline::{timeline, total_seconds};
use super::usage::add_usage;
use crate::run_folder::RunFolder;
use crate::simulation::{Simulation, TimerEvent};

const BUFFERS: usize = 2048;
const DESCRIPTORS: usize = 4096;
/// Time from the start of the gateways to the start of the clients, in which the links between the sites come up.
const LINK_UP_TIME: TimeDelta = TimeDelta(1_500_000);

/// Runs a scenario once, with or without the link between the sites. Keeps the files of a failed run.
///
/// # Errors
///
/// A gateway does not start, or a socket or file can't be opened.
pub fn run_scenario(
    scenario: &Scenario,
    is_linked: bool,
    progress: &mut dyn FnMut(f64),
) -> Result<Report, SitesError> {
    let label = format!("{}-{}", scenario.seed, u8::from(is_linked));
    let mut folder = RunFolder::create("harrierdock-fault-injection", &label)?;
    let report = run_in_folder(scenario, is_linked, folder.path(), progress);
    if report.is_err() {
        folder.keep();
    }
    report
}

fn run_in_folder(
    scenario: &Scenario,
    is_linked: bool,
    folder: &Path,
    progress: &mut dyn FnMut(f64),
) -> Result<Report, SitesError> {
    let mut event_loop: EventLoop<'static, Simulation> = EventLoop::try_new()?;
    let mut simulation = new_simulation(scenario, &event_loop)?;
    let mut harness = TestHarness::new(scenario, is_linked, folder, &mut simulation)?;
    for gateway in 0..harness.gateways.len() {
        harness.start(&mut simulation, gateway)?;
        simulation.gateways[gateway].accepts_clients = true;
    }
    let start = simulation.now() + LINK_UP_TIME;
    schedule(scenario, start, &mut simulation);
    run_until_end(&mut event_loop, &mut simulation, &mut harness, &mut |now| {
        progress((now - start).as_seconds() / total_seconds(scenario));
    })?;
    let mut report = check_rules(scenario, &simulation, start);
    add_usage(&mut report, &mut harness, &simulation)?;
    Ok(report)
}

/// Creates a simulation with the endpoints and the path between the sites, without gateways.
fn new_simulation(
    scenario: &Scenario,
    event_loop: &EventLoop<'static, Simulation>,
) -> Result<Simulation, SitesError> {
    let io = IoContext::new(
        event_loop.handle(),
        BufferPool::new(BUFFERS, DESCRIPTORS),
        DescriptorBudget::new(DESCRIPTORS, 0),
    );
    let mut simulation = Simulation::new(io, scenario.seed, scenario.shares_idempotency_group);
    simulation.requests_per_second = [
        scenario.requests_per_second * scenario.first_site_load_ratio,
        scenario.requests_per_second,
    ];
    simulation.path_faults.loss_ratio = scenario.loss_ratio;
    simulation.path_faults.is_one_way = scenario.is_one_way;
    for index in 0..2 * scenario.endpoints_per_site {
        simulation.add_endpoint(index % 2)?;
    }
    Ok(simulation)
}

/// Sets the timers of all steps, and of the first request at each site.
fn schedule(scenario: &Scenario, start: Timestamp, simulation: &mut Simulation) {
    simulation.steps = timeline(scenario, start).into();
    for (at, _) in &simulation.steps {
        simulation.timers.set(*at, TimerEvent::ScenarioStep);
    }
    simulation.sends_requests = true;
    for site in 0..2 {
        simulation.timers.set(start, TimerEvent::Arrival(site));
    }
}

/// Runs the event loop until the scenario's last step.
fn run_until_end(
    event_loop: &mut EventLoop<'static, Simulation>,
    simulation: &mut Simulation,
    harness: &mut TestHarness,
    progress: &mut dyn FnMut(Timestamp),
) -> Result<(), SitesError> {
    let mut has_ended = false;
    while !has_ended {
        let deadline = simulation.timers.next_deadline();
        let wait = deadline.map(|at| simulation.io.clock.duration_until(at));
        event_loop.dispatch(wait, simulation)?;
        for step in simulation.handle_expired_timers() {
            has_ended |= harness.execute_step(simulation, step)? == Progress::Ended;
        }
        progress(simulation.now());
    }
    Ok(())
}
