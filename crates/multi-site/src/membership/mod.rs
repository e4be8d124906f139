//! Membership: which gateways there are at both sites, in which state, and which paths are usable.
//!
//! Each gateway keeps a few paths to gateways of the other site. Heartbeats on them carry membership records, which spread from
//! gateway to gateway. A path is usable while both ends receive each other's heartbeats. Nothing here knows of requests.

mod connections;
mod failure_detection;
mod member;
mod path;
mod records;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use harrierdock_site_messages::{GatewayName, Heartbeat, MemberRecord, MemberState, PathId};
use harrierdock_types::{TimeDelta, Timestamp};
use nanorand::WyRand;

use crate::Change;
use member::{rendezvous_rank, Member};
pub use path::Path;

/// How many of the latest heartbeats are remembered, sent and received.
const HEARTBEATS_REMEMBERED: usize = 64;

/// What membership asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Open a path.
    Connect {
        /// The gateway at its other end.
        peer: GatewayName,
        /// Where it is reached.
        address: SocketAddr,
    },
    /// Close a path, which membership has dropped.
    ClosePath {
        /// The path.
        path: PathId,
    },
    /// Report a change to operators.
    Changed(Change),
    /// A path has become usable.
    PathUsable {
        /// The path.
        path: PathId,
    },
    /// A path is not usable any more.
    PathLost {
        /// The path.
        path: PathId,
    },
    /// A gateway has started anew: its former incarnation is gone for good.
    PeerRestarted {
        /// The gateway.
        peer: GatewayName,
        /// Its incarnation now.
        incarnation: u64,
    },
}

/// A heartbeat to send.
#[derive(Clone, Debug, PartialEq)]
pub struct PathHeartbeat {
    /// The path to send it on.
    pub path: PathId,
    /// The heartbeat, without demand and grants.
    pub heartbeat: Heartbeat,
}

/// What follows from the start of a heartbeat interval.
#[derive(Clone, Debug, PartialEq)]
pub struct IntervalOutput {
    /// What to do first.
    pub actions: Vec<MembershipAction>,
    /// What to send then, one for each path.
    pub heartbeats: Vec<PathHeartbeat>,
}

/// One gateway's view of all gateways, and its paths.
pub struct Membership {
    own: MemberRecord,
    /// In how many intervals its own record was sent since it last changed.
    own_times_sent: u32,
    other_site: String,
    rng: WyRand,
    members: BTreeMap<GatewayName, Member>,
    paths: BTreeMap<PathId, Path>,
    heartbeat_sequence: u32,
    /// When the latest heartbeats were sent, by their number modulo the length.
    sent_at: [Timestamp; HEARTBEATS_REMEMBERED],
    /// Where the repetition of old records continues.
    next_repeated: Option<GatewayName>,
    actions: Vec<MembershipAction>,
}

impl Membership {
    /// `seeds` are gateways of the other site that are known from the start, `seed` is that of the random draws.
    pub fn new(
        own: MemberRecord,
        other_site: String,
        seeds: &[(GatewayName, SocketAddr)],
        seed: u64,
    ) -> Membership {
        let member = |(gateway, address): &(GatewayName, SocketAddr)| {
            let record = MemberRecord {
                gateway: gateway.clone(),
                address: Some(*address),
                incarnation: 0,
                version: 0,
                state: MemberState::Serving,
            };
            let rank = rendezvous_rank(&own.gateway, gateway);
            (gateway.clone(), Member::new(record, Timestamp(0), rank))
        };
        let members = seeds.iter().map(member).collect();
        Membership {
            own,
            own_times_sent: 0,
            other_site,
            rng: WyRand::new_seed(seed),
            members,
            paths: BTreeMap::new(),
            heartbeat_sequence: 0,
            sent_at: [Timestamp(0); HEARTBEATS_REMEMBERED],
            next_repeated: None,
            actions: Vec::new(),
        }
    }

    /// This gateway's record.
    pub fn own_record(&self) -> &MemberRecord {
        &self.own
    }

    /// All records of other gateways, each with the time since which its state holds.
    pub fn records(&self) -> impl Iterator<Item = (&MemberRecord, Timestamp)> {
        self.members.values().map(|m| (&m.record, m.since))
    }

    /// The record of another gateway.
    pub fn record(&self, gateway: &GatewayName) -> Option<&MemberRecord> {
        self.members.get(gateway).map(|m| &m.record)
    }

