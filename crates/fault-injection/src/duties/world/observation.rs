//! Who believes to hold a duty, and what comes of it.

use std::collections::BTreeMap;

use harrierdock_lease::{Epoch, Event, LeaseName};
use harrierdock_types::TimeDelta;
use nanorand::Rng;

use super::{Happening, NodeIx, Turn, World, ACTS, DUTIES};

impl World {
    /// A holding that overlaps another does so from the moment one of both begins or is renewed: then it is
    /// seen.
    pub(super) fn judge(&mut self, node: NodeIx) {
        for duty in DUTIES {
            let Some(epoch) = self.acting(node, duty) else {
                continue;
            };
            let others = self
                .believers
                .get(&duty)
                .into_iter()
                .flat_map(BTreeMap::keys);
            let two = others
                .filter(|other| **other != node && self.acting(**other, duty).is_some())
                .count();
            self.two_holders += two as u64;
            let newest = self.newest.entry(duty).or_insert((epoch, node));
            if epoch < newest.0 || (epoch == newest.0 && node != newest.1) {
                self.epochs_back += 1;
            }
            *newest = (*newest).max((epoch, node));
        }
    }

    pub(super) fn mark(&mut self, duty: LeaseName, node: NodeIx, held: bool) {
        let last = self
            .turns
            .iter()
            .rev()
            .find(|t| t.duty == duty && t.node == node);
        if last.is_some_and(|t| t.held) != held {
            self.turns.push(Turn {
                at: self.now,
                duty,
                node,
                held,
            });
        }
    }

    pub(super) fn act(&mut self) {
        let all: Vec<(LeaseName, NodeIx)> = self
            .believers
            .iter()
            .flat_map(|(d, b)| b.keys().map(|n| (*d, *n)))
            .collect();
        for (duty, node) in all {
            match self.acting(node, duty) {
                None => self.mark(duty, node, false),
                // A process that stands still acts when it goes on; one that stops between its check and its
                // act sends the act late, which is up to the guard.
                Some(_) if self.nodes[node].still_until > self.now => {}
                Some(epoch) => {
                    self.mark(duty, node, true);
                    let paused = if self.chance.generate::<f64>() < 0.02 {
                        4.0
                    } else {
                        0.01
                    };
                    let delay = TimeDelta::from_seconds(paused * self.chance.generate::<f64>());
                    self.add(self.now + delay, Happening::Arrives { duty, epoch, node });
                }
            }
        }
        self.add(self.now + ACTS, Happening::Acts);
    }

    pub(super) fn arrives(&mut self, duty: LeaseName, epoch: Epoch, node: NodeIx) {
        self.acts += 1;
        if self.guard.admit(duty, epoch).is_err() {
            self.refused += 1;
            if let (Some(newest), true) = (self.guard.newest(duty), self.alive(node)) {
                self.give(
                    node,
                    Event::EpochRejected {
                        lease: duty,
                        newest,
                    },
                );
            }
            return;
        }
        let admitted = self.admitted.insert(duty, (epoch, node));
        if admitted.is_some_and(|(e, n)| e > epoch || (e == epoch && n != node)) {
            self.guard_saw_two += 1;
        }
    }
}
