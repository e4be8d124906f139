//! Who believes to hold a duty, and what comes of it.

use std::collections::BTreeMap;

use harrierdock_lease::{Epoch, Event, LeaseName};
use harrierdock_types::TimeDelta;
use nanorand::Rng;

use super::{GatewayIndex, HoldingChange, LeaseSimulation, SimulatedEvent, ACT_INTERVAL, LEASES};

impl LeaseSimulation {
    /// A holding that overlaps another does so from the moment one of both begins or is renewed: then it is
    /// seen.
    pub(super) fn check_holders(&mut self, node: GatewayIndex) {
        for duty in LEASES {
            let Some(epoch) = self.acting_epoch(node, duty) else {
                continue;
            };
            let others = self
                .believed_holders
                .get(&duty)
                .into_iter()
                .flat_map(BTreeMap::keys);
            let two = others
                .filter(|other| **other != node && self.acting_epoch(**other, duty).is_some())
                .count();
            self.two_holders += two as u64;
            let newest = self.newest.entry(duty).or_insert((epoch, node));
            if epoch < newest.0 || (epoch == newest.0 && node != newest.1) {
                self.epochs_back += 1;
            }
            *newest = (*newest).max((epoch, node));
        }
    }

    pub(super) fn record_holding(&mut self, duty: LeaseName, node: GatewayIndex, held: bool) {
        let last = self
            .holding_changes
            .iter()
            .rev()
            .find(|t| t.duty == duty && t.node == node);
        if last.is_some_and(|t| t.held) != held {
            self.holding_changes.push(HoldingChange {
                at: self.now,
                duty,
                node,
                held,
            });
        }
    }

    pub(super) fn schedule_acts(&mut self) {
        let all: Vec<(LeaseName, GatewayIndex)> = self
            .believed_holders
            .iter()
            .flat_map(|(d, b)| b.keys().map(|n| (*d, *n)))
            .collect();
        for (duty, node) in all {
            match self.acting_epoch(node, duty) {
                None => self.record_holding(duty, node, false),
                // A process that stands still acts when it goes on; one that stops between its check and its
                // act sends the act late, which is up to the guard.
                Some(_) if self.gateways[node].stalled_until > self.now => {}
                Some(epoch) => {
                    self.record_holding(duty, node, true);
                    let paused = if self.rng.generate::<f64>() < 0.02 {
                        4.0
                    } else {
                        0.01
                    };
                    let delay = TimeDelta::from_seconds(paused * self.rng.generate::<f64>());
                    self.schedule(
                        self.now + delay,
                        SimulatedEvent::ActArrived { duty, epoch, node },
                    );
                }
            }
        }
        self.schedule(self.now + ACT_INTERVAL, SimulatedEvent::ActsDue);
    }

    pub(super) fn handle_act(&mut self, duty: LeaseName, epoch: Epoch, node: GatewayIndex) {
        self.acts += 1;
        if self.guard.admit(duty, epoch).is_err() {
            self.acts_refused += 1;
            if let (Some(newest), true) = (self.guard.newest(duty), self.is_running(node)) {
                self.deliver(
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
            self.guard_admitted_two += 1;
        }
    }
}
