//! The dispatcher: the only caller of the policy. Translates internal events into policy events, and executes the policy's
//! actions.

use harrierdock_config::Names;
use harrierdock_multi_site::Event as MultiSiteEvent;
use harrierdock_policy::Policy;
use harrierdock_types::{
    Action, AffinityKey, BuildId, EndpointId, Event, GossipMessage, Lifecycle, Parameters,
    RequestId, TimeDelta, Timestamp,
};

use crate::dispatch::request_table::{RequestEntry, RequestTable, ServingSite};
use crate::rollout::elimination_log::{EliminationLog, EliminationVote};
use crate::runtime::context::{InternalEvent, ReceivedRequest};
use crate::runtime::gateway::Gateway;
use crate::runtime::timer::Timer;
use crate::upstream::AttemptId;

/// The policy, and the state needed to translate its events and actions.
pub(crate) struct Dispatcher {
    /// Decides on attempts, rejections, votes and gossip; does no I/O.
    pub(crate) policy: Policy,
    /// The names behind the policy's numeric ids.
    pub(crate) names: Names,
    /// The requests that lack an answer or have an open attempt.
    pub(crate) requests: RequestTable,
    /// The most attempts per request, including retries and hedged requests.
    pub(crate) max_attempts: usize,
    /// The granularity of the platform's clock.
    pub(crate) tick: TimeDelta,
    /// Logs this gateway's elimination votes.
    elimination_log: EliminationLog,
}

impl Dispatcher {
    /// Creates a dispatcher without requests. `seed` seeds the policy's random choices.
    pub(crate) fn new(parameters: Parameters, names: Names, seed: u64) -> Dispatcher {
        Dispatcher {
            names,
            requests: RequestTable::default(),
            max_attempts: parameters.limits.max_attempts,
            tick: parameters.clock_resolution,
            elimination_log: EliminationLog::default(),
            policy: Policy::new(parameters, seed),
        }
    }

    /// The oldest build that may serve requests with this affinity key.
    pub(crate) fn sticky_build(&self, key: AffinityKey) -> BuildId {
        self.policy.sticky_build(key)
    }

    /// The build that the endpoint runs, or `None` if the endpoint list lacks the endpoint.
    pub(crate) fn build_of(&self, endpoint: EndpointId) -> Option<BuildId> {
        Some(self.policy.endpoint(endpoint)?.build)
    }

    /// The number of endpoints in the lifecycle state `Ready`.
    pub(crate) fn ready_endpoint_count(&self) -> usize {
        self.policy
            .endpoints()
            .filter(|endpoint| endpoint.lifecycle == Lifecycle::Ready)
            .count()
    }

    /// Logs `message` if it is an elimination vote that this gateway sends to its peers.
    fn log_elimination(&mut self, message: &GossipMessage) {
        let GossipMessage::EliminationVote {
            build,
            stage,
            weight,
            arm,
        } = *message
        else {
            return;
        };
        let vote = EliminationVote {
            build,
            stage,
            arm,
            weight,
        };
        let evidence = self.policy.elimination_evidence();
        self.elimination_log.log(vote, &self.names, evidence);
    }

    /// Removes the names of endpoints that the policy no longer lists, so that the name table stays bounded. Must not be called
    /// while an endpoint list is queued for the policy: its new names are not listed yet.
    fn forget_removed_endpoints(&mut self) {
        let Dispatcher { policy, names, .. } = self;
        if names.endpoints.ids().len() > policy.endpoint_count() {
            names
                .endpoints
                .retain(|endpoint| policy.endpoint(endpoint).is_some());
        }
    }
}

impl Gateway {
    /// Delivers queued events to the policy and executes the actions it returns, until the queue is empty.
    pub(crate) fn process_events(&mut self) {
        loop {
            while let Some(queued) = self.context.events.pop_front() {
                self.handle_internal_event(queued.at, queued.event);
            }
            self.process_transport();
            if self.context.events.is_empty() {
                break;
            }
        }
        self.downstream.trim_between_requests(&mut self.context);
        self.dispatcher.forget_removed_endpoints();
    }

    fn handle_internal_event(&mut self, now: Timestamp, event: InternalEvent) {
        match event {
            InternalEvent::Policy(event) => self.forward_policy_event(now, event),
            InternalEvent::PeerMessage { from, bytes } => self.handle_peer_message(from, bytes),
            InternalEvent::RequestReceived(request) => self.handle_request_received(now, request),
            InternalEvent::ClientDisconnected { id } => self.handle_client_disconnected(now, id),
            InternalEvent::AttemptFinished(finished) => self.handle_attempt_finished(now, finished),
        }
    }

