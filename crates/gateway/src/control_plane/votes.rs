//! Posts votes to the rollout platform, with one connection per vote.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use calloop::Readiness;
use harrierdock_event_loop::{ConnectionId, ExchangeEvent, RequestExchange, StreamEnd};
use harrierdock_types::{
    BuildId, Event, PlatformStatus, RolloutDecision, RolloutPhase, RolloutUpdate, TimeDelta,
    Timestamp,
};

use super::rollout_messages::{
    decision_name, failed_vote_status, vote_body, RolloutMessage, VOTES_PATH,
};
use super::rollout_platform::RolloutPlatform;
use crate::metrics::Counter;
use crate::runtime::context::{Context, InternalEvent};
use crate::runtime::timer::Timer;

const STATUS_OK: u16 = 200;

/// A vote that waits for a response.
struct Vote {
    exchange: RequestExchange,
    body: String,
    deadline: Timestamp,
}

/// State of a vote after its connection was handled.
enum VoteProgress {
    /// The vote is not fully sent, or its response is incomplete.
    Pending,
    /// The platform responded with a rollout state.
    Answered(RolloutMessage),
    /// The vote ended without a rollout state.
    Failed(PlatformStatus),
}

impl Vote {
    fn handle_readiness(&mut self, context: &mut Context, readiness: Readiness) -> VoteProgress {
        match self.exchange.handle_readiness(context, readiness) {
            ExchangeEvent::Connected => self.write(context),
            ExchangeEvent::Pending => VoteProgress::Pending,
            ExchangeEvent::Responded { status, body } => evaluate_response(status, &body),
            ExchangeEvent::Failed(end) => self.fail(context, end),
        }
    }

    fn write(&mut self, context: &mut Context) -> VoteProgress {
        let body = self.body.as_bytes();
        if self.exchange.post(context, VOTES_PATH, body) {
            VoteProgress::Pending
        } else {
            VoteProgress::Failed(PlatformStatus::ServerError)
        }
    }

    /// A vote that was not written completely is not counted. Whether the platform counts one without a readable response is
    /// unknown.
    fn fail(&self, context: &mut Context, end: StreamEnd) -> VoteProgress {
        if !self.exchange.is_written() {
            return VoteProgress::Failed(PlatformStatus::ServerError);
        }
        if let StreamEnd::MalformedResponse(error) = end {
            context.counters.add(Counter::VoteResponsesMalformed);
            tracing::warn!("platform: the response to a vote cannot be read: {error}");
        }
        VoteProgress::Failed(failed_vote_status(None))
    }
}

fn evaluate_response(status: u16, body: &[u8]) -> VoteProgress {
    if status == STATUS_OK {
        if let Ok(message) = serde_json::from_slice(body) {
            return VoteProgress::Answered(message);
        }
    }
    VoteProgress::Failed(failed_vote_status(Some(status)))
}

/// Votes that wait for a response, by connection.
pub(super) struct PendingVotes {
    address: SocketAddr,
    timeout: TimeDelta,
    pending: BTreeMap<ConnectionId, Vote>,
}

impl PendingVotes {
    /// Creates an empty set. Each vote waits for its response at most `timeout`.
    pub(super) fn new(address: SocketAddr, timeout: TimeDelta) -> PendingVotes {
        PendingVotes {
            address,
            timeout,
            pending: BTreeMap::new(),
        }
    }

    /// Sets the address to which later votes are posted. Pending votes are unaffected.
    pub(super) fn set_address(&mut self, address: SocketAddr) {
        self.address = address;
    }

    /// Starts to post a vote. Returns `false` if no connection was available.
    fn post(&mut self, context: &mut Context, body: String) -> bool {
        let id = context.next_connection_id();
        let handle_vote = context.handlers.vote;
        let exchange =
            RequestExchange::connect(context, self.address, move |gateway, readiness| {
                handle_vote(gateway, id, readiness);
            });
        let Some(exchange) = exchange else {
            return false;
        };
        let vote = Vote {
            exchange,
            body,
            deadline: context.set_timer_after(self.timeout, Timer::Vote(id)),
        };
        self.pending.insert(id, vote);
        true
    }

    fn handle_readiness(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        readiness: Readiness,
    ) -> VoteProgress {
        match self.pending.get_mut(&id) {
            Some(vote) => vote.handle_readiness(context, readiness),
            None => VoteProgress::Pending,
        }
    }

    fn close(&mut self, context: &mut Context, id: ConnectionId) {
        if let Some(vote) = self.pending.remove(&id) {
            context.timers.cancel(vote.deadline, Timer::Vote(id));
            vote.exchange.close(context);
        }
    }
}

impl RolloutPlatform {
    /// Casts a vote on a build in a rollout stage. The response arrives as a policy event.
    pub(crate) fn vote(
        &mut self,
        context: &mut Context,
        build: BuildId,
        stage: usize,
        decision: RolloutDecision,
    ) {
        context.counters.add(Counter::Votes);
        tracing::info!(
            "platform: vote {} cast on build {build} in stage {stage}",
            decision_name(decision)
        );
        let body = vote_body(build, stage, decision);
        if !self.votes.post(context, body) {
            report_failed_vote(context, PlatformStatus::ServerError);
        }
    }

    /// Handles the readiness of a vote's connection.
    pub(crate) fn handle_vote_readiness(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        readiness: Readiness,
    ) {
        match self.votes.handle_readiness(context, id, readiness) {
            VoteProgress::Pending => {}
            VoteProgress::Answered(message) => {
                self.votes.close(context, id);
                self.apply_update(context, message, true);
            }
            VoteProgress::Failed(status) => {
                self.votes.close(context, id);
                report_failed_vote(context, status);
            }
        }
    }

    /// Gives up on a vote without a response in time. The platform may have counted it or may still count it.
    pub(crate) fn time_out_vote(&mut self, context: &mut Context, id: ConnectionId) {
        self.votes.close(context, id);
        report_failed_vote(context, PlatformStatus::TimedOut);
    }
}

/// Queues a policy event for a vote that ended without a rollout state.
fn report_failed_vote(context: &mut Context, status: PlatformStatus) {
    context.counters.add(Counter::VotesRefused);
    tracing::info!("platform: vote failed: {status:?}");
    let update = RolloutUpdate {
        build: BuildId(0),
        stage: 0,
        phase: RolloutPhase::Canary,
        exposure_limit: 0.0,
        status,
        is_vote_response: true,
        age: TimeDelta::ZERO,
    };
    context.emit(InternalEvent::Policy(Event::RolloutUpdated(update)));
}
