//! The client of the rollout platform: it follows the stream of rollout updates and complaints.

use std::net::SocketAddr;

use calloop::Readiness;
use harrierdock_config::Names;
use harrierdock_event_loop::{LineStream, ResponseMode, StreamEvent};
use harrierdock_types::{Event, TimeDelta, Timestamp};

use super::rollout_messages::{ComplaintMessage, EventMessage, RolloutMessage, EVENTS_PATH};
use super::votes::Votes;
use crate::metrics::Counter;
use crate::runtime::context::{Context, InternalEvent};

/// A working stream sends something this often.
const KEEPALIVE_INTERVAL: TimeDelta = TimeDelta(1_000_000);
/// Keepalive intervals without a line after which a stream counts as unresponsive.
const MISSED_KEEPALIVES: f64 = 2.5;

/// A line without content, sent as a keepalive.
const EMPTY_EVENT: &[u8] = b"{}";

/// The latest state of a rollout that was received.
#[derive(Clone, Copy)]
struct LatestRollout {
    message: RolloutMessage,
    received_at: Timestamp,
}

/// Whether what a stream has brought besides still counts.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StreamState {
    Continues,
    Renewed,
}

/// The client of the rollout platform.
pub(crate) struct RolloutPlatform {
    stream: LineStream,
    /// The votes that wait for their responses.
    pub(super) votes: Votes,
    latest: Option<LatestRollout>,
    retry_interval: TimeDelta,
}

impl RolloutPlatform {
    /// A client that has not connected yet. `vote_timeout` is how long a vote waits for its response, `retry_interval` the
    /// interval of `run_maintenance`.
    pub(crate) fn new(
        address: SocketAddr,
        vote_timeout: TimeDelta,
        retry_interval: TimeDelta,
    ) -> RolloutPlatform {
        RolloutPlatform {
            stream: LineStream::new("platform", address, KEEPALIVE_INTERVAL * MISSED_KEEPALIVES),
            votes: Votes::new(address, vote_timeout),
            latest: None,
            retry_interval,
        }
    }

    /// Tells the policy the state of the newest rollout. The stream and the responses to votes may overtake each other, so a
    /// state that the rollout has left behind is replaced by the latest one.
    pub(crate) fn apply_update(
        &mut self,
        context: &mut Context,
        message: RolloutMessage,
        answers_vote: bool,
    ) {
        context.counters.add(Counter::RolloutUpdates);
        let now = context.now();
        let later = self
            .latest
            .filter(|latest| latest.message.is_later_than(&message));
        let update = match later {
            Some(later) => {
                context.counters.add(Counter::OutdatedRolloutUpdates);
                let mut update = later.message.update(answers_vote);
                update.age = update.age + (now - later.received_at);
                update
            }
            None => {
                self.latest = Some(LatestRollout {
                    message,
                    received_at: now,
                });
                message.update(answers_vote)
            }
        };
        if later.is_none() || answers_vote {
            tracing::debug!("platform: {message:?}, answers a vote: {answers_vote}");
            context.emit_at(now, InternalEvent::Policy(Event::RolloutUpdated(update)));
        }
    }

    fn open(&mut self, context: &mut Context) {
        let handler = context.handlers.rollout_platform;
        self.stream
            .open(context, EVENTS_PATH, ResponseMode::Lines, handler);
    }

    /// Closes the stream, and opens it again if it was open for a while; else `run_maintenance` will.
    fn renew(&mut self, context: &mut Context) {
        self.stream.close(context);
        if self.may_open(context.now()) {
            self.open(context);
        }
    }

    fn may_open(&self, now: Timestamp) -> bool {
        !self.stream.is_open() && !self.stream.was_opened_within(now, self.retry_interval)
    }

    /// Reads what the stream is ready for, and applies it.
    pub(crate) fn handle_readiness(
        &mut self,
        context: &mut Context,
        names: &Names,
        readiness: Readiness,
    ) {
        for event in self.stream.handle_readiness(context, readiness) {
            if self.handle_stream_event(context, names, event) == StreamState::Renewed {
                break;
            }
        }
    }

    fn handle_stream_event(
        &mut self,
        context: &mut Context,
        names: &Names,
        event: StreamEvent,
    ) -> StreamState {
        let line = match event {
            StreamEvent::Disconnected => {
                self.renew(context);
                return StreamState::Renewed;
            }
            StreamEvent::Refused(_) => {
                tracing::warn!("platform: refuses its stream");
                return StreamState::Continues;
            }
            StreamEvent::Line(line) | StreamEvent::Response(line) => line,
        };
        if line.is_empty() || line == EMPTY_EVENT {
            return StreamState::Continues;
        }
        match serde_json::from_slice(&line) {
            Ok(EventMessage::Rollout(message)) => self.apply_update(context, message, false),
            Ok(EventMessage::Complaint(complaint)) => apply_complaint(context, names, &complaint),
            Err(e) => {
                // The stream may go on after such a line, but nothing on it can be relied on.
                context.counters.add(Counter::LinesRefused);
                tracing::warn!("platform: a line cannot be read, the stream is renewed: {e}");
                self.renew(context);
                return StreamState::Renewed;
            }
        }
        StreamState::Continues
    }

    /// The address in use.
    pub(crate) fn address(&self) -> SocketAddr {
        self.stream.address()
    }

    /// Switches to another address. Votes under way stay where they were sent.
    pub(crate) fn set_address(&mut self, context: &mut Context, address: SocketAddr) {
        self.votes.set_address(address);
        if self.stream.set_address(context, address) {
            self.open(context);
        }
    }

    /// Reopens a stream that has ended or is unresponsive. To be called at the retry interval.
    pub(crate) fn run_maintenance(&mut self, context: &mut Context) {
        let now = context.now();
        if self.stream.is_unresponsive(now, self.retry_interval) || self.may_open(now) {
            self.open(context);
        }
    }
}

fn apply_complaint(context: &mut Context, names: &Names, complaint: &ComplaintMessage) {
    let endpoint = names.endpoints.id(&complaint.endpoint);
    let class = names.classes.id(&complaint.class);
    let Some((endpoint, class)) = endpoint.zip(class) else {
        context.counters.add(Counter::LinesRefused);
        return;
    };
    context.counters.add(Counter::Complaints);
    context.emit(InternalEvent::Policy(Event::ComplaintReceived {
        endpoint,
        class,
    }));
}
