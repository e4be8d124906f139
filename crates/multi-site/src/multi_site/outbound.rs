//! Requests of this gateway's clients: which are forwarded, and what follows from their responses.

use harrierdock_site_messages::{ForwardingOutcome, ForwardingResponse, PathId, SiteMessage};
use harrierdock_types::{BuildId, ClassId, RequestId, RetrySafety, TimeDelta};

use super::MultiSite;
use crate::path_selection::ForwardingResult;
use crate::requests::OutboundRequest;
use crate::{Action, RequestClass, RequestEnd};

/// The shortest time that the receiver of a forwarded request is given: the wire counts in milliseconds.
const MIN_REMAINING: TimeDelta = TimeDelta(1000);

impl MultiSite {
    /// A request is forwarded only while the local endpoints are not to have it. The local policy sees all others.
    pub(super) fn handle_request_received(
        &mut self,
        id: RequestId,
        class: ClassId,
        remaining: TimeDelta,
    ) {
        let is_forwarded = self.config.classes.get(class.0).is_some()
            && self
                .failover
                .should_forward(self.now, self.may_probe(class))
            && self.forward(id, class, remaining, false);
        if !is_forwarded {
            self.actions.push(Action::ServeLocally { id, remaining });
        }
    }

    /// Idempotent requests probe the local site. If no class is idempotent, all do: otherwise a site that has recovered would
    /// never be found.
    fn may_probe(&self, class: ClassId) -> bool {
        let is_idempotent = |class: &RequestClass| class.retry_safety == RetrySafety::Idempotent;
        let classes = &self.config.classes;
        classes.get(class.0).is_some_and(is_idempotent) || !classes.iter().any(is_idempotent)
    }

    /// What the local policy would reject may be forwarded, while there is time.
    pub(super) fn handle_locally_rejected(
        &mut self,
        id: RequestId,
        class: ClassId,
        remaining: TimeDelta,
    ) {
        self.failover
            .record_request_end(self.now, RequestEnd::Rejected);
        self.offered_capacity
            .record_request_end(RequestEnd::Rejected, false);
        if !self.forward(id, class, remaining, true) {
            self.reject(id);
        }
    }

    /// Forwards a request if there is a path for it.
    fn forward(
        &mut self,
        id: RequestId,
        class: ClassId,
        remaining: TimeDelta,
        locally_rejected: bool,
    ) -> bool {
        let Some(parameters) = self.config.classes.get(class.0) else {
            return false;
        };
        if self.is_shutting_down {
            return false;
        }
        let selected = self
            .path_selector
            .select(self.now, &self.membership, class, remaining);
        let Some((path_id, path)) =
            selected.and_then(|id| Some((id, self.membership.paths().get(&id)?)))
        else {
            return false;
        };
        let tick = self.config.tick;
        let receiver_incarnation = path.incarnation;
        // The response must be back before the client's deadline.
        let margin = tick + path.round_trip;
        let remaining_there = remaining_there(parameters.retry_safety, remaining, margin);
        let forwarding_id = self.outbound.insert(OutboundRequest {
            id,
            class,
            peer: path.peer.clone(),
            receiver_incarnation,
            sent: self.now,
            deadline: self.now + remaining - tick,
            locally_rejected,
            retry_safety: parameters.retry_safety,
            deduplicates_across_sites: parameters.deduplicates_across_sites,
            path: path_id,
        });
        self.path_selector.record_forwarded(path_id, class);
        self.counters.forwarded += 1;
        self.actions.push(Action::Forward {
            id,
            path: path_id,
            forwarding_id,
            receiver_incarnation,
            heartbeat_sequence: self.membership.heartbeat_sequence(),
            remaining: remaining_there,
        });
        true
    }

    fn reject(&mut self, id: RequestId) {
        self.actions.push(Action::Reject {
            id,
            retry_after: self.config.retry_after,
        });
    }

