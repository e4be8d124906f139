//! What goes wrong, by the seed.

use harrierdock_multi_site::{Event, OperatorCommand};
use nanorand::Rng;

use super::happening::Happening;
use super::world::{site, World};

impl World {
    pub(super) fn kill(&mut self, ix: usize) {
        self.gateways[ix].sites = None;
        let ends: Vec<u64> = self
            .links
            .iter()
            .filter(|(_, e)| e.0 == ix || e.1 == ix)
            .map(|(no, _)| *no)
            .collect();
        for link in ends {
            self.hang_up(link, ix, false);
        }
        let back = self.span(100_000, 3_000_000);
        self.after(back, Happening::Start { gateway: ix });
    }

    pub(super) fn trouble(&mut self) {
        if self.now >= self.trouble_until {
            (self.loss, self.cut, self.vanished) = (0.0, [false; 2], [false; 2]);
            for ix in 0..self.gateways.len() {
                if std::mem::take(&mut self.gateways[ix].drained) {
                    self.tell(ix, Event::OperatorCommand(OperatorCommand::Resume));
                }
                self.tell(ix, Event::EndpointsUpdated { ready: 4 });
            }
            return;
        }
        let which = self.chance.generate_range(0..2_usize);
        let some = self.chance.generate_range(0..self.gateways.len());
        match self.chance.generate_range(0..9_u32) {
            0 => self.loss = [0.0, 0.1, 0.3][self.chance.generate_range(0..3_usize)],
            1 => self.cut[which] = !self.cut[which],
            2 => self.cut = if self.cut[0] { [false; 2] } else { [true; 2] },
            3 if self.gateways[some].sites.is_some() => self.kill(some),
            4 => {
                for ix in (0..self.gateways.len())
                    .filter(|ix| site(*ix) == which)
                    .collect::<Vec<_>>()
                {
                    if self.gateways[ix].sites.is_some() {
                        self.kill(ix);
                    }
                }
            }
            5 => {
                self.vanished[which] = !self.vanished[which];
                let ready = if self.vanished[which] { 0 } else { 4 };
                for ix in (0..self.gateways.len())
                    .filter(|ix| site(*ix) == which)
                    .collect::<Vec<_>>()
                {
                    self.tell(ix, Event::EndpointsUpdated { ready });
                }
            }
            6 if self.gateways[some].sites.is_some() => {
                let drained = !self.gateways[some].drained;
                self.gateways[some].drained = drained;
                self.tell(
                    some,
                    Event::OperatorCommand(if drained {
                        OperatorCommand::Drain
                    } else {
                        OperatorCommand::Resume
                    }),
                );
            }
            _ => {}
        }
        let next = self.span(200_000, 1_500_000);
        self.after(next, Happening::Trouble);
    }
}
