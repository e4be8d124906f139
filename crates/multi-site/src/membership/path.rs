//! One path: what its heartbeats and their echoes show.

use std::collections::{BTreeMap, VecDeque};

use harrierdock_site_messages::{GatewayName, Heartbeat, MemberRecord};
use harrierdock_types::{TimeDelta, Timestamp};

use super::member::Member;
use super::HEARTBEATS_REMEMBERED;

/// The most records of the table in one heartbeat on a path that was just opened.
const TABLE_RECORDS_PER_HEARTBEAT: usize = 32;

/// A heartbeat that was received.
struct ReceivedHeartbeat {
    sequence: u32,
    at: Timestamp,
}

/// A path to another gateway.
pub struct Path {
    /// The gateway at its other end.
    pub peer: GatewayName,
    /// Since when it is open.
    pub since: Timestamp,
    /// When the newest heartbeat was received.
    pub last_received: Option<Timestamp>,
    /// When the newest heartbeat was sent of which the other end has said that it received it.
    pub last_echoed: Option<Timestamp>,
    /// The other end's incarnation; 0 before its first heartbeat.
    pub incarnation: u64,
    /// Both ends receive each other's heartbeats.
    pub is_usable: bool,
    /// The time that a heartbeat and its echo take, without the wait at the other end.
    pub round_trip: TimeDelta,
    /// This end has opened it.
    pub(super) opened_here: bool,
    pub(super) newest_sequence: u32,
    /// The latest heartbeats received, oldest first.
    received: VecDeque<ReceivedHeartbeat>,
    /// Where the sending of all records continues; none once it is complete.
    table_position: Option<GatewayName>,
}

impl Path {
    pub(super) fn new(peer: GatewayName, since: Timestamp, opened_here: bool) -> Path {
        Path {
            peer,
            since,
            last_received: None,
            last_echoed: None,
            incarnation: 0,
            is_usable: false,
            round_trip: TimeDelta::ZERO,
            opened_here,
            newest_sequence: 0,
            received: VecDeque::new(),
            table_position: Some(GatewayName::default()),
        }
    }

    /// Notes a heartbeat. False if it is a copy or was overtaken by a newer one: then it has no news.
    pub(super) fn note_received(&mut self, now: Timestamp, heartbeat: &Heartbeat) -> bool {
        if (heartbeat.incarnation, heartbeat.sequence) <= (self.incarnation, self.newest_sequence) {
            return false;
        }
        self.last_received = Some(now);
        self.newest_sequence = heartbeat.sequence;
        self.incarnation = heartbeat.incarnation;
        self.received.push_back(ReceivedHeartbeat {
            sequence: heartbeat.sequence,
            at: now,
        });
        if self.received.len() > HEARTBEATS_REMEMBERED {
            self.received.pop_front();
        }
        true
    }

    /// Notes the echo of a heartbeat that this gateway sent at `sent`.
    pub(super) fn note_echo(&mut self, now: Timestamp, sent: Timestamp, echo_delay_ms: u32) {
        if self.last_echoed.is_none_or(|echoed| echoed < sent) {
            self.last_echoed = Some(sent);
            let elapsed = now - sent - TimeDelta(i64::from(echo_delay_ms) * 1000);
            self.round_trip = TimeDelta(elapsed.0.max(0));
        }
    }

    /// How old a message is at the most that was sent after the heartbeat of this number; none if that is unknown.
    pub(super) fn max_message_age(&self, now: Timestamp, sequence: u32) -> Option<TimeDelta> {
        let before = self
            .received
            .iter()
            .rev()
            .find(|r| r.sequence <= sequence)?;
        Some(now - before.at + self.round_trip)
    }

    /// Adds the next part of the table, so that a gateway that has just started soon knows all others.
    pub(super) fn add_table_records(
        &mut self,
        members: &BTreeMap<GatewayName, Member>,
        records: &mut Vec<MemberRecord>,
    ) {
        let Some(position) = self.table_position.take() else {
            return;
        };
        let mut rest = members
            .range(position..)
            .filter(|(_, m)| m.record.incarnation > 0);
        records.extend(
            rest.by_ref()
                .take(TABLE_RECORDS_PER_HEARTBEAT)
                .map(|(_, m)| m.record.clone()),
        );
        self.table_position = rest.next().map(|(gateway, _)| gateway.clone());
    }
}
