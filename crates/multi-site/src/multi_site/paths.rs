//! Paths and heartbeats: carries out the actions of membership and handles lost paths and restarted gateways.

use harrierdock_site_messages::{GatewayName, Heartbeat, MemberState, PathId, SiteMessage};
use harrierdock_types::ClassId;

use super::MultiSite;
use crate::{Action, MembershipAction};

impl MultiSite {
    pub(super) fn handle_path_opened(&mut self, path: PathId, peer: GatewayName) {
        let actions = self.membership.handle_path_opened(self.now, path, peer);
        self.apply_membership_actions(actions);
        self.send_heartbeats();
    }

    pub(super) fn handle_path_closed(&mut self, path: PathId, orderly: bool) {
        let actions = self.membership.handle_path_closed(self.now, path, orderly);
        self.apply_membership_actions(actions);
    }

    pub(super) fn handle_connect_failed(&mut self, peer: &GatewayName) {
        let actions = self.membership.handle_connect_failed(self.now, peer);
        self.apply_membership_actions(actions);
    }

    pub(super) fn handle_heartbeat_received(&mut self, path: PathId, heartbeat: &Heartbeat) {
        let actions = self
            .membership
            .handle_heartbeat_received(self.now, path, heartbeat);
        self.apply_membership_actions(actions);
        let grants = self.to_class_ids(&heartbeat.grants);
        let demand = self.to_class_ids(&heartbeat.demand);
        self.path_selector.set_grants(self.now, path, &grants);
        self.offered_capacity.set_demand(path, &demand);
    }

    /// Maps class names to ids. Drops classes that this gateway does not have.
    fn to_class_ids(&self, counts: &[(String, u16)]) -> Vec<(ClassId, f64)> {
        counts
            .iter()
            .filter_map(|(name, count)| Some((*self.class_ids.get(name)?, f64::from(*count))))
            .collect()
    }

    /// Maps class ids to names.
    fn to_class_names(&self, counts: Vec<(ClassId, u16)>) -> Vec<(String, u16)> {
        let class = |class: ClassId| self.config.classes.get(class.0);
        counts
            .into_iter()
            .filter_map(|(id, count)| Some((class(id)?.name.clone(), count)))
            .collect()
    }

    /// Starts an interval of membership, and sends its heartbeats with this gateway's grants and demand.
    pub(super) fn send_heartbeats(&mut self) {
        let interval = self.membership.start_interval(self.now);
        self.apply_membership_actions(interval.actions);
        for to_send in interval.heartbeats {
            let mut heartbeat = to_send.heartbeat;
            heartbeat.grants = self.to_class_names(self.offered_capacity.grants(to_send.path));
            heartbeat.demand = self.to_class_names(self.path_selector.demand());
            self.send(to_send.path, SiteMessage::Heartbeat(heartbeat));
        }
    }

    /// Announces whether this gateway accepts requests, and withdraws the credit granted so far.
    pub(super) fn announce_own_state(&mut self) {
        let state = if self.is_shutting_down {
            MemberState::Leaving
        } else if self.is_drained {
            MemberState::Draining
        } else {
            MemberState::Serving
        };
        self.membership.set_own_state(state);
        let paths: Vec<PathId> = self.membership.paths().keys().copied().collect();
        self.offered_capacity.start_interval(&paths, false);
        self.send_heartbeats();
    }

    fn apply_membership_actions(&mut self, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Connect { peer, address } => {
                    self.actions.push(Action::Connect { peer, address });
                }
                MembershipAction::ClosePath { path } => {
                    self.forget_path(path);
                    self.actions.push(Action::ClosePath { path });
                }
                MembershipAction::Changed(change) => {
                    self.actions.push(Action::StatusChanged(change));
                }
                MembershipAction::PathUsable { path } => self.handle_path_usable(path),
                MembershipAction::PathLost { path } => self.handle_path_lost(path),
                MembershipAction::PeerRestarted { peer, incarnation } => {
                    self.handle_peer_restarted(&peer, incarnation);
                }
            }
        }
    }

    fn forget_path(&mut self, path: PathId) {
        self.path_selector.forget_path(path);
        self.offered_capacity.forget_path(path);
    }

    /// Queries the status of all requests that the other end has not answered.
    fn handle_path_usable(&mut self, path: PathId) {
        let Some(peer) = self.peer(path) else {
            return;
        };
        let sender_incarnation = self.incarnation();
        for missing in self.outbound.missing_responses(&peer) {
            let message = SiteMessage::StatusQuery {
                forwarding_id: missing.forwarding_id,
                sender_incarnation,
                receiver_incarnation: missing.receiver_incarnation,
            };
            self.send(path, message);
        }
    }

    /// Serves retry-safe requests of a lost path locally. The others wait for a late response until their deadline.
    fn handle_path_lost(&mut self, path: PathId) {
        self.forget_path(path);
        let retries =
            self.outbound
                .take_local_retries(path, &self.membership, self.now, self.config.tick);
        for retry in retries {
            self.serve_after_loss(&retry.request, retry.remaining);
        }
    }

    /// Finishes requests forwarded to an earlier incarnation, which will not answer them. Abandons the inbound requests from
    /// that incarnation, since their clients were disconnected.
    fn handle_peer_restarted(&mut self, peer: &GatewayName, incarnation: u64) {
        for request in self.outbound.take_lost_by_restart(peer, incarnation) {
            self.finish_unknown(request);
        }
        for inbound in self
            .inbound
            .running_for_earlier_incarnation(peer, incarnation)
        {
            self.actions.push(Action::AbandonInbound { inbound });
        }
    }
}
