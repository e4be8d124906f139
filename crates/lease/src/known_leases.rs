//! The known holders of leases, and their gossip. About once in a heartbeat interval, one message with known holders goes to another
//! gateway. Its size is bounded in a fleet of any size.

use std::collections::BTreeMap;

use harrierdock_types::{PeerId, TimeDelta, Timestamp};
use nanorand::Rng;

use crate::codec::MAX_KNOWN_LEASES;
use crate::message_handling::duration_to_ms;
use crate::{KnownHolder, LeaseManager, LeaseName, LeaseRecord, MessageBody};

/// The holders that this gateway knows of, and which of them the next gossip message includes.
pub(crate) struct KnownLeases {
    holders: BTreeMap<LeaseName, KnownHolder>,
    next_gossip_at: Timestamp,
    /// The position of the first holder in the next gossip message; it wraps around.
    next_record: usize,
}

impl KnownLeases {
    pub(crate) fn new(next_gossip_at: Timestamp) -> KnownLeases {
        KnownLeases {
            holders: BTreeMap::new(),
            next_gossip_at,
            next_record: 0,
        }
    }

    pub(crate) fn next_gossip_at(&self) -> Timestamp {
        self.next_gossip_at
    }

    pub(crate) fn holder(&self, lease: LeaseName) -> Option<KnownHolder> {
        self.holders.get(&lease).copied()
    }

    /// Records a holder if its epoch is later than the known holder's, or if the epoch is the same and it expires later.
    pub(crate) fn record(&mut self, lease: LeaseName, reported: KnownHolder) {
        let known = self.holders.entry(lease).or_insert(reported);
        if (reported.epoch, reported.expires_at) > (known.epoch, known.expires_at) {
            *known = reported;
        }
    }

    /// Marks the lease as expired now, if the known holder has this epoch.
    pub(crate) fn mark_expired(&mut self, now: Timestamp, lease: LeaseName, epoch: crate::Epoch) {
        if let Some(known) = self.holders.get_mut(&lease).filter(|k| k.epoch == epoch) {
            known.expires_at = known.expires_at.min(now);
        }
    }

    /// Returns the holders for the next gossip message, in turn.
    fn take_next_records(&mut self) -> Vec<(LeaseName, KnownHolder)> {
        let count = self.holders.len();
        let records = self
            .holders
            .iter()
            .cycle()
            .skip(self.next_record % count.max(1))
            .take(count.min(MAX_KNOWN_LEASES))
            .map(|(lease, known)| (*lease, *known))
            .collect();
        self.next_record = self.next_record.wrapping_add(MAX_KNOWN_LEASES);
        records
    }
}

impl LeaseManager {
    pub(crate) fn record_holder(&mut self, lease: LeaseName, reported: KnownHolder) {
        if self.states.contains_key(&lease) {
            self.known_leases.record(lease, reported);
        }
    }

    /// Sends known holders to a random gateway every 0.75 to 1.25 heartbeat intervals.
    pub(crate) fn gossip_known_leases(&mut self, now: Timestamp) {
        if now < self.known_leases.next_gossip_at {
            return;
        }
        let interval: TimeDelta =
            self.parameters.heartbeat_interval * (0.75 + 0.5 * self.rng.generate::<f64>());
        self.known_leases.next_gossip_at = now + interval;
        self.refresh_held_leases();
        let records = self
            .known_leases
            .take_next_records()
            .into_iter()
            .map(|(lease, known)| LeaseRecord {
                lease,
                epoch: known.epoch,
                holder_hash: self.parameters.name_hash(known.holder).unwrap_or(0),
                remaining_ms: duration_to_ms(known.expires_at - now),
            })
            .collect();
        if let Some(to) = self.draw_gossip_target() {
            self.send(to, MessageBody::KnownLeases { records });
        }
    }

    fn refresh_held_leases(&mut self) {
        let local_peer = self.parameters.local_peer;
        for (lease, state) in &self.states {
            if let (Some(held), Some(known)) =
                (state.held(), self.known_leases.holders.get_mut(lease))
            {
                *known = KnownHolder {
                    holder: local_peer,
                    epoch: held.epoch,
                    expires_at: held.expires_at,
                };
            }
        }
    }

    /// Draws the receiver of a gossip message at random among the other gateways. While the electorate is not in force, electors must learn
    /// each other's electorate number. So until it is in force, an elector sends every second message on average to another elector.
    fn draw_gossip_target(&mut self) -> Option<PeerId> {
        let local_peer = self.parameters.local_peer;
        let prefers_electors = self.quorum.is_elector(local_peer) && !self.quorum.is_in_force();
        if prefers_electors && self.rng.generate::<bool>() {
            let mut others = self.quorum.electors();
            others.retain(|elector| *elector != local_peer);
            let drawn = self.rng.generate_range(0..others.len().max(1));
            return others.get(drawn).copied();
        }
        let others = self.parameters.name_hashes.len().saturating_sub(1);
        if others == 0 {
            return None;
        }
        let drawn = self.rng.generate_range(0..others);
        Some(PeerId(if drawn >= local_peer.0 {
            drawn + 1
        } else {
            drawn
        }))
    }
}
