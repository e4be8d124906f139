//! Attempts: starts those that the policy requests, and reports their outcomes to the policy.

use harrierdock_types::{AttemptOutcome, EndpointId, Event, RequestId, TimeDelta, Timestamp};

use crate::dispatch::flow_records::AttemptFlow;
use crate::dispatch::request_table::AttemptRecord;
use crate::metrics::Counter;
use crate::runtime::context::{FinishedAttempt, InternalEvent, OutboundRequest};
use crate::runtime::gateway::Gateway;
use crate::upstream::{AttemptId, AttemptStart};

fn outcome_counter(outcome: AttemptOutcome) -> Counter {
    match outcome {
        AttemptOutcome::Succeeded => Counter::AttemptsSucceeded,
        AttemptOutcome::ServerError => Counter::AttemptsWithServerError,
        AttemptOutcome::Rejected => Counter::AttemptsRejected,
        AttemptOutcome::TimedOut => Counter::AttemptsTimedOut,
        AttemptOutcome::ConnectFailed => Counter::ConnectsFailed,
        AttemptOutcome::Reset => Counter::AttemptsReset,
        AttemptOutcome::Cancelled => Counter::AttemptsCancelled,
        AttemptOutcome::NotSent => Counter::AttemptsNotSent,
    }
}

impl Gateway {
    /// Whether the endpoint list is too old to start attempts from.
    pub(super) fn is_list_stale(&self) -> bool {
        self.discovery.is_stale(self.context.now())
    }

    /// Starts an attempt. If it cannot start, reports it as finished with the outcome that describes why. A `timeout` of zero
    /// leaves the request's deadline as the only limit.
    pub(super) fn start_attempt(
        &mut self,
        now: Timestamp,
        id: RequestId,
        endpoint: EndpointId,
        timeout: TimeDelta,
    ) {
        let Some(entry) = self.dispatcher.requests.get(id) else {
            return self
                .context
                .counters
                .check_invariant(false, "every attempt belongs to a request in the table");
        };
        let precondition = self.dispatcher.precondition(entry, endpoint);
        let attempt = entry.attempts.len();
        let deadline = if timeout > TimeDelta::ZERO {
            entry.deadline.min(now + timeout)
        } else {
            entry.deadline
        };
        let may_start = !entry.is_answered
            && attempt < self.dispatcher.max_attempts
            && deadline > self.context.clock.now()
            && !self.is_list_stale();
        let record = AttemptRecord {
            endpoint,
            started_at: now,
            exposure_counted_at: now,
            precondition,
            is_open: true,
            had_no_effect: false,
            body_bytes: 0,
        };
        if let Some(entry) = self.dispatcher.requests.get_mut(id) {
            entry.attempts.push(record);
        }
        let start = AttemptStart {
            id: AttemptId {
                request: id,
                attempt,
            },
            endpoint,
            deadline,
        };
        let started = if may_start {
            self.send_attempt(now, &start)
        } else {
            Err(AttemptOutcome::NotSent)
        };
        if let Err(outcome) = started {
            let finished = FinishedAttempt {
                id,
                attempt,
                outcome,
                response: None,
            };
            self.context.emit(InternalEvent::AttemptFinished(finished));
        }
    }

    /// Sends the request to the endpoint, unless its client has disconnected.
    fn send_attempt(&mut self, now: Timestamp, start: &AttemptStart) -> Result<(), AttemptOutcome> {
        let id = start.id.request;
        if self.context.descriptors.available() == 0
            && !self.upstream.has_idle_connection(now, start.endpoint)
        {
            self.free_descriptor();
        }
        let is_inbound = self.dispatcher.requests.is_inbound(id);
        if !is_inbound {
            // Reads the client's connection. If the client has disconnected, `with_outbound_request` finds no request to send.
            self.downstream.is_client_waiting(&mut self.context, id);
        }
        let Gateway {
            downstream,
            upstream,
            context,
            forwarding,
            ..
        } = self;
        let mut body_bytes = 0;
        let send = |request: OutboundRequest<'_>| {
            body_bytes = request.body.len();
            upstream.start_attempt(context, start, &request)
        };
        let started = match forwarding {
            Some(forwarding) if is_inbound => forwarding.with_inbound_request(id, send),
            _ => downstream.with_outbound_request(id, send),
        };
        let record = self.dispatcher.requests.attempt_mut(id, start.id.attempt);
        if let Some(record) = record {
            record.body_bytes = body_bytes;
        }
        started.unwrap_or(Err(AttemptOutcome::NotSent))
    }

    /// Records the outcome of an attempt, answers the request on success, and notifies the policy.
    pub(super) fn handle_attempt_finished(&mut self, now: Timestamp, finished: FinishedAttempt) {
        let FinishedAttempt {
            id,
            attempt,
            outcome,
            response,
        } = finished;
        self.context.counters.add(outcome_counter(outcome));
        let ended = self.dispatcher.requests.end_attempt(id, attempt, outcome);
        self.context
            .counters
            .check_invariant(ended.is_some(), "every attempt finishes exactly once");
        let Some(ended) = ended else { return };
        let duration = now - ended.started_at;
        let flow = AttemptFlow {
            id,
            attempt,
            ended: &ended,
            outcome,
            duration,
            response_bytes: response.as_ref().map_or(0, |r| r.range.len()),
        };
        self.record_attempt(now, &flow);
        if let Some(response) = response {
            self.answer_with_response(now, id, ended.endpoint, response);
        }
        let event = Event::AttemptFinished {
            id,
            attempt,
            endpoint: ended.endpoint,
            outcome,
            duration,
            is_request_finished: self.dispatcher.requests.is_finished(id),
        };
        self.handle_policy_event(now, event);
        self.remove_request_if_complete(id);
    }
}
