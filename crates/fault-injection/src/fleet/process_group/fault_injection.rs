//! Injects faults into the gateways of a fleet, and ends them.

use std::time::Duration;

use nanorand::Rng;

use super::{ProcessGroup, ShutdownPurpose, SKEW};
use crate::fleet::error::FleetError;
use crate::fleet::faults::FaultKind;
use crate::fleet::relay::DatagramFaults;
use crate::simulation::Simulation;

/// Probability that a fault hits the gateway that sent the last rollout command, which is probably the lease holder.
const HOLDER_PROBABILITY: f64 = 0.7;
const SLOW_DATAGRAM_DELAY: Duration = Duration::from_millis(250);
/// Shares of all datagrams during [`FaultKind::Slow`].
const LOSS_RATIO: f64 = 0.1;
const DUPLICATION_RATIO: f64 = 0.1;
const REORDERING_RATIO: f64 = 0.1;
const CORRUPTION_RATIO: f64 = 0.05;

/// The directions in which datagrams between a partitioned part of a fleet and the rest are dropped.
#[derive(Clone, Copy)]
struct DroppedDirections {
    inward: bool,
    outward: bool,
}

impl ProcessGroup {
    /// Draws the gateway that a fault hits: with [`HOLDER_PROBABILITY`] the sender of the last rollout command, else any gateway.
    fn draw_target(&mut self) -> usize {
        let any_gateway = self.rng.generate_range(0..self.gateways.len());
        let last_command = self.rollout_stand_in.commands().pop();
        let holder = last_command.and_then(|command| {
            let mut names = self.gateways.iter().map(|gateway| &gateway.name);
            names.position(|name| *name == command.gateway)
        });
        match holder {
            Some(holder) if self.rng.generate::<f64>() < HOLDER_PROBABILITY => holder,
            _ => any_gateway,
        }
    }

    /// Drops the datagrams that these gateways receive from all others (inward), or send to them (outward).
    pub fn cut_off(&self, inside: &[usize], inward: bool, outward: bool) {
        let outside: Vec<usize> = (0..self.gateways.len())
            .filter(|gateway| !inside.contains(gateway))
            .collect();
        self.relay.update_faults(|faults| {
            for inner in inside {
                for outer in &outside {
                    faults
                        .dropped_pairs
                        .extend(inward.then_some((*outer, *inner)));
                    faults
                        .dropped_pairs
                        .extend(outward.then_some((*inner, *outer)));
                }
            }
        });
    }

    /// Starts a fault, and returns the gateways that it affects.
    pub fn inject_fault(&mut self, simulation: &mut Simulation, kind: FaultKind) -> Vec<usize> {
        let gateway_count = self.gateways.len();
        let target = self.draw_target();
        let following = |count: usize| -> Vec<usize> {
            let gateways = (target..).take(count);
            gateways.map(|gateway| gateway % gateway_count).collect()
        };
        match kind {
            FaultKind::Stall => self.stall(simulation, target),
            FaultKind::Kill => self.kill(simulation, target),
            FaultKind::KillMost => {
                let majority = following(gateway_count / 2 + 1);
                for gateway in &majority {
                    self.kill(simulation, *gateway);
                }
                return majority;
            }
            FaultKind::Cut | FaultKind::CutHalf | FaultKind::CutOneWay => {
                let count = if kind == FaultKind::CutHalf {
                    gateway_count / 2
                } else {
                    1
                };
                let inside = following(count);
                let dropped = self.draw_directions(kind);
                self.cut_off(&inside, dropped.inward, dropped.outward);
                return inside;
            }
            FaultKind::Slow => self.relay.update_faults(|faults| {
                faults.delays.insert(target, SLOW_DATAGRAM_DELAY);
                set_datagram_faults(faults);
            }),
            FaultKind::Skew => self.skew_clock(simulation, target),
            FaultKind::Mixed => {
                let half: Vec<usize> = (0..gateway_count).step_by(2).collect();
                self.set_wire_format(&half, true);
                return half;
            }
            FaultKind::Restart => return (0..gateway_count).collect(),
        }
        vec![target]
    }

    /// Returns both directions, or a random direction for [`FaultKind::CutOneWay`].
    fn draw_directions(&mut self, kind: FaultKind) -> DroppedDirections {
        let is_inward = self.rng.generate::<bool>();
        let drops_both = kind != FaultKind::CutOneWay;
        DroppedDirections {
            inward: drops_both || is_inward,
            outward: drops_both || !is_inward,
        }
    }

    /// Restarts a gateway with a clock that runs fast or slow.
    fn skew_clock(&mut self, simulation: &mut Simulation, gateway: usize) {
        let is_fast = self.rng.generate::<bool>();
        let clock_rate = if is_fast { 1.0 + SKEW } else { 1.0 - SKEW };
        self.gateways[gateway].overrides.clock_rate = Some(clock_rate);
        self.shut_down(simulation, gateway, ShutdownPurpose::Restart);
    }

    fn set_wire_format(&mut self, gateways: &[usize], uses_other: bool) {
        for gateway in gateways {
            let overrides = &mut self.gateways[*gateway].overrides;
            overrides.uses_other_wire_format = uses_other;
        }
    }

    /// Ends a fault that affected these gateways.
    ///
    /// # Errors
    ///
    /// A killed gateway does not restart.
    pub fn end_fault(
        &mut self,
        simulation: &mut Simulation,
        kind: FaultKind,
        gateways: &[usize],
    ) -> Result<(), FleetError> {
        match kind {
            FaultKind::Stall => {
                for gateway in gateways {
                    self.resume(simulation, *gateway);
                }
            }
            FaultKind::Kill | FaultKind::KillMost => {
                for gateway in gateways {
                    if self.gateways[*gateway].process.is_none() {
                        self.start(simulation, *gateway)?;
                    }
                }
            }
            // Also ends other partitions between these gateways and the rest.
            FaultKind::Cut | FaultKind::CutHalf | FaultKind::CutOneWay => {
                self.relay.update_faults(|faults| {
                    faults
                        .dropped_pairs
                        .retain(|(from, to)| gateways.contains(from) == gateways.contains(to));
                })
            }
            FaultKind::Slow => self.relay.update_faults(clear_datagram_faults),
            FaultKind::Skew => {
                for gateway in gateways {
                    self.gateways[*gateway].overrides.clock_rate = None;
                    self.shut_down(simulation, *gateway, ShutdownPurpose::Restart);
                }
            }
            FaultKind::Mixed => self.set_wire_format(gateways, false),
            FaultKind::Restart => {}
        }
        Ok(())
    }
}

fn set_datagram_faults(faults: &mut DatagramFaults) {
    faults.loss_ratio = LOSS_RATIO;
    faults.duplication_ratio = DUPLICATION_RATIO;
    faults.reordering_ratio = REORDERING_RATIO;
    faults.corruption_ratio = CORRUPTION_RATIO;
}

fn clear_datagram_faults(faults: &mut DatagramFaults) {
    faults.delays.clear();
    faults.loss_ratio = 0.0;
    faults.duplication_ratio = 0.0;
    faults.reordering_ratio = 0.0;
    faults.corruption_ratio = 0.0;
}
