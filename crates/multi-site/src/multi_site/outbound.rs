//! Requests of this gateway's clients: which are forwarded, and how their responses are handled.

use harrierdock_site_messages::{ForwardingOutcome, ForwardingResponse, PathId, SiteMessage};
use harrierdock_types::{BuildId, ClassId, RequestId, RetrySafety, TimeDelta};

use super::MultiSite;
use crate::path_selection::ForwardingResult;
use crate::requests::OutboundRequest;
use crate::{Action, RequestClass, RequestEnd};

/// The minimum time to answer a forwarded request: one millisecond, the unit on the wire.
const MIN_REMAINING: TimeDelta = TimeDelta(1000);

impl MultiSite {
    /// Forwards a request if failover sends it to the other site and a path has credit. Otherwise it is served locally.
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

    /// Whether a request of this class may probe the local site. Only idempotent requests do, unless no class is idempotent:
    /// then all may, or the recovery of the site would never be noticed.
    fn may_probe(&self, class: ClassId) -> bool {
        let is_idempotent = |class: &RequestClass| class.retry_safety == RetrySafety::Idempotent;
        let classes = &self.config.classes;
        classes.get(class.0).is_some_and(is_idempotent) || !classes.iter().any(is_idempotent)
    }

    /// Forwards a request that the local policy is about to reject, or rejects it if there is no path or time.
    pub(super) fn handle_locally_rejected(
        &mut self,
        id: RequestId,
        class: ClassId,
        remaining: TimeDelta,
        timeout: TimeDelta,
    ) {
        // A request that came with too little time is no evidence about this site's endpoints.
        if !self.path_selector.has_time(class, timeout) {
            return self.reject(id);
        }
        self.failover
            .record_request_end(self.now, RequestEnd::Rejected);
        self.offered_capacity
            .record_request_end(RequestEnd::Rejected, false);
        if !self.forward(id, class, remaining, true) {
            self.reject(id);
        }
    }

    /// Forwards a request. Returns false if no path can take it.
    fn forward(
        &mut self,
        id: RequestId,
        class: ClassId,
        remaining: TimeDelta,
        locally_rejected: bool,
    ) -> bool {
        let Some(class_config) = self.config.classes.get(class.0) else {
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
        // The response must arrive before the client's deadline.
        let margin = tick + path.round_trip;
        let remaining_at_receiver =
            remaining_at_receiver(class_config.retry_safety, remaining, margin);
        let forwarding_id = self.outbound.insert(OutboundRequest {
            id,
            class,
            peer: path.peer.clone(),
            receiver_incarnation,
            sent: self.now,
            deadline: self.now + remaining - tick,
            locally_rejected,
            retry_safety: class_config.retry_safety,
            deduplicates_across_sites: class_config.deduplicates_across_sites,
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
            remaining: remaining_at_receiver,
        });
        true
    }

    fn reject(&mut self, id: RequestId) {
        self.actions.push(Action::Reject {
            id,
            retry_after: self.config.retry_after,
        });
    }

    /// Sends a cancel for a forwarded request whose client disconnected. Without a usable path it waits on the request's own, as
    /// the request itself may.
    pub(super) fn handle_client_disconnected(&mut self, id: RequestId) {
        let Some((forwarding_id, request)) = self.outbound.take_abandoned(id) else {
            return;
        };
        self.path_selector.record_abandoned(request.path);
        let path = self
            .membership
            .usable_path_to(&request.peer, Some(request.path))
            .unwrap_or(request.path);
        let message = SiteMessage::Cancel {
            forwarding_id,
            sender_incarnation: self.incarnation(),
        };
        self.send(path, message);
    }

    /// Handles the first response to a forwarded request, and counts any other as unmatched.
    pub(super) fn handle_response_received(&mut self, path: PathId, response: ForwardingResponse) {
        let matches_incarnation = response.sender_incarnation == self.incarnation();
        let peer = self.membership.peer(path).filter(|_| matches_incarnation);
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
            // The request has not run. Serve it locally unless the local policy has rejected it before.
            ForwardingOutcome::NotAccepted
                if !request.locally_rejected && remaining > TimeDelta::ZERO =>
            {
                self.actions.push(Action::ServeLocally { id, remaining });
            }
            ForwardingOutcome::NotAccepted => self.reject(id),
            // A rejected client retries, and the endpoints of its retry may not deduplicate the first run.
            ForwardingOutcome::Rejected { may_have_run: true } if !request.is_retry_safe() => {
                self.actions.push(Action::Fail { id });
            }
            ForwardingOutcome::Rejected { .. } => self.reject(id),
            ForwardingOutcome::Failed => self.actions.push(Action::Fail { id }),
            ForwardingOutcome::Unknown => self.finish_unknown(request),
        }
    }

    /// Handles a forwarded request whose outcome stays unknown: serves it locally if a repeat is safe and time remains, and fails it
    /// otherwise. If the local policy has rejected it before, it is rejected instead of served.
    pub(super) fn finish_unknown(&mut self, request: OutboundRequest) {
        match request.local_retry_time(self.now, self.config.tick) {
            Some(remaining) => self.serve_after_loss(&request, remaining),
            None => {
                self.counters.failed_without_response += 1;
                self.actions.push(Action::Fail { id: request.id });
            }
        }
    }

    /// Serves a retry-safe request locally, unless the local policy has rejected it before.
    pub(super) fn serve_after_loss(&mut self, request: &OutboundRequest, remaining: TimeDelta) {
        let id = request.id;
        if request.locally_rejected {
            return self.reject(id);
        }
        self.counters.served_locally_after_loss += 1;
        self.actions.push(Action::ServeLocally { id, remaining });
    }
}

/// The time within which the receiver must answer. If the path is lost, a request with an idempotency key may run locally as
/// well, and both runs must lie within the deduplication window. So the window bounds the time of such a request.
fn remaining_at_receiver(
    safety: RetrySafety,
    remaining: TimeDelta,
    margin: TimeDelta,
) -> TimeDelta {
    let until_deadline = (remaining - margin).max(MIN_REMAINING);
    match safety {
        RetrySafety::IdempotencyKey {
            deduplication_window,
            ..
        } => until_deadline.min(deduplication_window - margin),
        RetrySafety::Idempotent | RetrySafety::NonIdempotent => until_deadline,
    }
}
