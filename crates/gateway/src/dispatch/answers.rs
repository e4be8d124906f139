//! Answers. Every request gets exactly one: an endpoint's response, the policy's rejection, or a failure at the deadline.

use harrierdock_attempt_guard::IdRelease;
use harrierdock_flow_metering::FlowOutcome;
use harrierdock_multi_site::{Event as MultiSiteEvent, RequestEnd};
use harrierdock_site_messages::ForwardingOutcome;
use harrierdock_types::{EndpointId, Event, RequestId, RetrySafety, TimeDelta, Timestamp};

use crate::dispatch::request_table::{RequestEntry, ServingSite};
use crate::downstream::Answer;
use crate::multi_site::forwarding::InboundAnswer;
use crate::runtime::context::ResponseBody;
use crate::runtime::gateway::Gateway;
use crate::runtime::timer::Timer;

impl Gateway {
    /// Marks the request as answered or abandoned by its client. Returns false if it was marked before or is not in the table.
    fn finish_request(&mut self, id: RequestId, end: RequestEnd, outcome: FlowOutcome) -> bool {
        let Some(entry) = self.dispatcher.requests.get_unanswered_mut(id) else {
            return false;
        };
        entry.is_answered = true;
        self.context
            .timers
            .cancel(entry.overdue_at, Timer::RequestDeadline(id));
        let class = entry.class;
        let received_at = entry.received_at;
        // An idempotent request may run again at once, also while attempts of the first are open.
        let retry_safety = self.dispatcher.policy.parameters().classes[class.0].retry_safety;
        if retry_safety == RetrySafety::Idempotent {
            if let Some(client_id) = entry.client_id.take() {
                self.context
                    .client_ids
                    .release(client_id, IdRelease::Reusable);
            }
        }
        let is_local = matches!(
            entry.serving_site,
            ServingSite::Local | ServingSite::ReturnedToLocal
        );
        self.record_request(id, outcome);
        if self.forwarding.is_some() && is_local {
            let now = self.context.now();
            let event = MultiSiteEvent::RequestEnded {
                class,
                end,
                elapsed: now - received_at,
            };
            self.handle_multi_site_event(now, event);
        }
        true
    }

    /// Removes a request that is answered and has no open attempt. Its client's id stays spent if it may have had an effect.
    pub(super) fn remove_request_if_complete(&mut self, id: RequestId) {
        let Some(mut entry) = self.dispatcher.requests.remove_if_complete(id) else {
            return;
        };
        if let Some(client_id) = entry.client_id.take() {
            self.context
                .client_ids
                .release(client_id, entry.id_release());
        }
    }

    /// Answers a request with an endpoint's response. Drops the response if the request is already answered.
    pub(super) fn answer_with_response(
        &mut self,
        now: Timestamp,
        id: RequestId,
        endpoint: EndpointId,
        mut response: ResponseBody,
    ) {
        if !self.finish_request(id, RequestEnd::Succeeded, FlowOutcome::RequestSucceeded) {
            self.context.buffers.release(&mut response.buffer);
        } else if self.dispatcher.requests.is_inbound(id) {
            let body = response.bytes().to_vec();
            self.context.buffers.release(&mut response.buffer);
            let answer = InboundAnswer {
                outcome: ForwardingOutcome::Succeeded,
                build: self.dispatcher.build_of(endpoint),
                body,
            };
            self.answer_inbound(now, id, answer);
        } else {
            self.downstream
                .answer(&mut self.context, id, Answer::Succeeded(response));
        }
    }

    /// Answers a request, unless it is already answered.
    pub(crate) fn answer(&mut self, id: RequestId, answer: Answer) {
        let entry = self.dispatcher.requests.get(id);
        let may_have_effect = entry.is_some_and(RequestEntry::may_have_effect);
        let end = match &answer {
            Answer::Succeeded(_) => RequestEnd::Succeeded,
            Answer::Rejected { .. } if !may_have_effect => RequestEnd::Rejected,
            Answer::Rejected { .. } | Answer::Failed => RequestEnd::Failed,
        };
        let outcome = match &answer {
            Answer::Succeeded(_) => FlowOutcome::RequestSucceeded,
            Answer::Rejected { .. } => FlowOutcome::RequestRejected,
            Answer::Failed => FlowOutcome::RequestFailed,
        };
        if !self.finish_request(id, end, outcome) {
            return;
        }
        if self.dispatcher.requests.is_inbound(id) {
            let outcome = match &answer {
                Answer::Rejected { .. } if !may_have_effect => ForwardingOutcome::NotAccepted,
                Answer::Rejected { .. } => ForwardingOutcome::Rejected {
                    may_have_run: may_have_effect,
                },
                Answer::Succeeded(_) | Answer::Failed => ForwardingOutcome::Failed,
            };
            let now = self.context.now();
            self.answer_inbound(now, id, InboundAnswer::without_body(outcome));
        } else {
            self.downstream.answer(&mut self.context, id, answer);
        }
        self.remove_request_if_complete(id);
    }

    /// Handles the policy's rejection of a request. Offers the request to the other site if neither that site nor an endpoint
    /// can have processed it; otherwise answers it.
    pub(super) fn handle_rejection(
        &mut self,
        now: Timestamp,
        id: RequestId,
        retry_after: Option<TimeDelta>,
    ) {
        let has_other_site = self.forwarding.is_some();
        let forwardable = self
            .dispatcher
            .requests
            .get_unanswered_mut(id)
            .filter(|entry| {
                has_other_site
                    && !entry.is_inbound
                    && entry.serving_site == ServingSite::Local
                    && !entry.may_have_effect()
            });
        let Some(entry) = forwardable else {
            return self.answer(id, Answer::Rejected { retry_after });
        };
        entry.serving_site = ServingSite::Undecided;
        let event = MultiSiteEvent::LocallyRejected {
            id,
            class: entry.class,
            remaining: entry.deadline - now,
            timeout: entry.deadline - entry.received_at,
        };
        self.handle_multi_site_event(now, event);
    }

    /// Finishes a request whose client has disconnected, or which the other site has abandoned.
    pub(super) fn handle_client_disconnected(&mut self, now: Timestamp, id: RequestId) {
        if !self.finish_request(
            id,
            RequestEnd::ClientDisconnected,
            FlowOutcome::ClientDisconnected,
        ) {
            return;
        }
        self.answer_inbound(
            now,
            id,
            InboundAnswer::without_body(ForwardingOutcome::Failed),
        );
        self.handle_multi_site_event(now, MultiSiteEvent::ClientDisconnected { id });
        self.handle_policy_event(now, Event::ClientDisconnected { id });
        self.remove_request_if_complete(id);
    }

    /// Fails a request that the policy left unanswered beyond its deadline, so that its client always gets an answer.
    pub(crate) fn fail_overdue_request(&mut self, id: RequestId) {
        self.context
            .counters
            .check_invariant(false, "every request is answered by its deadline");
        self.answer(id, Answer::Failed);
        let now = self.context.now();
        self.handle_multi_site_event(now, MultiSiteEvent::ClientDisconnected { id });
        self.handle_policy_event(now, Event::ClientDisconnected { id });
    }

    /// Fails every unanswered request.
    pub(crate) fn fail_all_requests(&mut self) {
        let now = self.context.now();
        let unanswered: Vec<RequestId> = self.dispatcher.requests.unanswered().collect();
        for id in unanswered {
            self.answer(id, Answer::Failed);
            self.handle_policy_event(now, Event::ClientDisconnected { id });
        }
        self.process_events();
    }
}
