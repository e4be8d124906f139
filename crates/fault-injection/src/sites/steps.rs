//! Executes the steps of a scenario on gateways, endpoints and clients.

use harrierdock_types::TimeDelta;

use super::error::SitesError;
use super::harness::{endpoints_of_site, TestHarness, UsageSample};
use crate::simulation::{ScenarioStep, Simulation, TimerEvent, FIRST_BUILD};

/// How long discovery takes to publish a change.
const DISCOVERY_DELAY: TimeDelta = TimeDelta(1_000_000);
/// From the start of a drain until discovery has notified the gateways, with a margin of 50 ms.
const DRAIN_NOTIFICATION_DELAY: TimeDelta = TimeDelta(1_050_000);
/// How long clients take to detect that gateways were killed.
const KILL_DETECTION_DELAY: TimeDelta = TimeDelta(1_000_000);
/// How long clients take to detect that gateways were started.
const START_DETECTION_DELAY: TimeDelta = TimeDelta(500_000);

/// Whether the scenario continues after a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    Continues,
    Ended,
}

impl TestHarness {
    pub(super) fn execute_step(
        &mut self,
        simulation: &mut Simulation,
        step: ScenarioStep,
    ) -> Result<Progress, SitesError> {
        match step {
            ScenarioStep::KillSite {
                site,
                with_gateways,
            } => self.kill_site(simulation, site, with_gateways),
            ScenarioStep::RestoreSite { site } => self.restore_site(simulation, site)?,
            ScenarioStep::SetPathCut { is_cut } => simulation.path_faults.is_cut = is_cut,
            ScenarioStep::DrainSite { site } => self.drain_site(simulation, site),
            ScenarioStep::SendCommand { site, command } => self.command_site(site, command),
            ScenarioStep::SetGatewayWeight { gateway, weight } => {
                simulation.gateways[gateway].weight = weight;
            }
            ScenarioStep::RenameEndpoints => self.rename_endpoints(simulation),
            ScenarioStep::ReleaseBuild { failure_ratio } => {
                self.release_build(simulation, failure_ratio);
            }
            ScenarioStep::SetCollectorRunning { is_running } => {
                if let Some(flow_export) = &self.scenario.flow_export {
                    flow_export.collector.set_running(is_running);
                }
            }
            ScenarioStep::RecordUsage => self.record_usage(simulation),
            ScenarioStep::UpdateDiscovery { site } => self.publish_endpoints(simulation, site),
            ScenarioStep::RestartGateway { gateway } => {
                self.kill(simulation, gateway);
                self.start(simulation, gateway)?;
                simulation.gateways[gateway].accepts_clients = true;
            }
            ScenarioStep::StopRequests => simulation.sends_requests = false,
            ScenarioStep::End => return Ok(Progress::Ended),
        }
        Ok(Progress::Continues)
    }

    fn kill_site(&mut self, simulation: &mut Simulation, site: usize, with_gateways: bool) {
        let now = simulation.now();
        schedule_discovery_update(simulation, site);
        for endpoint in endpoints_of_site(simulation, site) {
            simulation.stop_endpoint(endpoint);
        }
        if !with_gateways {
            return;
        }
        for gateway in self.gateways_of_site(site) {
            self.kill(simulation, gateway);
        }
        let detected_at = now + KILL_DETECTION_DELAY;
        simulation
            .timers
            .set(detected_at, TimerEvent::ClientTargetsUpdated);
    }

    fn restore_site(&mut self, simulation: &mut Simulation, site: usize) -> Result<(), SitesError> {
        let now = simulation.now();
        schedule_discovery_update(simulation, site);
        for endpoint in endpoints_of_site(simulation, site) {
            simulation.start_endpoint(endpoint, true)?;
        }
        for gateway in self.gateways_of_site(site) {
            if !simulation.gateways[gateway].is_alive {
                self.start(simulation, gateway)?;
            }
        }
        let detected_at = now + START_DETECTION_DELAY;
        simulation
            .timers
            .set(detected_at, TimerEvent::ClientTargetsUpdated);
        Ok(())
    }

    fn drain_site(&mut self, simulation: &mut Simulation, site: usize) {
        schedule_discovery_update(simulation, site);
        if self.is_linked {
            self.command_site(site, "drain");
        }
        // Half of the site's endpoints drain as well, which discovery publishes after `DISCOVERY_DELAY`.
        let notified_at = simulation.now() + DRAIN_NOTIFICATION_DELAY;
        for endpoint in endpoints_of_site(simulation, site).into_iter().step_by(2) {
            simulation.endpoints[endpoint].draining_since = Some(notified_at);
        }
        if self.is_linked {
            simulation.drained_since[site] = Some(simulation.now());
        }
    }

    fn command_site(&self, site: usize, command: &str) {
        for gateway in self.gateways_of_site(site) {
            self.send_command(gateway, command);
        }
    }

    fn rename_endpoints(&mut self, simulation: &Simulation) {
        self.rename_count += 1;
        self.publish_all_endpoints(simulation);
    }

    /// Deploys the next build to half of each site's endpoints. Endpoints alternate between the sites, so every other pair is
    /// half of each site.
    fn release_build(&mut self, simulation: &mut Simulation, failure_ratio: f64) {
        for pair in simulation.endpoints.chunks_mut(2).skip(1).step_by(2) {
            for endpoint in pair {
                endpoint.build = FIRST_BUILD + 1;
                endpoint.failure_ratio = failure_ratio;
            }
        }
        self.publish_all_endpoints(simulation);
    }

    fn publish_all_endpoints(&mut self, simulation: &Simulation) {
        self.publish_endpoints(simulation, 0);
        self.publish_endpoints(simulation, 1);
    }

    fn record_usage(&mut self, simulation: &Simulation) {
        let processor_time_us = self
            .gateways
            .iter()
            .map(|gateway| gateway.process.as_ref())
            .map(|process| process.map_or(0.0, |p| p.resource_usage().processor_time_us))
            .collect();
        self.usage_samples.push(UsageSample {
            processor_time_us,
            request_count: simulation.requests.len(),
        });
    }
}

/// Schedules discovery to send a site's endpoint list after [`DISCOVERY_DELAY`].
fn schedule_discovery_update(simulation: &mut Simulation, site: usize) {
    let at = simulation.now() + DISCOVERY_DELAY;
    let later = simulation.steps.iter().position(|(time, _)| *time > at);
    let position = later.unwrap_or(simulation.steps.len());
    let step = ScenarioStep::UpdateDiscovery { site };
    simulation.steps.insert(position, (at, step));
    simulation.timers.set(at, TimerEvent::ScenarioStep);
}
