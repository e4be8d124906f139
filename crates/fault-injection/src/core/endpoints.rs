//! Simulates the local policy and its endpoints: a request is either rejected at once without running, or served after a delay.

use harrierdock_multi_site::{Event, InboundId, RequestEnd};
use harrierdock_site_messages::ForwardingOutcome;
use harrierdock_types::{BuildId, ClassId, RequestId, TimeDelta};

use super::event::{Attempt, RequestSource, SimulatedEvent};
use super::simulation::{site, NetworkSimulation, Run};

const REJECTION_PROBABILITY: f64 = 0.05;
const FAILURE_PROBABILITY: f64 = 0.05;
/// Probability that a request waits before its attempt.
const WAIT_PROBABILITY: f64 = 0.2;
/// Upper bound of that wait, in microseconds.
const LONGEST_WAIT_US: i64 = 1_000_000;
/// Range of the time that an endpoint works on a request, in microseconds.
const SHORTEST_WORK_US: i64 = 5_000;
const LONGEST_WORK_US: i64 = 300_000;
/// Latency reported to the multi-site decisions for each finished attempt, whatever its simulated work.
const REPORTED_LATENCY: TimeDelta = TimeDelta(100_000);
const BUILD: BuildId = BuildId(1);
const RESPONSE_BODY: [u8; 50] = [7; 50];

fn outcome(has_succeeded: bool) -> ForwardingOutcome {
    if has_succeeded {
        ForwardingOutcome::Succeeded
    } else {
        ForwardingOutcome::Failed
    }
}

impl NetworkSimulation {
    /// Rejects a request, or schedules its attempt before its deadline.
    pub(super) fn serve(
        &mut self,
        gateway: usize,
        source: RequestSource,
        request: RequestId,
        class: ClassId,
        remaining: TimeDelta,
    ) {
        let attempt = Attempt {
            gateway,
            incarnation: self.gateways[gateway].incarnation,
            source,
            request,
            class,
            remaining,
        };
        if self.draw_bool(REJECTION_PROBABILITY) || self.lacks_endpoints[site(gateway)] {
            return self.reject(attempt);
        }
        let wait = if self.draw_bool(WAIT_PROBABILITY) {
            self.draw_span(0, LONGEST_WAIT_US).min(remaining)
        } else {
            TimeDelta::ZERO
        };
        let attempt = Attempt {
            remaining: remaining - wait,
            ..attempt
        };
        self.schedule(wait, SimulatedEvent::AttemptStarted(attempt));
    }

    fn reject(&mut self, attempt: Attempt) {
        match attempt.source {
            RequestSource::OtherSite(inbound) => self.reject_inbound(attempt, inbound),
            RequestSource::Client => self.reject_client(attempt),
        }
    }

    fn reject_inbound(&mut self, attempt: Attempt, inbound: InboundId) {
        self.gateways[attempt.gateway].inbound.remove(&inbound);
        let completed = Event::InboundCompleted {
            inbound,
            outcome: ForwardingOutcome::NotAccepted,
            build: None,
            body: Vec::new(),
        };
        self.deliver(attempt.gateway, completed);
        let ended = Event::RequestEnded {
            class: attempt.class,
            end: RequestEnd::Rejected,
            elapsed: TimeDelta::ZERO,
        };
        self.deliver(attempt.gateway, ended);
    }

    /// Offers a client's request that was rejected here to the other site, unless it must stay local.
    fn reject_client(&mut self, attempt: Attempt) {
        let request = self.request_mut(attempt.request);
        let stays_local = std::mem::replace(&mut request.stays_local, true);
        if stays_local {
            return self.record_answer(attempt.request, ForwardingOutcome::NotAccepted);
        }
        let rejected = Event::LocallyRejected {
            id: attempt.request,
            class: attempt.class,
            remaining: attempt.remaining,
            timeout: attempt.remaining,
        };
        self.deliver(attempt.gateway, rejected);
    }

    /// Runs a request at an endpoint if it is still open. The run counts even if the answer is discarded.
    pub(super) fn start_attempt(&mut self, attempt: Attempt) {
        let gateway = &self.gateways[attempt.gateway];
        let is_open = match attempt.source {
            RequestSource::Client => {
                let request = &self.requests[attempt.request.0 as usize];
                request.answers.is_empty()
            }
            RequestSource::OtherSite(inbound) => gateway.inbound.contains_key(&inbound),
        };
        if !is_open {
            return;
        }
        let work = self.draw_span(SHORTEST_WORK_US, LONGEST_WORK_US);
        let run = Run {
            site: site(attempt.gateway),
            at: self.now,
        };
        self.request_mut(attempt.request).runs.push(run);
        let is_in_time = work <= attempt.remaining;
        let has_succeeded = is_in_time && !self.draw_bool(FAILURE_PROBABILITY);
        let finished = SimulatedEvent::AttemptFinished {
            attempt,
            has_succeeded,
        };
        self.schedule(work.min(attempt.remaining), finished);
    }

    /// Completes an attempt that the endpoint has answered or that has timed out.
    pub(super) fn finish_attempt(&mut self, attempt: Attempt, has_succeeded: bool) {
        match attempt.source {
            RequestSource::OtherSite(inbound) => {
                self.complete_inbound(attempt.gateway, inbound, has_succeeded);
            }
            RequestSource::Client => self.record_answer(attempt.request, outcome(has_succeeded)),
        }
        let end = if has_succeeded {
            RequestEnd::Succeeded
        } else {
            RequestEnd::Failed
        };
        let ended = Event::RequestEnded {
            class: attempt.class,
            end,
            elapsed: REPORTED_LATENCY,
        };
        self.deliver(attempt.gateway, ended);
    }

    fn complete_inbound(&mut self, gateway: usize, inbound: InboundId, has_succeeded: bool) {
        if self.gateways[gateway].inbound.remove(&inbound).is_none() {
            return;
        }
        let completed = Event::InboundCompleted {
            inbound,
            outcome: outcome(has_succeeded),
            build: Some(BUILD),
            body: RESPONSE_BODY.to_vec(),
        };
        self.deliver(gateway, completed);
    }
}
