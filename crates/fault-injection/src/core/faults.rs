//! Injects faults drawn from the seed, and removes all of them at the end.

use harrierdock_multi_site::{Event, OperatorCommand, PathId};
use nanorand::Rng;

use super::event::SimulatedEvent;
use super::simulation::{NetworkSimulation, READY_ENDPOINTS};

const LOSS_RATIOS: [f64; 3] = [0.0, 0.1, 0.3];
/// Number of equally likely draws: seven faults, and two draws without a fault.
const FAULT_DRAWS: u32 = 9;
/// Range of the interval between two faults, in microseconds.
const SHORTEST_FAULT_INTERVAL_US: i64 = 200_000;
const LONGEST_FAULT_INTERVAL_US: i64 = 1_500_000;
/// Range of the time for which a killed gateway is down, in microseconds.
const SHORTEST_DOWNTIME_US: i64 = 100_000;
const LONGEST_DOWNTIME_US: i64 = 3_000_000;

impl NetworkSimulation {
    /// Injects a fault and schedules the next one, or removes all faults after `faults_end`.
    pub(super) fn inject_fault(&mut self) {
        if self.now >= self.faults_end {
            return self.remove_faults();
        }
        let site = self.rng.generate_range(0..2_usize);
        let gateway = self.rng.generate_range(0..self.gateways.len());
        match self.rng.generate_range(0..FAULT_DRAWS) {
            0 => self.loss_ratio = LOSS_RATIOS[self.rng.generate_range(0..LOSS_RATIOS.len())],
            1 => self.is_cut[site] = !self.is_cut[site],
            2 => self.is_cut = [!self.is_cut[0]; 2],
            3 => self.kill(gateway),
            4 => {
                for gateway in self.gateways_of_site(site) {
                    self.kill(gateway);
                }
            }
            5 => self.toggle_endpoints(site),
            6 => self.toggle_drain(gateway),
            _ => {}
        }
        let interval = self.draw_span(SHORTEST_FAULT_INTERVAL_US, LONGEST_FAULT_INTERVAL_US);
        self.schedule(interval, SimulatedEvent::FaultTimerFired);
    }

    fn remove_faults(&mut self) {
        self.loss_ratio = 0.0;
        self.is_cut = [false; 2];
        self.lacks_endpoints = [false; 2];
        for gateway in 0..self.gateways.len() {
            if std::mem::take(&mut self.gateways[gateway].is_drained) {
                self.deliver(gateway, Event::OperatorCommand(OperatorCommand::Resume));
            }
            let ready = READY_ENDPOINTS;
            self.deliver(gateway, Event::EndpointsUpdated { ready });
        }
    }

    /// Kills a running gateway, closes its paths, and schedules its restart.
    fn kill(&mut self, gateway: usize) {
        if !self.is_running(gateway) {
            return;
        }
        self.gateways[gateway].multi_site = None;
        let paths: Vec<PathId> = self
            .paths
            .iter()
            .filter(|(_, (opener, peer))| *opener == gateway || *peer == gateway)
            .map(|(path, _)| *path)
            .collect();
        for path in paths {
            self.close_path(path, gateway, false);
        }
        let downtime = self.draw_span(SHORTEST_DOWNTIME_US, LONGEST_DOWNTIME_US);
        self.schedule(downtime, SimulatedEvent::GatewayStarted { gateway });
    }

    /// Removes all endpoints of a site, or restores them.
    fn toggle_endpoints(&mut self, site: usize) {
        self.lacks_endpoints[site] = !self.lacks_endpoints[site];
        let ready = if self.lacks_endpoints[site] {
            0
        } else {
            READY_ENDPOINTS
        };
        for gateway in self.gateways_of_site(site) {
            self.deliver(gateway, Event::EndpointsUpdated { ready });
        }
    }

    /// Drains a running gateway by an operator command, or resumes it.
    fn toggle_drain(&mut self, gateway: usize) {
        if !self.is_running(gateway) {
            return;
        }
        let is_drained = !self.gateways[gateway].is_drained;
        self.gateways[gateway].is_drained = is_drained;
        let command = if is_drained {
            OperatorCommand::Drain
        } else {
            OperatorCommand::Resume
        };
        self.deliver(gateway, Event::OperatorCommand(command));
    }
}
