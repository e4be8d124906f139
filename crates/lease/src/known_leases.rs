//! What is known of holders, and its gossip: one message to another gateway now and then, of the same size whatever the fleet's.

use std::collections::BTreeMap;

use harrierdock_types::{PeerId, TimeDelta, Timestamp};
use nanorand::Rng;

use crate::codec::MAX_KNOWN_LEASES;
use crate::message_handling::duration_to_ms;
use crate::{KnownHolder, LeaseManager, LeaseName, LeaseRecord, MessageBody};

/// The holders this gateway knows of, and whose turn it is to be gossiped.
pub(crate) struct KnownLeases {
    holders: BTreeMap<LeaseName, KnownHolder>,
    next_gossip: Timestamp,
    next_record: usize,
}

impl KnownLeases {
    pub(crate) fn new(next_gossip: Timestamp) -> KnownLeases {
        KnownLeases {
            holders: BTreeMap::new(),
            next_gossip,
            next_record: 0,
        }
    }

    pub(crate) fn next_gossip(&self) -> Timestamp {
        self.next_gossip
    }

    pub(crate) fn holder(&self, lease: LeaseName) -> Option<KnownHolder> {
        self.holders.get(&lease).copied()
    }

    /// Records a holder, if it is newer than the known one.
    pub(crate) fn record(&mut self, lease: LeaseName, heard: KnownHolder) {
        let known = self.holders.entry(lease).or_insert(heard);
        if (heard.epoch, heard.expires_at) > (known.epoch, known.expires_at) {
            *known = heard;
        }
    }

    /// The lease of this epoch has ended.
    pub(crate) fn end(&mut self, now: Timestamp, lease: LeaseName, epoch: crate::Epoch) {
        if let Some(known) = self.holders.get_mut(&lease).filter(|k| k.epoch == epoch) {
            known.expires_at = known.expires_at.min(now);
        }
    }

    /// The next holders in turn.
    fn next_records(&mut self) -> Vec<(LeaseName, KnownHolder)> {
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
    pub(crate) fn record_holder(&mut self, lease: LeaseName, heard: KnownHolder) {
        if self.states.contains_key(&lease) {
            self.known_leases.record(lease, heard);
        }
    }

    /// Sends what is known to another gateway, drawn at random, once in a heartbeat interval or so.
    pub(crate) fn gossip_known_leases(&mut self, now: Timestamp) {
        if now < self.known_leases.next_gossip {
            return;
        }
        let interval: TimeDelta =
            self.parameters.heartbeat_interval * (0.75 + 0.5 * self.rng.generate::<f64>());
        self.known_leases.next_gossip = now + interval;
        self.refresh_held_leases();
        let records = self
            .known_leases
            .next_records()
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

    /// Another gateway at random; between electors every other time an elector while the electorate is not in force, since its members
    /// have to hear of each other.
    fn draw_gossip_target(&mut self) -> Option<PeerId> {
        let local_peer = self.parameters.local_peer;
        let awaits_electors = self.quorum.is_elector(local_peer) && !self.quorum.is_in_force();
        if awaits_electors && self.rng.generate::<bool>() {
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
