//! Which paths are usable, and which gateways are suspected and lost.

use harrierdock_site_messages::{GatewayName, MemberState, PathId};
use harrierdock_types::{TimeDelta, Timestamp};

use super::{Membership, MembershipAction};
use crate::HEARTBEAT_INTERVAL;

/// Intervals without a heartbeat, or without an echo, after which a path is not usable.
const UNUSABLE_AFTER_INTERVALS: f64 = 7.0;
/// Intervals without a heartbeat after which the other end is suspected. On a line that loses a third of all heartbeats, seven in
/// a row are missed every few minutes; twice as many hardly ever.
const SUSPECT_AFTER_INTERVALS: f64 = 14.0;
/// Intervals after which a suspicion that was not refuted is a loss, and a silent path is closed.
const LOST_AFTER_INTERVALS: f64 = 25.0;
/// Intervals for which a gateway that is gone is remembered.
const FORGET_AFTER_INTERVALS: f64 = 3000.0;

/// A path on which no heartbeat is received.
struct SilentPath {
    id: PathId,
    peer: GatewayName,
    silence: TimeDelta,
}

impl Membership {
    /// Evaluates all paths and gateways.
    pub(super) fn evaluate(&mut self, now: Timestamp) {
        self.evaluate_paths(now);
        self.handle_silent_paths(now);
        self.close_duplicate_path();
        self.declare_lost(now);
        self.forget_gone_members(now);
    }

    fn evaluate_paths(&mut self, now: Timestamp) {
        let longest_gap = HEARTBEAT_INTERVAL * UNUSABLE_AFTER_INTERVALS;
        let is_recent = |at: Option<Timestamp>| at.is_some_and(|at| now - at <= longest_gap);
        for (id, path) in &mut self.paths {
            let is_usable = is_recent(path.last_received) && is_recent(path.last_echoed);
            let was_usable = std::mem::replace(&mut path.is_usable, is_usable);
            if is_usable && !was_usable {
                self.actions
                    .push(MembershipAction::PathUsable { path: *id });
            }
            if was_usable && !is_usable {
                self.actions.push(MembershipAction::PathLost { path: *id });
            }
            let is_proven = now - path.since > HEARTBEAT_INTERVAL * LOST_AFTER_INTERVALS;
            if is_usable && is_proven {
                if let Some(member) = self.members.get_mut(&path.peer) {
                    member.failed_connects = 0;
                }
            }
        }
    }

    /// A gateway whose heartbeats are received but that does not receive ours is not suspected: it may serve others.
    fn handle_silent_paths(&mut self, now: Timestamp) {
        let silent_path = |(id, path): (&PathId, &super::Path)| SilentPath {
            id: *id,
            peer: path.peer.clone(),
            silence: now - path.last_received.unwrap_or(path.since),
        };
        let suspicious = HEARTBEAT_INTERVAL * SUSPECT_AFTER_INTERVALS;
        let silent: Vec<SilentPath> = self
            .paths
            .iter()
            .map(silent_path)
            .filter(|s| s.silence > suspicious)
            .collect();
        for path in silent {
            if !self.is_reachable(&path.peer) {
                self.suspect(now, &path.peer);
            }
            if path.silence > HEARTBEAT_INTERVAL * LOST_AFTER_INTERVALS {
                self.paths.remove(&path.id);
                self.actions
                    .push(MembershipAction::ClosePath { path: path.id });
            }
        }
    }

    /// Both ends may have opened a path to each other at the same time. The end of the lower name closes one of the two.
    fn close_duplicate_path(&mut self) {
        let duplicate = self.paths.iter().find(|(id, path)| {
            let mut earlier = self.paths.range(..*id).map(|(_, other)| other);
            self.own.gateway < path.peer
                && path.is_usable
                && earlier.any(|other| other.is_usable && other.peer == path.peer)
        });
        if let Some(id) = duplicate.map(|(id, _)| *id) {
            self.paths.remove(&id);
            self.actions.push(MembershipAction::PathLost { path: id });
            self.actions.push(MembershipAction::ClosePath { path: id });
        }
    }

    fn declare_lost(&mut self, now: Timestamp) {
        let time_to_refute = HEARTBEAT_INTERVAL * LOST_AFTER_INTERVALS;
        for member in self.members.values_mut() {
            let is_suspected = member.record.state == MemberState::Suspected;
            if is_suspected && now - member.since > time_to_refute {
                member.set_state(now, MemberState::Lost, &mut self.actions);
            }
        }
    }

    /// Names come and go: without this the table would keep all that ever were.
    fn forget_gone_members(&mut self, now: Timestamp) {
        let connected: Vec<&GatewayName> = self.paths.values().map(|p| &p.peer).collect();
        self.members.retain(|gateway, member| {
            member.record.state < MemberState::Leaving
                || member.record.incarnation == 0
                || now - member.since < HEARTBEAT_INTERVAL * FORGET_AFTER_INTERVALS
                || connected.contains(&gateway)
        });
    }

    /// Suspects a gateway, until it refutes that itself.
    pub(super) fn suspect(&mut self, now: Timestamp, peer: &GatewayName) {
        let Some(member) = self.members.get_mut(peer) else {
            return;
        };
        if member.record.state < MemberState::Leaving {
            member.set_state(now, MemberState::Suspected, &mut self.actions);
        }
    }
}
