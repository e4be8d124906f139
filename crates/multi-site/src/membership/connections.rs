//! Opening and closing paths to gateways of the other site.

use harrierdock_site_messages::{GatewayName, MemberState, PathId};
use harrierdock_types::Timestamp;
use nanorand::Rng;

use super::{Membership, MembershipAction, Path};
use crate::HEARTBEAT_INTERVAL;

/// How many paths a gateway opens. On average, other gateways open the same number of paths to it.
const OPENED_PATHS: usize = 3;
/// The maximum number of paths, whichever end opened them.
const MAX_PATHS: usize = 8 * OPENED_PATHS;
/// Heartbeat intervals before the first retry of a failed connect, and their maximum. The delay doubles with each failure.
const CONNECT_RETRY_INTERVALS: f64 = 2.0;
const MAX_CONNECT_RETRY_INTERVALS: f64 = 32.0;
/// Limits the exponent of the retry delay before `MAX_CONNECT_RETRY_INTERVALS` is applied.
const MAX_CONNECT_RETRY_DOUBLINGS: u32 = 16;

/// A gateway to which a path may be opened. Sorts by rank, with unavailable (leaving, suspected or lost) gateways last.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Candidate<'a> {
    is_unavailable: bool,
    rank: u64,
    gateway: &'a GatewayName,
}

/// The gateways to which this gateway should have a path.
struct WantedPaths {
    gateways: Vec<GatewayName>,
    /// Whether enough gateways are serving or draining.
    is_complete: bool,
}

impl Membership {
    /// Adds a path that either end opened. Closes the new path if the limit of paths is exceeded.
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

    /// Removes a closed path. Suspects the other gateway unless it announced the close (`orderly`).
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
            self.schedule_connect_retry(now, &path.peer);
        }
        if path.is_usable {
            self.actions.push(MembershipAction::PathLost { path: id });
        }
        if !orderly && !self.is_reachable(&path.peer) {
            self.suspect(now, &path.peer);
        }
        self.take_actions()
    }

    /// Schedules a retry and suspects the gateway that could not be reached.
    pub fn handle_connect_failed(
        &mut self,
        now: Timestamp,
        peer: &GatewayName,
    ) -> Vec<MembershipAction> {
        self.schedule_connect_retry(now, peer);
        self.suspect(now, peer);
        self.take_actions()
    }

    /// Delays the next connect by exponential backoff with jitter, so that many gateways don't retry the same one at once.
    fn schedule_connect_retry(&mut self, now: Timestamp, peer: &GatewayName) {
        let Some(member) = self.members.get_mut(peer) else {
            return;
        };
        let doublings = member.failed_connects.min(MAX_CONNECT_RETRY_DOUBLINGS) as i32;
        let intervals =
            (CONNECT_RETRY_INTERVALS * f64::powi(2.0, doublings)).min(MAX_CONNECT_RETRY_INTERVALS);
        let delay = HEARTBEAT_INTERVAL * intervals;
        let jitter = 0.5 + self.rng.generate::<f64>();
        member.is_connecting = false;
        member.failed_connects += 1;
        member.next_connect = now + delay * jitter;
    }

    /// Opens the missing paths. Once all wanted gateways are reachable, closes one surplus path.
    pub(super) fn open_paths(&mut self, now: Timestamp) {
        let wanted = self.select_wanted_paths();
        if wanted.is_complete && wanted.gateways.iter().all(|g| self.is_reachable(g)) {
            self.close_surplus_path(&wanted.gateways);
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

    /// Selects gateways of the other site by rendezvous hashing. If too few are available, it adds unavailable ones, so that
    /// a site that was cut off is found again.
    fn select_wanted_paths(&self) -> WantedPaths {
        let mut candidates: Vec<Candidate> = Vec::new();
        for (gateway, member) in &self.members {
            if gateway.site != self.other_site {
                continue;
            }
            let candidate = Candidate {
                is_unavailable: member.record.state >= MemberState::Leaving,
                rank: member.rank,
                gateway,
            };
            let is_full = candidates.len() >= 2 * OPENED_PATHS;
            if !is_full || candidates.last().is_some_and(|last| candidate < *last) {
                let at = candidates.partition_point(|f| *f < candidate);
                candidates.insert(at, candidate);
                candidates.truncate(2 * OPENED_PATHS);
            }
        }
        let available_count = candidates.iter().take_while(|c| !c.is_unavailable).count();
        let is_complete = available_count >= OPENED_PATHS;
        let count = if is_complete {
            OPENED_PATHS
        } else {
            candidates.len()
        };
        WantedPaths {
            gateways: candidates
                .into_iter()
                .take(count)
                .map(|c| c.gateway.clone())
                .collect(),
            is_complete,
        }
    }

    /// Closes one path that this end opened before it knew of gateways with a lower rank.
    fn close_surplus_path(&mut self, wanted: &[GatewayName]) {
        let is_surplus = |path: &Path| path.opened_here && !wanted.contains(&path.peer);
        let surplus = self.paths.iter().find(|(_, path)| is_surplus(path));
        let Some(id) = surplus.map(|(id, _)| *id) else {
            return;
        };
        if self.paths.remove(&id).is_some_and(|path| path.is_usable) {
            self.actions.push(MembershipAction::PathLost { path: id });
        }
        self.actions.push(MembershipAction::ClosePath { path: id });
    }
}
