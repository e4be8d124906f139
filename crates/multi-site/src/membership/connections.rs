//! Which paths are opened and closed.

use harrierdock_site_messages::{GatewayName, MemberState, PathId};
use harrierdock_types::Timestamp;
use nanorand::Rng;

use super::{Membership, MembershipAction, Path};
use crate::HEARTBEAT_INTERVAL;

/// How many paths a gateway opens of itself; the others open as many to it on average.
const OPENED_PATHS: usize = 3;
/// The most paths, opened by either end.
const MAX_PATHS: usize = 8 * OPENED_PATHS;
/// Intervals until a failed connect is tried again, doubled with each failure, and the most.
const CONNECT_RETRY_INTERVALS: f64 = 2.0;
const MAX_CONNECT_RETRY_INTERVALS: f64 = 32.0;
/// The most doublings of that time.
const MAX_CONNECT_RETRY_DOUBLINGS: u32 = 16;

/// A gateway to which a path may be opened; the lowest come first, those that are gone last.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Candidate<'a> {
    is_gone: bool,
    rank: u64,
    gateway: &'a GatewayName,
}

/// The gateways to which paths are to be open.
struct WantedPaths {
    gateways: Vec<GatewayName>,
    /// None of them is known to be gone.
    is_complete: bool,
}

impl Membership {
    /// A path was opened, by either end. One beyond the bound is closed again, whoever opens it.
    pub fn handle_path_opened(
        &mut self,
        now: Timestamp,
        id: PathId,
        peer: GatewayName,
    ) -> Vec<MembershipAction> {
        if self.paths.len() >= MAX_PATHS {
            return vec![MembershipAction::ClosePath { path: id }];
        }
        let member = self.members.get_mut(&peer);
        let opened_here = member.is_some_and(|m| std::mem::take(&mut m.is_connecting));
        self.paths.insert(id, Path::new(peer, now, opened_here));
        Vec::new()
    }

    /// A path was closed. If the other end has announced that (`orderly`), it is no sign of trouble.
    pub fn handle_path_closed(
        &mut self,
        now: Timestamp,
        id: PathId,
        orderly: bool,
    ) -> Vec<MembershipAction> {
        let Some(path) = self.paths.remove(&id) else {
            return Vec::new();
        };
        if path.opened_here {
            self.delay_connect(now, &path.peer);
        }
        if path.is_usable {
            self.actions.push(MembershipAction::PathLost { path: id });
        }
        if !orderly && !self.is_reachable(&path.peer) {
            self.suspect(now, &path.peer);
        }
        self.take_actions()
    }

    /// A path could not be opened.
    pub fn handle_connect_failed(
        &mut self,
        now: Timestamp,
        peer: &GatewayName,
    ) -> Vec<MembershipAction> {
        self.delay_connect(now, peer);
        self.suspect(now, peer);
        self.take_actions()
    }

    /// Exponential backoff with jitter, so that many gateways don't try one that is gone, or full, all at once.
    fn delay_connect(&mut self, now: Timestamp, peer: &GatewayName) {
        let Some(member) = self.members.get_mut(peer) else {
            return;
        };
        let doublings = member.failed_connects.min(MAX_CONNECT_RETRY_DOUBLINGS) as i32;
        let intervals =
            (CONNECT_RETRY_INTERVALS * f64::powi(2.0, doublings)).min(MAX_CONNECT_RETRY_INTERVALS);
        let wait = HEARTBEAT_INTERVAL * intervals;
        let jitter = 0.5 + self.rng.generate::<f64>();
        member.is_connecting = false;
        member.failed_connects += 1;
        member.next_connect = now + wait * jitter;
    }

    /// Opens the paths that are wanted and not there, and closes one that is not wanted any more.
    pub(super) fn open_paths(&mut self, now: Timestamp) {
        let wanted = self.wanted_paths();
        if wanted.is_complete && wanted.gateways.iter().all(|g| self.is_reachable(g)) {
            self.close_unwanted_path(&wanted.gateways);
        }
        for gateway in wanted.gateways {
            if self.paths.values().any(|p| p.peer == gateway) {
                continue;
            }
            let Some(member) = self.members.get_mut(&gateway) else {
                continue;
            };
            let Some(address) = member.record.address else {
                continue;
            };
            if !member.is_connecting && member.next_connect <= now {
                member.is_connecting = true;
                self.actions.push(MembershipAction::Connect {
                    peer: gateway,
                    address,
                });
            }
        }
    }

    /// The first gateways of the other site by rendezvous hashing. Where too few are there, those that are gone are tried as
    /// well, so that a site that was cut off is found again.
    fn wanted_paths(&self) -> WantedPaths {
        let mut first: Vec<Candidate> = Vec::new();
        for (gateway, member) in &self.members {
            if gateway.site != self.other_site {
                continue;
            }
            let candidate = Candidate {
                is_gone: member.record.state >= MemberState::Leaving,
                rank: member.rank,
                gateway,
            };
            let is_full = first.len() >= 2 * OPENED_PATHS;
            if !is_full || first.last().is_some_and(|last| candidate < *last) {
                let at = first.partition_point(|f| *f < candidate);
                first.insert(at, candidate);
                first.truncate(2 * OPENED_PATHS);
            }
        }
        let present = first.iter().take_while(|c| !c.is_gone).count();
        let is_complete = present >= OPENED_PATHS;
        let count = if is_complete {
            OPENED_PATHS
        } else {
            first.len()
        };
        WantedPaths {
            gateways: first
                .into_iter()
                .take(count)
                .map(|c| c.gateway.clone())
                .collect(),
            is_complete,
        }
    }

    /// Closes one path that this end opened before it knew of gateways that rank lower.
    fn close_unwanted_path(&mut self, wanted: &[GatewayName]) {
        let is_unwanted = |path: &Path| path.opened_here && !wanted.contains(&path.peer);
        let unwanted = self.paths.iter().find(|(_, path)| is_unwanted(path));
        let Some(id) = unwanted.map(|(id, _)| *id) else {
            return;
        };
        if self.paths.remove(&id).is_some_and(|path| path.is_usable) {
            self.actions.push(MembershipAction::PathLost { path: id });
        }
        self.actions.push(MembershipAction::ClosePath { path: id });
    }
}
