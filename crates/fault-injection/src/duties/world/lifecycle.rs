//! Processes that end and start anew.

use harrierdock_lease::{Event, LeaseManager, LeaseName};
use harrierdock_types::TimeDelta;
use nanorand::Rng;

use super::{Happening, NodeIx, World, DUTIES, UNIX};

impl World {
    pub(super) fn start(&mut self, node: NodeIx) {
        if self.alive(node) {
            return;
        }
        let incarnation = UNIX.saturating_add_signed(self.now.0 / 1000 + self.nodes[node].unix_off);
        let (terms, clock, seed) = (self.terms(node), self.clock(node), self.chance.generate());
        self.nodes[node].fleet = Some(LeaseManager::new(terms, incarnation, seed, clock));
        (self.nodes[node].ending, self.nodes[node].still_until) = (false, self.now);
        for duty in DUTIES {
            // A circle is of a tenth of the fleet, and of five at the least.
            if !matches!(duty, LeaseName::Aggregator(_))
                || node.is_multiple_of((self.nodes.len() / 5).clamp(1, 10))
            {
                self.give(
                    node,
                    Event::CandidacyChanged {
                        lease: duty,
                        wanted: true,
                    },
                );
            }
        }
    }

    /// Ends a process without a word; it starts anew so much later.
    pub fn kill(&mut self, node: NodeIx, back: Option<TimeDelta>) {
        self.end(node);
        if let Some(back) = back {
            self.add(self.now + back, Happening::Start { node });
        }
    }

    pub(super) fn end(&mut self, node: NodeIx) {
        let n = &mut self.nodes[node];
        n.fleet = None;
        n.life += 1;
        for believers in self.believers.values_mut() {
            believers.remove(&node);
        }
        for duty in DUTIES {
            self.mark(duty, node, false);
        }
    }

    /// Ends a process in order, and starts it anew.
    pub fn restart(&mut self, node: NodeIx, back: Option<TimeDelta>) {
        let life = self.nodes[node].life;
        if self.nodes[node].ending || !self.alive(node) {
            return;
        }
        self.nodes[node].ending = true;
        self.give(node, Event::ShutdownStarted);
        self.add(
            self.now + TimeDelta::from_seconds(0.3),
            Happening::Exit { node, life },
        );
        if let Some(back) = back {
            self.add(
                self.now + TimeDelta::from_seconds(0.3) + back,
                Happening::Start { node },
            );
        }
    }
}