    /// Tells the other site that the client of a forwarded request went away.
    pub(super) fn handle_client_gone(&mut self, id: RequestId) {
        let Some((forwarding_id, request)) = self.outbound.take_abandoned(id) else {
            return;
        };
        let path = self
            .membership
            .usable_path_to(&request.peer, Some(request.path));
        if let Some(path) = path {
            let message = SiteMessage::Cancel {
                forwarding_id,
                sender_incarnation: self.incarnation(),
            };
            self.send(path, message);
        }
    }

    /// Only the first response to a forwarded request counts.
    pub(super) fn handle_response_received(&mut self, path: PathId, response: ForwardingResponse) {
        let is_ours = response.sender_incarnation == self.incarnation();
        let peer = self.membership.peer(path).filter(|_| is_ours);
        let request =
            peer.and_then(|peer| self.outbound.take_answered(response.forwarding_id, peer));
        let Some(request) = request else {
            self.counters.unmatched_responses += 1;
            return;
        };
        let was_served = matches!(
            response.outcome,
            ForwardingOutcome::Succeeded | ForwardingOutcome::Failed
        );
        let result = ForwardingResult {
            path,
            class: request.class,
            was_served,
            elapsed: self.now - request.sent,
        };
        self.path_selector.record_result(self.now, &result);
        self.counters.refused_there += u64::from(!was_served);
        self.finish(request, response);
    }

    fn finish(&mut self, request: OutboundRequest, response: ForwardingResponse) {
        let id = request.id;
        let remaining = request.deadline - self.now;
        match response.outcome {
            ForwardingOutcome::Succeeded => {
                self.counters.succeeded_there += 1;
                self.actions.push(Action::Succeed {
                    id,
                    body: response.body,
                    build: response.build.map(BuildId),
                });
            }
            // It has not run, so the local policy may have it, unless that has rejected it before.
            ForwardingOutcome::NotAccepted
                if !request.locally_rejected && remaining > TimeDelta::ZERO =>
            {
                self.actions.push(Action::ServeLocally { id, remaining });
            }
            ForwardingOutcome::NotAccepted => self.reject(id),
            // A rejected client tries again, at endpoints that may not deduplicate what has run.
            ForwardingOutcome::Rejected { may_have_run: true } if !request.is_retry_safe() => {
                self.actions.push(Action::Fail { id });
            }
            ForwardingOutcome::Rejected { .. } => self.reject(id),
            ForwardingOutcome::Failed => self.actions.push(Action::Fail { id }),
            ForwardingOutcome::Unknown => self.finish_unknown(request),
        }
    }

    /// Ends a forwarded request of which nothing more will be known.
    pub(super) fn finish_unknown(&mut self, request: OutboundRequest) {
        match request.local_retry_time(self.now, self.config.tick) {
            Some(remaining) => self.serve_after_loss(&request, remaining),
            None => {
                self.counters.failed_without_response += 1;
                self.actions.push(Action::Fail { id: request.id });
            }
        }
    }

    /// Serves a request locally that may run again, unless the local policy has rejected it before.
    pub(super) fn serve_after_loss(&mut self, request: &OutboundRequest, remaining: TimeDelta) {
        let id = request.id;
        if request.locally_rejected {
            return self.reject(id);
        }
        self.counters.served_locally_after_loss += 1;
        self.actions.push(Action::ServeLocally { id, remaining });
    }
}

/// The time that the receiver has for a request. With an idempotency key, the runs at both sites must lie within one deduplication
/// window, should the path be lost and the request be served locally after all.
fn remaining_there(safety: RetrySafety, remaining: TimeDelta, margin: TimeDelta) -> TimeDelta {
    let until_deadline = (remaining - margin).max(MIN_REMAINING);
    match safety {
        RetrySafety::IdempotencyKey {
            deduplication_window,
            ..
        } => until_deadline.min(deduplication_window - margin),
        RetrySafety::Idempotent | RetrySafety::NonIdempotent => until_deadline,
    }
}
