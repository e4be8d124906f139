//! Who believes to hold a lease, what the holders do, and whether two of them could.

use harrierdock_lease::{Epoch, Event, LeaseName};
use harrierdock_types::{TimeDelta, Timestamp};
use nanorand::Rng;

use super::event::SimulatedEvent;
use super::{GatewayIndex, LeaseSimulation, LEASES};

/// How often a holder acts.
const ACT_INTERVAL: TimeDelta = TimeDelta(50_000);
/// How often a holder pauses between its check and its act.
const PAUSE_PROBABILITY: f64 = 0.02;
/// The longest time from the check until the act arrives, with a pause and without.
const LONGEST_PAUSE_SECONDS: f64 = 4.0;
const LONGEST_ACT_SECONDS: f64 = 0.01;

/// A gateway begins or ceases to hold a lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HoldingChange {
    /// When.
    pub at: Timestamp,
    /// The lease.
    pub lease: LeaseName,
    /// The gateway.
    pub gateway: GatewayIndex,
    /// Whether it holds the lease from now on.
    pub is_held: bool,
}

/// A gateway in an epoch; the later epoch is the greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EpochHolder {
    pub(super) epoch: Epoch,
    pub(super) gateway: GatewayIndex,
}

impl EpochHolder {
    /// Whether it may not follow this one: its epoch is older, or another gateway's.
    fn contradicts(self, newest: EpochHolder) -> bool {
        let is_older = self.epoch < newest.epoch;
        is_older || (self.epoch == newest.epoch && self.gateway != newest.gateway)
    }
}

impl LeaseSimulation {
    /// Checks the leases that a gateway holds. Two holdings overlap from the moment at which one of them begins or is renewed:
    /// then it is seen.
    pub(super) fn check_holders(&mut self, gateway: GatewayIndex) {
        for lease in LEASES {
            let Some(epoch) = self.acting_epoch(gateway, lease) else {
                continue;
            };
            let believed_holders = self.believed_holders.get(&lease).into_iter().flatten();
            let other_holders = believed_holders
                .filter(|(other, _)| **other != gateway)
                .filter(|(other, _)| self.acting_epoch(**other, lease).is_some());
            self.two_holders += other_holders.count() as u64;
            let holder = EpochHolder { epoch, gateway };
            let newest = self.newest_holders.entry(lease).or_insert(holder);
            self.epochs_back += u64::from(holder.contradicts(*newest));
            *newest = (*newest).max(holder);
        }
    }

    /// Records whether a gateway holds a lease, if that has changed.
    pub(super) fn record_holding(
        &mut self,
        lease: LeaseName,
        gateway: GatewayIndex,
        is_held: bool,
    ) {
        let mut changes = self.holding_changes.iter().rev();
        let last = changes.find(|change| change.lease == lease && change.gateway == gateway);
        if last.is_some_and(|change| change.is_held) == is_held {
            return;
        }
        self.holding_changes.push(HoldingChange {
            at: self.now,
            lease,
            gateway,
            is_held,
        });
    }

    /// Lets all holders act.
    pub(super) fn schedule_acts(&mut self) {
        let holders: Vec<(LeaseName, GatewayIndex)> = self
            .believed_holders
            .iter()
            .flat_map(|(lease, holders)| holders.keys().map(|gateway| (*lease, *gateway)))
            .collect();
        for (lease, gateway) in holders {
            self.schedule_act(lease, gateway);
        }
        self.schedule(self.now + ACT_INTERVAL, SimulatedEvent::ActsDue);
    }

    /// A holder that is stalled acts when it goes on. One that stops between its check and its act sends the act late: the
    /// fencing guard has to refuse it.
    fn schedule_act(&mut self, lease: LeaseName, gateway: GatewayIndex) {
        let Some(epoch) = self.acting_epoch(gateway, lease) else {
            return self.record_holding(lease, gateway, false);
        };
        if self.gateways[gateway].stalled_until > self.now {
            return;
        }
        self.record_holding(lease, gateway, true);
        let longest_seconds = if self.draw_bool(PAUSE_PROBABILITY) {
            LONGEST_PAUSE_SECONDS
        } else {
            LONGEST_ACT_SECONDS
        };
        let delay = TimeDelta::from_seconds(longest_seconds * self.rng.generate::<f64>());
        let arrived = SimulatedEvent::ActArrived {
            lease,
            epoch,
            gateway,
        };
        self.schedule(self.now + delay, arrived);
    }

    /// The fencing guard admits an act, or refuses it and tells the newest epoch.
    pub(super) fn handle_act(&mut self, lease: LeaseName, epoch: Epoch, gateway: GatewayIndex) {
        self.acts += 1;
        if self.guard.admit(lease, epoch).is_err() {
            self.acts_refused += 1;
            let newest = self.guard.newest(lease);
            if let Some(newest) = newest.filter(|_| self.is_running(gateway)) {
                self.deliver(gateway, Event::EpochRejected { lease, newest });
            }
            return;
        }
        let holder = EpochHolder { epoch, gateway };
        let before = self.admitted_holders.insert(lease, holder);
        let is_contradiction = before.is_some_and(|before| holder.contradicts(before));
        self.guard_admitted_two += u64::from(is_contradiction);
    }
}
