//! How membership records spread: which are taken over, and which are sent.

use harrierdock_site_messages::{GatewayName, MemberRecord, MemberState};
use harrierdock_types::Timestamp;

use super::member::{rendezvous_rank, Member};
use super::{Membership, MembershipAction};
use crate::Change;

/// The most records kept; further gateways are passed over.
const MAX_RECORDS: usize = 4096;
/// The most recently changed records in one heartbeat, and the old ones repeated beside them, so that none is missed for good.
const MAX_FRESH_RECORDS: usize = 16;
const REPEATED_RECORDS: usize = 2;
/// In how many intervals a changed record is sent, beyond the logarithm of the number of records.
const EXTRA_SENDS: u32 = 4;
/// In every such interval the own record is sent in any case.
const OWN_RECORD_INTERVALS: u32 = 8;

impl Membership {
    /// Takes over a record that another gateway has sent, if it is newer.
    pub(super) fn learn(&mut self, now: Timestamp, record: &MemberRecord) {
        if record.gateway == self.own.gateway {
            return self.refute(record);
        }
        let has_room = self.members.len() < MAX_RECORDS;
        match self.members.get_mut(&record.gateway) {
            Some(member) if record.precedence() > member.record.precedence() => {
                let before = member.record.incarnation;
                if before != 0 && record.incarnation > before {
                    self.actions.push(MembershipAction::PeerRestarted {
                        peer: record.gateway.clone(),
                        incarnation: record.incarnation,
                    });
                }
                // A record without an address doesn't take away the known one.
                let address = record.address.or(member.record.address);
                if member.record.address != address {
                    member.failed_connects = 0;
                    member.next_connect = now;
                }
                let record = MemberRecord {
                    address,
                    ..record.clone()
                };
                member.update(now, record, &mut self.actions);
            }
            Some(_) => {}
            None if has_room && record.state < MemberState::Lost => self.add(now, record),
            None => {}
        }
    }

    /// What others say about this gateway is refuted by an own record above it: a suspicion, and also a record of an earlier
    /// start that others still believe in or that was made before the clock was set back.
    fn refute(&mut self, record: &MemberRecord) {
        if record.incarnation > self.own.incarnation {
            self.own.incarnation = record.incarnation + 1;
            self.own_times_sent = 0;
        } else if record.precedence() > self.own.precedence() {
            self.own.version = record.version + 1;
            self.own_times_sent = 0;
        }
    }

    fn add(&mut self, now: Timestamp, record: &MemberRecord) {
        let gateway = record.gateway.clone();
        let rank = rendezvous_rank(&self.own.gateway, &gateway);
        let mut member = Member::new(record.clone(), now, rank);
        member.times_sent = 0;
        self.members.insert(gateway.clone(), member);
        self.actions
            .push(MembershipAction::Changed(Change::Joined { gateway }));
    }

    /// The records that the heartbeats of this interval carry: the own one, those sent least often, and a few old ones.
    pub(super) fn records_to_send(&mut self) -> Vec<MemberRecord> {
        // Spreading from gateway to gateway reaches all of them in a number of intervals that grows with the logarithm.
        let count = self.members.len() as u32 + 2;
        let enough_sends = count.ilog2() + EXTRA_SENDS;
        let mut records = Vec::new();
        let own_is_due = self.heartbeat_sequence.is_multiple_of(OWN_RECORD_INTERVALS);
        if self.own_times_sent < enough_sends || own_is_due {
            self.own_times_sent += 1;
            records.push(self.own.clone());
        }
        let mut gateways = self.fresh_records(enough_sends);
        let repeated = self.repeated_records(&gateways);
        gateways.extend(repeated);
        gateways.dedup();
        for gateway in gateways {
            if let Some(member) = self.members.get_mut(&gateway) {
                member.times_sent = member.times_sent.saturating_add(1);
                records.push(member.record.clone());
            }
        }
        records
    }

    /// The gateways whose records were sent least often since they changed.
    fn fresh_records(&self, enough_sends: u32) -> Vec<GatewayName> {
        let is_fresh = |m: &&Member| m.times_sent < enough_sends && m.record.incarnation > 0;
        let fresh = self.members.values().filter(is_fresh);
        let mut fresh: Vec<(u32, &GatewayName)> =
            fresh.map(|m| (m.times_sent, &m.record.gateway)).collect();
        fresh.sort();
        fresh.truncate(MAX_FRESH_RECORDS);
        fresh.into_iter().map(|f| f.1.clone()).collect()
    }

    /// The next gateways in turn, without those given.
    fn repeated_records(&mut self, besides: &[GatewayName]) -> Vec<GatewayName> {
        let start = self.next_repeated.take().unwrap_or_default();
        let in_turn = self.members.range(start..).chain(self.members.iter());
        let is_repeated = |gateway: &GatewayName, m: &Member| {
            m.record.incarnation > 0 && !besides.contains(gateway)
        };
        let mut repeated: Vec<GatewayName> = in_turn
            .filter(|(gateway, m)| is_repeated(gateway, m))
            .take((REPEATED_RECORDS + 1).min(self.members.len()))
            .map(|(gateway, _)| gateway.clone())
            .collect();
        self.next_repeated = repeated.get(REPEATED_RECORDS).cloned();
        repeated.truncate(REPEATED_RECORDS);
        repeated
    }
}
