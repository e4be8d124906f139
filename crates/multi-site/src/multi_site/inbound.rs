//! Requests that the other site forwards to this gateway.

use harrierdock_site_messages::{
    ForwardedRequest, ForwardingOutcome, ForwardingResponse, PathId, SiteMessage,
};
use harrierdock_types::{AffinityKey, ClassId, TimeDelta};

use super::MultiSite;
use crate::requests::{InboundCompletion, InboundKey, InboundState};
use crate::{Action, InboundId};

impl MultiSite {
    /// Accepts or refuses a request. Each request runs at most once, and a refused request never runs, however late its message or
    /// a copy arrives.
    pub(super) fn handle_inbound_received(&mut self, path: PathId, request: ForwardedRequest) {
        let key = self.inbound_key(path, request.forwarding_id, request.sender_incarnation);
        let Some(key) = key else {
            return;
        };
        if let Some(state) = self.inbound.state(&key) {
            self.counters.duplicates += 1;
            if let InboundState::Completed(completion) = state.clone() {
                self.respond(path, &key, completion);
            }
            return;
        }
        if self.inbound.may_have_forgotten(&key) {
            self.counters.inbound_refused += 1;
            let completion = InboundCompletion::without_answer(ForwardingOutcome::Unknown);
            return self.respond(path, &key, completion);
        }
        match self.try_admit(path, &request) {
            Ok((class, remaining)) => {
                self.counters.inbound_accepted += 1;
                let inbound = self.inbound.accept(key, path);
                self.actions.push(Action::ServeInbound {
                    inbound,
                    class,
                    key: request.affinity_key.map(AffinityKey),
                    remaining,
                    request,
                });
            }
            Err(outcome) => {
                self.counters.inbound_refused += 1;
                let completion = InboundCompletion::without_answer(outcome);
                self.inbound
                    .complete(self.now, key.clone(), completion.clone());
                self.respond(path, &key, completion);
            }
        }
    }

    /// Decides whether to accept a request. Returns its class and remaining time, or the outcome of the refusal.
    fn try_admit(
        &mut self,
        path: PathId,
        request: &ForwardedRequest,
    ) -> Result<(ClassId, TimeDelta), ForwardingOutcome> {
        // The earlier incarnation of this gateway may already have run the request.
        if request.receiver_incarnation != self.incarnation() {
            return Err(ForwardingOutcome::Unknown);
        }
        let is_closed = self.is_drained || self.is_shutting_down || self.ready_endpoints == 0;
        if is_closed || self.inbound.is_full() {
            return Err(ForwardingOutcome::NotAccepted);
        }
        let class = self.class_ids.get(&request.class).copied();
        let class = class.ok_or(ForwardingOutcome::NotAccepted)?;
        // The other end may exceed its credit.
        if !self.offered_capacity.admit(path, class) {
            return Err(ForwardingOutcome::NotAccepted);
        }
        let remaining = self.remaining(path, request);
        if remaining <= self.config.tick {
            return Err(ForwardingOutcome::NotAccepted);
        }
        Ok((class, remaining))
    }

    /// The time left for a request: what its sender stated, less the maximum age of its message. A message that a cut or loss
    /// held back may arrive after the client has its answer. Also, a request with an idempotency key may have run at the other
    /// site meanwhile, and both runs must lie within the deduplication window.
    fn remaining(&self, path: PathId, request: &ForwardedRequest) -> TimeDelta {
        let remaining = TimeDelta(i64::from(request.remaining_ms) * 1000);
        self.membership
            .max_message_age(self.now, path, request.heartbeat_sequence)
            .map_or(TimeDelta::ZERO, |age| remaining - age)
    }

    /// Responds to a completed inbound request if its sender is reachable.
    pub(super) fn handle_inbound_completed(
        &mut self,
        inbound: InboundId,
        completion: InboundCompletion,
    ) {
        let completed = self
            .inbound
            .complete_running(self.now, inbound, completion.clone());
        let Some((key, path)) = completed else {
            return;
        };
        if let Some(path) = self.membership.usable_path_to(&key.sender, Some(path)) {
            self.respond(path, &key, completion);
        }
    }

    /// Responds with the outcome of a request. A request that has not arrived is marked as not accepted, so that it never runs.
    pub(super) fn handle_status_queried(
        &mut self,
        path: PathId,
        forwarding_id: u64,
        sender_incarnation: u64,
        receiver_incarnation: u64,
    ) {
        let Some(key) = self.inbound_key(path, forwarding_id, sender_incarnation) else {
            return;
        };
        let completion = match self.inbound.state(&key) {
            Some(InboundState::Running { .. }) => return,
            Some(InboundState::Completed(completion)) => completion.clone(),
            None if self.inbound.may_have_forgotten(&key) => {
                InboundCompletion::without_answer(ForwardingOutcome::Unknown)
            }
            None if receiver_incarnation == self.incarnation() => {
                let outcome = ForwardingOutcome::NotAccepted;
                let completion = InboundCompletion::without_answer(outcome);
                self.inbound
                    .complete(self.now, key.clone(), completion.clone());
                completion
            }
            None => InboundCompletion::without_answer(ForwardingOutcome::Unknown),
        };
        self.respond(path, &key, completion);
    }

    /// Abandons an inbound request whose client disconnected. A request that has not arrived is marked as not accepted: the
    /// short cancel overtakes a request that is being repeated.
    pub(super) fn handle_inbound_cancelled(
        &mut self,
        path: PathId,
        forwarding_id: u64,
        sender_incarnation: u64,
    ) {
        let Some(key) = self.inbound_key(path, forwarding_id, sender_incarnation) else {
            return;
        };
        match self.inbound.state(&key) {
            Some(InboundState::Running { inbound, .. }) => {
                let inbound = *inbound;
                self.actions.push(Action::AbandonInbound { inbound });
            }
            Some(InboundState::Completed(_)) => {}
            None if self.inbound.may_have_forgotten(&key) => {}
            None => {
                let outcome = ForwardingOutcome::NotAccepted;
                let completion = InboundCompletion::without_answer(outcome);
                self.inbound.complete(self.now, key, completion);
            }
        }
    }

    /// The key of a request that arrived on a path. `None` if the path's peer is unknown.
    fn inbound_key(
        &self,
        path: PathId,
        forwarding_id: u64,
        sender_incarnation: u64,
    ) -> Option<InboundKey> {
        Some(InboundKey {
            sender: self.peer(path)?,
            sender_incarnation,
            forwarding_id,
        })
    }

    fn respond(&mut self, path: PathId, key: &InboundKey, completion: InboundCompletion) {
        let response = ForwardingResponse {
            forwarding_id: key.forwarding_id,
            sender_incarnation: key.sender_incarnation,
            outcome: completion.outcome,
            build: completion.build.map(|build| build.0),
            body: completion.body,
        };
        self.send(path, SiteMessage::Response(response));
    }
}
