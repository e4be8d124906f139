//! Failure detection: which paths are usable, and which gateways are suspected or lost.

use harrierdock_site_messages::{GatewayName, MemberState, PathId};
use harrierdock_types::{TimeDelta, Timestamp};

use super::{Membership, MembershipAction};
use crate::HEARTBEAT_INTERVAL;

/// A path is unusable after this many heartbeat intervals without a heartbeat or without an echo.
const UNUSABLE_AFTER_INTERVALS: f64 = 7.0;
/// The other end is suspected after this many heartbeat intervals without a heartbeat. On a link that loses a third of all
/// heartbeats, seven in a row are missed every few minutes, and fourteen hardly ever.
const SUSPECT_AFTER_INTERVALS: f64 = 14.0;
/// A suspected gateway is lost after this many heartbeat intervals unless it refutes the suspicion. A path without a heartbeat
/// for as long is closed.
const LOST_AFTER_INTERVALS: f64 = 25.0;
/// The record of an unavailable gateway is removed after this many heartbeat intervals.
const REMOVE_AFTER_INTERVALS: f64 = 3000.0;

/// A path on which heartbeats have stopped arriving.
struct UnresponsivePath {
    id: PathId,
    peer: GatewayName,
    time_since_heartbeat: TimeDelta,
}

impl Membership {
    /// Evaluates the state of all paths and gateways.
    pub(super) fn evaluate(&mut self, now: Timestamp) {
        self.evaluate_paths(now);
        self.handle_unresponsive_paths(now);
        self.close_duplicate_path();
        self.declare_lost(now);
        self.remove_unavailable_members(now);
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
            // A path that has lasted resets the connect backoff.
            let is_proven = now - path.opened_at > HEARTBEAT_INTERVAL * LOST_AFTER_INTERVALS;
            if is_usable && is_proven {
                if let Some(member) = self.members.get_mut(&path.peer) {
                    member.failed_connects = 0;
                }
            }
        }
    }

    /// Suspects gateways whose heartbeats have stopped. A gateway that sends heartbeats but does not receive this gateway's is
    /// not suspected, since it may serve others.
    fn handle_unresponsive_paths(&mut self, now: Timestamp) {
        let unresponsive_path = |(id, path): (&PathId, &super::Path)| UnresponsivePath {
            id: *id,
            peer: path.peer.clone(),
            time_since_heartbeat: now - path.last_received.unwrap_or(path.opened_at),
        };
        let suspect_after = HEARTBEAT_INTERVAL * SUSPECT_AFTER_INTERVALS;
        let unresponsive: Vec<UnresponsivePath> = self
            .paths
            .iter()
            .map(unresponsive_path)
            .filter(|s| s.time_since_heartbeat > suspect_after)
            .collect();
        for path in unresponsive {
            if !self.is_reachable(&path.peer) {
                self.suspect(now, &path.peer);
            }
            if path.time_since_heartbeat > HEARTBEAT_INTERVAL * LOST_AFTER_INTERVALS {
                self.paths.remove(&path.id);
                self.actions
                    .push(MembershipAction::ClosePath { path: path.id });
            }
        }
    }

    /// Closes one of two paths if both ends opened one at the same time. Only the gateway with the lower name does so.
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
            if is_suspected && now - member.state_since > time_to_refute {
                member.set_state(now, MemberState::Lost, &mut self.actions);
            }
        }
    }

    /// Removes old records of unavailable gateways, since gateway names change over time and the table would grow forever.
    fn remove_unavailable_members(&mut self, now: Timestamp) {
        let connected: Vec<&GatewayName> = self.paths.values().map(|p| &p.peer).collect();
        self.members.retain(|gateway, member| {
            member.record.state < MemberState::Leaving
                || member.record.incarnation == 0
                || now - member.state_since < HEARTBEAT_INTERVAL * REMOVE_AFTER_INTERVALS
                || connected.contains(&gateway)
        });
    }

    /// Marks a gateway as suspected until it refutes the suspicion itself.
    pub(super) fn suspect(&mut self, now: Timestamp, peer: &GatewayName) {
        let Some(member) = self.members.get_mut(peer) else {
            return;
        };
        if member.record.state < MemberState::Leaving {
            member.set_state(now, MemberState::Suspected, &mut self.actions);
        }
    }
}
