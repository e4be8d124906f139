//! Observes which gateways hold a lease, starts their operations, and counts violations of mutual exclusion.

use harrierdock_lease::{Epoch, Event, LeaseName};
use harrierdock_types::{TimeDelta, Timestamp};
use nanorand::Rng;

use super::event::SimulatedEvent;
use super::{GatewayIndex, LeaseSimulation, LEASES};

/// Time between two operations of a holder.
const OPERATION_INTERVAL: TimeDelta = TimeDelta(50_000);
/// Probability that a holder pauses between the check of its lease and its operation.
const PAUSE_PROBABILITY: f64 = 0.02;
/// Longest time from the check of the lease until the operation arrives, with a pause and without one.
const MAX_PAUSED_OPERATION_SECONDS: f64 = 4.0;
const MAX_OPERATION_SECONDS: f64 = 0.01;

/// A gateway acquired or lost a lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HolderChange {
    /// Simulated time.
    pub at: Timestamp,
    /// The lease that was acquired or lost.
    pub lease: LeaseName,
    /// The old or new holder.
    pub gateway: GatewayIndex,
    /// Whether the gateway acquired the lease.
    pub is_acquired: bool,
}

/// The holder of a lease in an epoch, ordered by epoch first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EpochHolder {
    pub(super) epoch: Epoch,
    pub(super) gateway: GatewayIndex,
}

impl EpochHolder {
    /// Whether this holder must not follow `newest`: its epoch is older, or the epoch belongs to another gateway.
    fn contradicts(self, newest: EpochHolder) -> bool {
        let is_older = self.epoch < newest.epoch;
        is_older || (self.epoch == newest.epoch && self.gateway != newest.gateway)
    }
}

impl LeaseSimulation {
    /// Counts other gateways that hold the same leases as this gateway. An overlap starts when a lease is acquired or renewed, so
    /// a check after each event of a gateway finds it.
    pub(super) fn check_holders(&mut self, gateway: GatewayIndex) {
        for lease in LEASES {
            let Some(epoch) = self.acting_epoch(gateway, lease) else {
                continue;
            };
            let reported_holders = self.reported_holders.get(&lease).into_iter().flatten();
            let other_holders = reported_holders
                .filter(|(other, _)| **other != gateway)
                .filter(|(other, _)| self.acting_epoch(**other, lease).is_some());
            self.two_holders += other_holders.count() as u64;
            let holder = EpochHolder { epoch, gateway };
            let newest = self.newest_holders.entry(lease).or_insert(holder);
            self.epoch_regressions += u64::from(holder.contradicts(*newest));
            *newest = (*newest).max(holder);
        }
    }

    /// Records a holder change unless the gateway's last recorded state of this lease is the same.
    pub(super) fn record_holder(
        &mut self,
        lease: LeaseName,
        gateway: GatewayIndex,
        is_acquired: bool,
    ) {
        let mut changes = self.holder_changes.iter().rev();
        let last = changes.find(|change| change.lease == lease && change.gateway == gateway);
        if last.is_some_and(|change| change.is_acquired) == is_acquired {
            return;
        }
        self.holder_changes.push(HolderChange {
            at: self.now,
            lease,
            gateway,
            is_acquired,
        });
    }

    /// Starts an operation of each holder, and schedules the next round of operations.
    pub(super) fn start_operations(&mut self) {
        let holders: Vec<(LeaseName, GatewayIndex)> = self
            .reported_holders
            .iter()
            .flat_map(|(lease, holders)| holders.keys().map(|gateway| (*lease, *gateway)))
            .collect();
        for (lease, gateway) in holders {
            self.start_operation(lease, gateway);
        }
        self.schedule(self.now + OPERATION_INTERVAL, SimulatedEvent::OperationsDue);
    }

    /// Starts an operation of a holder; a stalled holder skips it. If the holder pauses between the check of its lease and the
    /// operation, the operation arrives late and the fencing guard has to refuse it.
    fn start_operation(&mut self, lease: LeaseName, gateway: GatewayIndex) {
        let Some(epoch) = self.acting_epoch(gateway, lease) else {
            return self.record_holder(lease, gateway, false);
        };
        if self.gateways[gateway].stalled_until > self.now {
            return;
        }
        self.record_holder(lease, gateway, true);
        let longest_seconds = if self.draw_bool(PAUSE_PROBABILITY) {
            MAX_PAUSED_OPERATION_SECONDS
        } else {
            MAX_OPERATION_SECONDS
        };
        let delay = TimeDelta::from_seconds(longest_seconds * self.rng.generate::<f64>());
        let arrived = SimulatedEvent::OperationArrived {
            lease,
            epoch,
            gateway,
        };
        self.schedule(self.now + delay, arrived);
    }

    /// Lets the fencing guard admit or refuse an operation. A refused gateway is notified of the newest epoch.
    pub(super) fn handle_operation(
        &mut self,
        lease: LeaseName,
        epoch: Epoch,
        gateway: GatewayIndex,
    ) {
        self.operations += 1;
        if self.guard.admit(lease, epoch).is_err() {
            self.operations_refused += 1;
            let newest = self.guard.newest(lease);
            if let Some(newest) = newest.filter(|_| self.is_running(gateway)) {
                self.deliver(gateway, Event::EpochRejected { lease, newest });
            }
            return;
        }
        let holder = EpochHolder { epoch, gateway };
        let previous = self.admitted_holders.insert(lease, holder);
        let is_contradiction = previous.is_some_and(|previous| holder.contradicts(previous));
        self.guard_contradictions += u64::from(is_contradiction);
    }
}
