//! Starts, kills and graceful shutdowns of gateways.

use harrierdock_lease::{Event, LeaseManager, LeaseName};
use harrierdock_types::TimeDelta;
use nanorand::Rng;

use super::event::SimulatedEvent;
use super::{GatewayIndex, LeaseSimulation, LEASES};

/// Time from the start of a graceful shutdown until the process exits.
const SHUTDOWN_DURATION: TimeDelta = TimeDelta(300_000);
/// The fleet has [`MAX_GROUPS`] gossip groups, or fewer so that each group has at least this many gateways.
const MIN_GROUP_SIZE: usize = 5;
const MAX_GROUPS: usize = 10;

impl LeaseSimulation {
    /// Starts a gateway that is down.
    pub(super) fn start(&mut self, index: GatewayIndex) {
        if self.is_running(index) {
            return;
        }
        let parameters = self.parameters(index);
        let seed = self.rng.generate();
        let now = self.now;
        let gateway = &mut self.gateways[index];
        let incarnation = gateway.unix_time_ms(now);
        let local_time = gateway.local_time(now);
        let lease_manager = LeaseManager::new(parameters, incarnation, seed, local_time);
        gateway.lease_manager = Some(lease_manager);
        gateway.is_shutting_down = false;
        gateway.stalled_until = now;
        for lease in LEASES {
            if self.is_candidate(index, lease) {
                let is_candidate = true;
                self.deliver(
                    index,
                    Event::CandidacyChanged {
                        lease,
                        is_candidate,
                    },
                );
            }
        }
    }

    /// All gateways are candidates for a lease. Only members of the gossip group are candidates for its aggregator.
    fn is_candidate(&self, index: GatewayIndex, lease: LeaseName) -> bool {
        let groups = (self.gateways.len() / MIN_GROUP_SIZE).clamp(1, MAX_GROUPS);
        !matches!(lease, LeaseName::Aggregator(_)) || index.is_multiple_of(groups)
    }

    /// Kills a gateway, and starts it again after `restart_after`; `None` leaves it down.
    pub fn kill(&mut self, gateway: GatewayIndex, restart_after: Option<TimeDelta>) {
        self.stop(gateway);
        if let Some(delay) = restart_after {
            self.schedule(self.now + delay, SimulatedEvent::Started { gateway });
        }
    }

    /// Removes a gateway's process and the leases that it holds.
    pub(super) fn stop(&mut self, index: GatewayIndex) {
        let gateway = &mut self.gateways[index];
        gateway.lease_manager = None;
        gateway.incarnation += 1;
        for holders in self.reported_holders.values_mut() {
            holders.remove(&index);
        }
        for lease in LEASES {
            self.record_holder(lease, index, false);
        }
    }

    /// Shuts a gateway down gracefully, and starts it again `restart_after` later; `None` leaves it down.
    pub fn restart(&mut self, gateway: GatewayIndex, restart_after: Option<TimeDelta>) {
        if self.gateways[gateway].is_shutting_down || !self.is_running(gateway) {
            return;
        }
        let incarnation = self.gateways[gateway].incarnation;
        self.gateways[gateway].is_shutting_down = true;
        self.deliver(gateway, Event::ShutdownStarted);
        let exit = self.now + SHUTDOWN_DURATION;
        let exited = SimulatedEvent::Exited {
            gateway,
            incarnation,
        };
        self.schedule(exit, exited);
        if let Some(delay) = restart_after {
            self.schedule(exit + delay, SimulatedEvent::Started { gateway });
        }
    }
}
