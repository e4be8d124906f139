//! How membership records spread: which received records are kept, and which are sent.

use harrierdock_site_messages::{GatewayName, MemberRecord, MemberState};
use harrierdock_types::Timestamp;

use super::member::{rendezvous_rank, Member};
use super::{Membership, MembershipAction};
use crate::Change;

/// The maximum number of records; further gateways are ignored.
const MAX_RECORDS: usize = 4096;
/// How many recently changed records one heartbeat carries at most.
const MAX_FRESH_RECORDS: usize = 16;
/// How many old records each heartbeat repeats, so that a gateway that missed a record gets it later.
const REPEATED_RECORDS: usize = 2;
/// In how many intervals a changed record is sent, in addition to the logarithm of the number of records.
const EXTRA_SENDS: u32 = 4;
/// The own record is sent at least once in this many intervals.
const OWN_RECORD_INTERVALS: u32 = 8;

impl Membership {
    /// Keeps a received record if it is newer than the known one.
    pub(super) fn merge_record(&mut self, now: Timestamp, record: &MemberRecord) {
        if record.gateway == self.own.gateway {
            return self.refute(record);
        }
        let has_room = self.members.len() < MAX_RECORDS;
        match self.members.get_mut(&record.gateway) {
            Some(member) if record.precedence() > member.record.precedence() => {
                let former_incarnation = member.record.incarnation;
                if former_incarnation != 0 && record.incarnation > former_incarnation {
                    self.actions.push(MembershipAction::PeerRestarted {
                        peer: record.gateway.clone(),
                        incarnation: record.incarnation,
                    });
                }
                // A record without an address keeps the known address.
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
            None if has_room && record.state < MemberState::Lost => self.add_member(now, record),
            None => {}
        }
    }

    /// Refutes another gateway's record of this gateway by raising this gateway's own record above it. The received record may
    /// be a suspicion. It may also stem from an earlier start, even with a higher incarnation if the clock was set back.
    fn refute(&mut self, record: &MemberRecord) {
        if record.incarnation > self.own.incarnation {
            self.own.incarnation = record.incarnation + 1;
            self.own_times_sent = 0;
        } else if record.precedence() > self.own.precedence() {
            self.own.version = record.version + 1;
            self.own_times_sent = 0;
        }
    }

    fn add_member(&mut self, now: Timestamp, record: &MemberRecord) {
        let gateway = record.gateway.clone();
        let rank = rendezvous_rank(&self.own.gateway, &gateway);
        let mut member = Member::new(record.clone(), now, rank);
        member.times_sent = 0;
        self.members.insert(gateway.clone(), member);
        self.actions
            .push(MembershipAction::Changed(Change::Joined { gateway }));
    }

    /// The records for all heartbeats of this interval: this gateway's record, the fresh records sent least often, and a few
    /// old records.
    pub(super) fn records_to_send(&mut self) -> Vec<MemberRecord> {
        // The number of intervals until all gateways have a record grows with the logarithm of their number.
        let count = self.members.len() as u32 + 2;
        let enough_sends = count.ilog2() + EXTRA_SENDS;
        let mut records = Vec::new();
        let own_is_due = self.heartbeat_sequence.is_multiple_of(OWN_RECORD_INTERVALS);
        if self.own_times_sent < enough_sends || own_is_due {
            self.own_times_sent += 1;
            records.push(self.own.clone());
        }
        let mut gateways = self.select_fresh_records(enough_sends);
        let repeated = self.select_repeated_records(&gateways);
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

    /// Selects the gateways whose records were sent least often since they changed.
    fn select_fresh_records(&self, enough_sends: u32) -> Vec<GatewayName> {
        let is_fresh = |m: &&Member| m.times_sent < enough_sends && m.record.incarnation > 0;
        let fresh = self.members.values().filter(is_fresh);
        let mut fresh: Vec<(u32, &GatewayName)> =
            fresh.map(|m| (m.times_sent, &m.record.gateway)).collect();
        fresh.sort();
        fresh.truncate(MAX_FRESH_RECORDS);
        fresh.into_iter().map(|f| f.1.clone()).collect()
    }

    /// Selects the next gateways whose old records to repeat. Skips the `excluded` gateways.
    fn select_repeated_records(&mut self, excluded: &[GatewayName]) -> Vec<GatewayName> {
        let start = self.next_repeated.take().unwrap_or_default();
        let from_start = self.members.range(start..).chain(self.members.iter());
        let is_eligible = |gateway: &GatewayName, m: &Member| {
            m.record.incarnation > 0 && !excluded.contains(gateway)
        };
        let mut repeated: Vec<GatewayName> = from_start
            .filter(|(gateway, m)| is_eligible(gateway, m))
            .take((REPEATED_RECORDS + 1).min(self.members.len()))
            .map(|(gateway, _)| gateway.clone())
            .collect();
        self.next_repeated = repeated.get(REPEATED_RECORDS).cloned();
        repeated.truncate(REPEATED_RECORDS);
        repeated
    }
}
