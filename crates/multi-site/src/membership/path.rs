//! The state of one path, from its heartbeats and their echoes.

use std::collections::{BTreeMap, VecDeque};

use harrierdock_site_messages::{GatewayName, Heartbeat, MemberRecord};
use harrierdock_types::{TimeDelta, Timestamp};

use super::member::Member;
use super::HEARTBEATS_REMEMBERED;

/// How many table records each heartbeat carries on a new path, until the whole table is sent.
const TABLE_RECORDS_PER_HEARTBEAT: usize = 32;

/// When a heartbeat was received.
struct ReceivedHeartbeat {
    sequence: u32,
    at: Timestamp,
}

/// A path to a gateway of the other site.
pub struct Path {
    /// The gateway at the path's other end.
    pub peer: GatewayName,
    /// When the path was opened.
    pub opened_at: Timestamp,
    /// When the newest heartbeat was received.
    pub last_received: Option<Timestamp>,
    /// When this end sent the newest heartbeat that the other end has echoed.
    pub last_echoed: Option<Timestamp>,
    /// The other end's incarnation; 0 before its first heartbeat.
    pub incarnation: u64,
    /// Whether both ends receive each other's heartbeats.
    pub is_usable: bool,
    /// The time that a heartbeat and its echo take on the network.
    pub round_trip: TimeDelta,
    /// Whether this end opened the path.
    pub(super) opened_here: bool,
    pub(super) newest_sequence: u32,
    /// The latest heartbeats received, oldest first.
    received: VecDeque<ReceivedHeartbeat>,
    /// The gateway whose record is the next to send of the whole table; `None` once the whole table is sent.
    table_position: Option<GatewayName>,
}

impl Path {
    pub(super) fn new(peer: GatewayName, opened_at: Timestamp, opened_here: bool) -> Path {
        Path {
            peer,
            opened_at,
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

    /// Records a heartbeat. Returns false if the heartbeat is a copy, or if a newer heartbeat arrived before it.
    pub(super) fn record_heartbeat(&mut self, now: Timestamp, heartbeat: &Heartbeat) -> bool {
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

    /// Records the echo of a heartbeat that this gateway sent at `sent`, and measures the round trip.
    pub(super) fn record_echo(&mut self, now: Timestamp, sent: Timestamp, echo_delay_ms: u32) {
        if self.last_echoed.is_none_or(|echoed| echoed < sent) {
            self.last_echoed = Some(sent);
            let elapsed = now - sent - TimeDelta(i64::from(echo_delay_ms) * 1000);
            self.round_trip = TimeDelta(elapsed.0.max(0));
        }
    }

    /// See [`super::Membership::max_message_age`].
    pub(super) fn max_message_age(&self, now: Timestamp, sequence: u32) -> Option<TimeDelta> {
        let reference = self
            .received
            .iter()
            .rev()
            .find(|r| r.sequence <= sequence)?;
        Some(now - reference.at + self.round_trip)
    }

    /// Adds the next part of the membership table, so that a gateway that has just started soon knows all others.
    pub(super) fn add_table_records(
        &mut self,
        members: &BTreeMap<GatewayName, Member>,
        records: &mut Vec<MemberRecord>,
    ) {
        let Some(position) = self.table_position.take() else {
            return;
        };
        let mut unsent = members
            .range(position..)
            .filter(|(_, m)| m.record.incarnation > 0);
        records.extend(
            unsent
                .by_ref()
                .take(TABLE_RECORDS_PER_HEARTBEAT)
                .map(|(_, m)| m.record.clone()),
        );
        self.table_position = unsent.next().map(|(gateway, _)| gateway.clone());
    }
}
