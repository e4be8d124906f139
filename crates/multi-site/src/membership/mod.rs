//! Membership: the gateways of both sites, their states, and which paths are usable.
//!
//! Each gateway keeps a few paths to gateways of the other site. Heartbeats on them carry membership records, which spread
//! from gateway to gateway. A path is usable while both ends receive each other's heartbeats. Requests are handled elsewhere.

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

/// How many of the latest heartbeats are remembered in each direction.
const HEARTBEATS_REMEMBERED: usize = 64;

/// An action for the caller of membership to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Open a path to a gateway of the other site.
    Connect {
        /// The gateway to connect to.
        peer: GatewayName,
        /// The address to connect to.
        address: SocketAddr,
    },
    /// Close a path that membership has removed.
    ClosePath {
        /// The removed path.
        path: PathId,
    },
    /// Log a change for operators.
    Changed(Change),
    /// Both ends of a path now receive each other's heartbeats.
    PathUsable {
        /// The path that became usable.
        path: PathId,
    },
    /// A usable path became unusable or was closed.
    PathLost {
        /// The path that was lost.
        path: PathId,
    },
    /// A gateway has restarted, so its former incarnation never responds again.
    PeerRestarted {
        /// The restarted gateway.
        peer: GatewayName,
        /// The gateway's new incarnation.
        incarnation: u64,
    },
}

/// A heartbeat with the path to send it on.
#[derive(Clone, Debug, PartialEq)]
pub struct PathHeartbeat {
    /// The path to send the heartbeat on.
    pub path: PathId,
    /// The heartbeat; its demand and grants are still empty.
    pub heartbeat: Heartbeat,
}

/// The result of [`Membership::start_interval`].
#[derive(Clone, Debug, PartialEq)]
pub struct IntervalOutput {
    /// The actions to carry out before sending the heartbeats.
    pub actions: Vec<MembershipAction>,
    /// One heartbeat for each path.
    pub heartbeats: Vec<PathHeartbeat>,
}

/// One gateway's view of all gateways, and the paths of this one gateway.
pub struct Membership {
    own: MemberRecord,
    /// In how many heartbeat intervals the own record was sent since it last changed.
    own_times_sent: u32,
    other_site: String,
    rng: WyRand,
    members: BTreeMap<GatewayName, Member>,
    paths: BTreeMap<PathId, Path>,
    heartbeat_sequence: u32,
    /// When the latest heartbeats were sent, indexed by sequence number modulo the length.
    sent_at: [Timestamp; HEARTBEATS_REMEMBERED],
    /// The gateway whose record is the next old one to repeat.
    next_repeated: Option<GatewayName>,
    actions: Vec<MembershipAction>,
}

impl Membership {
    /// Starts with the configured gateways of the other site (`seeds`). `seed` initializes the random number generator.
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

    /// The records of all other gateways, each with the time of its last change of state.
    pub fn records(&self) -> impl Iterator<Item = (&MemberRecord, Timestamp)> {
        self.members.values().map(|m| (&m.record, m.state_since))
    }

    /// The record of another gateway, or `None` if it is unknown.
    pub fn record(&self, gateway: &GatewayName) -> Option<&MemberRecord> {
        self.members.get(gateway).map(|m| &m.record)
    }

    /// The state of another gateway, or `None` if it is unknown.
    pub fn state(&self, gateway: &GatewayName) -> Option<MemberState> {
        self.record(gateway).map(|record| record.state)
    }

    /// All paths, usable or not.
    pub fn paths(&self) -> &BTreeMap<PathId, Path> {
        &self.paths
    }

    /// The gateway at the other end of a path, or `None` if the path was removed.
    pub fn peer(&self, path: PathId) -> Option<&GatewayName> {
        self.paths.get(&path).map(|p| &p.peer)
    }

    /// The paths whose ends receive each other's heartbeats.
    pub fn usable_paths(&self) -> Vec<PathId> {
        let usable = self.paths.iter().filter(|(_, p)| p.is_usable);
        usable.map(|(id, _)| *id).collect()
    }

    /// Whether a usable path leads to this gateway.
    pub fn is_reachable(&self, peer: &GatewayName) -> bool {
        self.paths.values().any(|p| p.is_usable && p.peer == *peer)
    }

    /// A usable path to this gateway: the preferred path if it is usable, else any other.
    pub fn usable_path_to(&self, peer: &GatewayName, preferred: Option<PathId>) -> Option<PathId> {
        let is_usable = |id: &PathId| {
            let path = self.paths.get(id);
            path.is_some_and(|p| p.is_usable && p.peer == *peer)
        };
        preferred
            .filter(is_usable)
            .or_else(|| self.paths.keys().copied().find(is_usable))
    }

    /// The sequence number of the newest heartbeat sent.
    pub fn heartbeat_sequence(&self) -> u32 {
        self.heartbeat_sequence
    }

    /// The maximum age of a message that the other end sent after its heartbeat with this sequence number. `None` if unknown.
    ///
    /// Needs no clock of the other end: the age is counted from when this end received that heartbeat or an earlier one.
    pub fn max_message_age(
        &self,
        now: Timestamp,
        path: PathId,
        sequence: u32,
    ) -> Option<TimeDelta> {
        self.paths.get(&path)?.max_message_age(now, sequence)
    }

    /// Sets the state that this gateway announces.
    pub fn set_own_state(&mut self, state: MemberState) {
        if self.own.state != state {
            self.own.state = state;
            self.own.version += 1;
            self.own_times_sent = 0;
        }
    }

    /// Updates the path and the membership table from a heartbeat. Ignores copies and overtaken heartbeats.
    pub fn handle_heartbeat_received(
        &mut self,
        now: Timestamp,
        id: PathId,
        heartbeat: &Heartbeat,
    ) -> Vec<MembershipAction> {
        let Some(path) = self.paths.get_mut(&id) else {
            return Vec::new();
        };
        if !path.record_heartbeat(now, heartbeat) {
            return Vec::new();
        }
        let echo_age = self.heartbeat_sequence.wrapping_sub(heartbeat.echo) as usize;
        if heartbeat.echo > 0 && echo_age < HEARTBEATS_REMEMBERED {
            let sent = self.sent_at[heartbeat.echo as usize % HEARTBEATS_REMEMBERED];
            path.record_echo(now, sent, heartbeat.echo_delay_ms);
        }
        for record in &heartbeat.records {
            self.merge_record(now, record);
        }
        self.take_actions()
    }

    /// Starts a heartbeat interval: evaluates, opens and closes paths, and builds a heartbeat for each.
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
            let echo_delay = path.last_received.map_or(TimeDelta::ZERO, |at| now - at);
            let heartbeat = Heartbeat {
                incarnation: self.own.incarnation,
                sequence: self.heartbeat_sequence,
                echo: path.newest_sequence,
                echo_delay_ms: (echo_delay.0 / 1000).min(i64::from(u32::MAX)) as u32,
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