    /// The state of another gateway.
    pub fn state(&self, gateway: &GatewayName) -> Option<MemberState> {
        self.record(gateway).map(|record| record.state)
    }

    /// All paths, usable or not.
    pub fn paths(&self) -> &BTreeMap<PathId, Path> {
        &self.paths
    }

    /// The gateway at the other end of a path.
    pub fn peer(&self, path: PathId) -> Option<&GatewayName> {
        self.paths.get(&path).map(|p| &p.peer)
    }

    /// The usable paths.
    pub fn usable_paths(&self) -> Vec<PathId> {
        let usable = self.paths.iter().filter(|(_, p)| p.is_usable);
        usable.map(|(id, _)| *id).collect()
    }

    /// Whether a usable path leads to this gateway.
    pub fn is_reachable(&self, peer: &GatewayName) -> bool {
        self.paths.values().any(|p| p.is_usable && p.peer == *peer)
    }

    /// A usable path to this gateway: the preferred one, if it is.
    pub fn usable_path_to(&self, peer: &GatewayName, preferred: Option<PathId>) -> Option<PathId> {
        let is_usable = |id: &PathId| {
            let path = self.paths.get(id);
            path.is_some_and(|p| p.is_usable && p.peer == *peer)
        };
        preferred
            .filter(is_usable)
            .or_else(|| self.paths.keys().copied().find(is_usable))
    }

    /// The number of the newest heartbeat sent.
    pub fn heartbeat_sequence(&self) -> u32 {
        self.heartbeat_sequence
    }

    /// How old a message is at the most that the other end sent after its heartbeat of this number; none if that is unknown.
    ///
    /// The other end's clock is not needed: the time is known at which that heartbeat, or one before it, was received here.
    pub fn max_message_age(
        &self,
        now: Timestamp,
        path: PathId,
        sequence: u32,
    ) -> Option<TimeDelta> {
        self.paths.get(&path)?.max_message_age(now, sequence)
    }

    /// Announces another state of this gateway.
    pub fn set_own_state(&mut self, state: MemberState) {
        if self.own.state != state {
            self.own.state = state;
            self.own.version += 1;
            self.own_times_sent = 0;
        }
    }

    /// Takes in a heartbeat.
    pub fn handle_heartbeat_received(
        &mut self,
        now: Timestamp,
        id: PathId,
        heartbeat: &Heartbeat,
    ) -> Vec<MembershipAction> {
        let Some(path) = self.paths.get_mut(&id) else {
            return Vec::new();
        };
        if !path.note_received(now, heartbeat) {
            return Vec::new();
        }
        let echo_age = self.heartbeat_sequence.wrapping_sub(heartbeat.echo) as usize;
        if heartbeat.echo > 0 && echo_age < HEARTBEATS_REMEMBERED {
            let sent = self.sent_at[heartbeat.echo as usize % HEARTBEATS_REMEMBERED];
            path.note_echo(now, sent, heartbeat.echo_delay_ms);
        }
        for record in &heartbeat.records {
            self.learn(now, record);
        }
        self.take_actions()
    }

    /// Starts a heartbeat interval: evaluates, opens and closes paths, and writes a heartbeat for each.
    pub fn start_interval(&mut self, now: Timestamp) -> IntervalOutput {
        self.evaluate(now);
        self.open_paths(now);
        self.heartbeat_sequence += 1;
        self.sent_at[self.heartbeat_sequence as usize % HEARTBEATS_REMEMBERED] = now;
        let records = self.records_to_send();
        let mut heartbeats = Vec::new();
        for (id, path) in &mut self.paths {
            let mut records = records.clone();
            path.add_table_records(&self.members, &mut records);
            let delay = path.last_received.map_or(TimeDelta::ZERO, |at| now - at);
            let heartbeat = Heartbeat {
                incarnation: self.own.incarnation,
                sequence: self.heartbeat_sequence,
                echo: path.newest_sequence,
                echo_delay_ms: (delay.0 / 1000).min(i64::from(u32::MAX)) as u32,
                records,
                ..Heartbeat::default()
            };
            heartbeats.push(PathHeartbeat {
                path: *id,
                heartbeat,
            });
        }
        IntervalOutput {
            actions: self.take_actions(),
            heartbeats,
        }
    }

    fn take_actions(&mut self) -> Vec<MembershipAction> {
        std::mem::take(&mut self.actions)
    }
}
