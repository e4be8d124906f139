//! What befalls the gateways of a fleet.

use std::time::Duration;

use nanorand::Rng;

use super::{Crew, Ending, SKEW};
use crate::fleet::faults::Kind;
use crate::simulation::Simulation;

impl Crew {
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
}
