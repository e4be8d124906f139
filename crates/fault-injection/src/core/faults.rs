//! What goes wrong, by the seed.

use harrierdock_multi_site::{Event, OperatorCommand};
use nanorand::Rng;

use super::event::SimulatedEvent;
use super::simulation::{site, NetworkSimulation};

impl NetworkSimulation {
    pub(super) fn kill(&mut self, ix: usize) {
        self.gateways[ix].multi_site = None;
        let ends: Vec<u64> = self
            .paths
            .iter()
            .filter(|(_, e)| e.0 == ix || e.1 == ix)
            .map(|(no, _)| *no)
            .collect();
        for path in ends {
            self.close_path(path, ix, false);
        }
        let back = self.draw_span(100_000, 3_000_000);
        self.schedule(back, SimulatedEvent::GatewayStarted { gateway: ix });
    }

    pub(super) fn inject_fault(&mut self) {
        if self.now >= self.faults_end {
            (self.loss_ratio, self.is_cut, self.lacks_endpoints) = (0.0, [false; 2], [false; 2]);
            for ix in 0..self.gateways.len() {
                if std::mem::take(&mut self.gateways[ix].is_drained) {
                    self.deliver(ix, Event::OperatorCommand(OperatorCommand::Resume));
                }
                self.deliver(ix, Event::EndpointsUpdated { ready: 4 });
            }
            return;
        }
        let which = self.rng.generate_range(0..2_usize);
        let some = self.rng.generate_range(0..self.gateways.len());
        match self.rng.generate_range(0..9_u32) {
            0 => self.loss_ratio = [0.0, 0.1, 0.3][self.rng.generate_range(0..3_usize)],
            1 => self.is_cut[which] = !self.is_cut[which],
            2 => {
                self.is_cut = if self.is_cut[0] {
                    [false; 2]
                } else {
                    [true; 2]
                }
            }
            3 if self.gateways[some].multi_site.is_some() => self.kill(some),
            4 => {
                for ix in (0..self.gateways.len())
                    .filter(|ix| site(*ix) == which)
                    .collect::<Vec<_>>()
                {
                    if self.gateways[ix].multi_site.is_some() {
                        self.kill(ix);
                    }
                }
            }
            5 => {
                self.lacks_endpoints[which] = !self.lacks_endpoints[which];
                let ready = if self.lacks_endpoints[which] { 0 } else { 4 };
                for ix in (0..self.gateways.len())
                    .filter(|ix| site(*ix) == which)
                    .collect::<Vec<_>>()
                {
                    self.deliver(ix, Event::EndpointsUpdated { ready });
                }
            }
            6 if self.gateways[some].multi_site.is_some() => {
                let is_drained = !self.gateways[some].is_drained;
                self.gateways[some].is_drained = is_drained;
                self.deliver(
                    some,
                    Event::OperatorCommand(if is_drained {
                        OperatorCommand::Drain
                    } else {
                        OperatorCommand::Resume
                    }),
                );
            }
            _ => {}
        }
        let next = self.draw_span(200_000, 1_500_000);
        self.schedule(next, SimulatedEvent::InjectFault);
    }
}