    fn forward_policy_event(&mut self, now: Timestamp, event: Event) {
        if let Event::RolloutUpdated(update) = &event {
            self.handle_rollout_update(update);
            self.record_rollout_update(update);
        }
        let is_endpoint_list = matches!(event, Event::EndpointsUpdated { .. });
        self.handle_policy_event(now, event);
        if is_endpoint_list {
            self.update_local_capacity(now);
        }
    }

    fn handle_request_received(&mut self, now: Timestamp, request: ReceivedRequest) {
        let ReceivedRequest { id, class, .. } = request;
        let time_left = request
            .time_left
            .min(self.shutdown.time_left(now, self.maintenance_interval));
        let is_inbound = request.inbound.is_some();
        let overdue_at = now + time_left + self.dispatcher.tick;
        let entry = RequestEntry {
            client_id: Some(request.client_id),
            class,
            key: request.key,
            is_client_retry: request.is_client_retry,
            received_at: now,
            deadline: now + time_left,
            overdue_at,
            is_answered: false,
            serving_site: ServingSite::Undecided,
            is_inbound,
            attempts: Vec::new(),
        };
        self.dispatcher.requests.insert(id, entry);
        self.context
            .timers
            .set(overdue_at, Timer::RequestDeadline(id));
        self.record_request_received();
        if self.forwarding.is_some() && !is_inbound {
            let event = MultiSiteEvent::RequestReceived {
                id,
                class,
                remaining: time_left,
            };
            self.handle_multi_site_event(now, event);
        } else {
            self.serve_locally(now, id, time_left);
        }
    }

    /// Has the policy serve the request at this site. `time_left` can only shorten the request's deadline.
    pub(crate) fn serve_locally(&mut self, now: Timestamp, id: RequestId, time_left: TimeDelta) {
        let Some(entry) = self.dispatcher.requests.get_unanswered_mut(id) else {
            return;
        };
        entry.serving_site = match entry.serving_site {
            ServingSite::Other => ServingSite::ReturnedToLocal,
            _ => ServingSite::Local,
        };
        // A request returned by the other site must not run beyond the deduplication window of its idempotency key.
        entry.deadline = entry.deadline.min(now + time_left);
        let event = Event::RequestReceived {
            id,
            class: entry.class,
            key: entry.key,
            is_client_retry: entry.is_client_retry,
            time_left,
        };
        self.handle_policy_event(now, event);
    }

    /// Delivers an event to the policy and executes the actions it returns.
    pub(crate) fn handle_policy_event(&mut self, now: Timestamp, event: Event) {
        for action in self.dispatcher.policy.handle(now, event) {
            self.execute(now, action);
        }
    }

    fn execute(&mut self, now: Timestamp, action: Action) {
        match action {
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
            } => self.start_attempt(now, id, endpoint, timeout),
            Action::CancelAttempt { id, attempt } => {
                let attempt = AttemptId {
                    request: id,
                    attempt,
                };
                self.upstream.cancel_attempt(&mut self.context, attempt);
            }
            Action::Reject { id, retry_after } => self.handle_rejection(now, id, retry_after),
            Action::Fail { id } => self.answer(id, crate::downstream::Answer::Failed),
            Action::Vote {
                build,
                stage,
                decision,
            } => {
                if !self.vote_to_rollout_controller(build, stage, decision) {
                    if let Some(platform) = &mut self.rollout_platform {
                        platform.vote(&mut self.context, build, stage, decision);
                    }
                }
            }
            Action::SendGossip { to, message } => {
                self.dispatcher.log_elimination(&message);
                if let Some(gossip) = &self.gossip {
                    gossip.send_gossip(&mut self.context, to, &message);
                }
            }
            // The gateway watches discovery from its start, so there is nothing to do.
            Action::WatchEndpoints => {}
            Action::SetTimer { after } => self.context.timers.set(now + after, Timer::Policy),
        }
    }

    /// Delivers the firing of the policy's timer.
    pub(crate) fn handle_policy_timer(&mut self) {
        let now = self.context.now();
        self.handle_policy_event(now, Event::TimerFired);
    }
}
