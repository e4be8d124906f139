//! Processes that end and start anew.

use harrierdock_lease::{Event, LeaseManager, LeaseName};
use harrierdock_types::TimeDelta;
use nanorand::Rng;

use super::{GatewayIndex, LeaseSimulation, SimulatedEvent, LEASES, START_UNIX_MS};

impl LeaseSimulation {
    pub(super) fn start(&mut self, node: GatewayIndex) {
        if self.is_running(node) {
            return;
        }
        let incarnation = START_UNIX_MS
            .saturating_add_signed(self.now.0 / 1000 + self.gateways[node].unix_offset_ms);
        let (terms, clock, seed) = (
            self.parameters(node),
            self.local_time(node),
            self.rng.generate(),
        );
        self.gateways[node].lease_manager =
            Some(LeaseManager::new(terms, incarnation, seed, clock));
        (
            self.gateways[node].is_shutting_down,
            self.gateways[node].stalled_until,
        ) = (false, self.now);
        for duty in LEASES {
            // A circle is of a tenth of the fleet, and of five at the least.
            if !matches!(duty, LeaseName::Aggregator(_))
                || node.is_multiple_of((self.gateways.len() / 5).clamp(1, 10))
            {
                self.deliver(
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
    pub fn kill(&mut self, node: GatewayIndex, back: Option<TimeDelta>) {
        self.stop(node);
        if let Some(back) = back {
            self.schedule(self.now + back, SimulatedEvent::Started { node });
        }
    }

    pub(super) fn stop(&mut self, node: GatewayIndex) {
        let n = &mut self.gateways[node];
        n.lease_manager = None;
        n.incarnation += 1;
        for believed_holders in self.believed_holders.values_mut() {
            believed_holders.remove(&node);
        }
        for duty in LEASES {
            self.record_holding(duty, node, false);
        }
    }

    /// Ends a process in order, and starts it anew.
    pub fn restart(&mut self, node: GatewayIndex, back: Option<TimeDelta>) {
        let incarnation = self.gateways[node].incarnation;
        if self.gateways[node].is_shutting_down || !self.is_running(node) {
            return;
        }
        self.gateways[node].is_shutting_down = true;
        self.deliver(node, Event::ShutdownStarted);
        self.schedule(
            self.now + TimeDelta::from_seconds(0.3),
            SimulatedEvent::Exited { node, incarnation },
        );
        if let Some(back) = back {
            self.schedule(
                self.now + TimeDelta::from_seconds(0.3) + back,
                SimulatedEvent::Started { node },
            );
        }
    }
}
