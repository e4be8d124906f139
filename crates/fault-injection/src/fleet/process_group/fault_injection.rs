//! What befalls the gateways of a fleet.

use std::time::Duration;

use nanorand::Rng;

use super::{ProcessGroup, ShutdownPurpose, SKEW};
use crate::fleet::faults::Kind;
use crate::simulation::Simulation;

impl ProcessGroup {
    /// The gateway that the installation last saw act, seven times in ten; else any.
    fn draw_target(&mut self) -> usize {
        let any = self.rng.generate_range(0..self.gateways.len());
        let last = self.installation.calls().last().map(|c| c.gateway.clone());
        let holder = self
            .gateways
            .iter()
            .position(|g| Some(&g.name) == last.as_ref());
        holder
            .filter(|_| self.rng.generate::<f64>() < 0.7)
            .unwrap_or(any)
    }

    /// Nothing passes any more into these from all others, or out of them.
    pub fn cut_off(&self, inside: &[usize], inward: bool, outward: bool) {
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
    pub fn inject_fault(&mut self, simulation: &mut Simulation, kind: Kind) -> Vec<usize> {
        let all = self.gateways.len();
        let first = self.draw_target();
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
                let (both, heard) = (kind != Kind::CutOneWay, self.rng.generate::<bool>());
                self.cut_off(&inside, both || heard, both || !heard);
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
                let fast = self.rng.generate::<bool>();
                self.gateways[first].overrides.clock_rate =
                    Some(if fast { 1.0 + SKEW } else { 1.0 - SKEW });
                self.shut_down(simulation, first, ShutdownPurpose::Restart);
                vec![first]
            }
            Kind::Mixed => {
                let half: Vec<usize> = (0..all).step_by(2).collect();
                half.iter()
                    .for_each(|ix| self.gateways[*ix].overrides.uses_other_wire_format = true);
                half
            }
            Kind::Restart => (0..all).collect(),
        }
    }

    /// A fault ends.
    pub fn end_fault(
        &mut self,
        simulation: &mut Simulation,
        kind: Kind,
        whom: &[usize],
    ) -> Result<(), String> {
        match kind {
            Kind::Stall => whom.iter().for_each(|ix| self.resume(simulation, *ix)),
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
                self.gateways[*ix].overrides.clock_rate = None;
                self.shut_down(simulation, *ix, ShutdownPurpose::Restart);
            }),
            Kind::Mixed => whom
                .iter()
                .for_each(|ix| self.gateways[*ix].overrides.uses_other_wire_format = false),
            Kind::Restart => {}
        }
        Ok(())
    }
}
