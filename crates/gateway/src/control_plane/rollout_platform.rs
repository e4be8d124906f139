//! Client of the rollout platform. It follows the stream of rollout updates and complaints.

use std::net::SocketAddr;

use calloop::Readiness;
use harrierdock_config::Names;
use harrierdock_event_loop::{
    LineStream, LineStreamSettings, MessageFraming, ResponseMode, StreamEvent,
};
use harrierdock_http::MAX_BODY_BYTES;
use harrierdock_types::{Event, TimeDelta, Timestamp};

use super::rollout_messages::{ComplaintMessage, EventMessage, RolloutMessage, EVENTS_PATH};
use super::votes::PendingVotes;
use crate::metrics::Counter;
use crate::runtime::context::{Context, InternalEvent};

/// Interval at which a working stream sends at least an empty event.
const KEEPALIVE_INTERVAL: TimeDelta = TimeDelta(1_000_000);
/// A stream counts as unresponsive after this many keepalive intervals without a line.
const MISSED_KEEPALIVES: f64 = 2.5;

/// The line that keeps an idle stream alive; it carries no event.
const EMPTY_EVENT: &[u8] = b"{}";

/// The latest rollout state received so far.
#[derive(Clone, Copy)]
struct LatestRollout {
    message: RolloutMessage,
    received_at: Timestamp,
}

/// Whether the remaining events of a stream are still to be handled.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StreamState {
    Open,
    /// The stream was closed, and its remaining events are discarded.
    Closed,
}

/// Receives rollout updates and complaints from the rollout platform, and posts votes to it.
pub(crate) struct RolloutPlatform {
    stream: LineStream,
    /// Votes that wait for a response.
    pub(super) votes: PendingVotes,
    latest: Option<LatestRollout>,
    retry_interval: TimeDelta,
}

impl RolloutPlatform {
    /// Creates an unconnected client. `vote_timeout` limits the wait for the response to a vote, and `retry_interval` is the
    /// interval of `run_maintenance`.
    pub(crate) fn new(
        address: SocketAddr,
        vote_timeout: TimeDelta,
        retry_interval: TimeDelta,
    ) -> RolloutPlatform {
        RolloutPlatform {
            stream: LineStream::new(LineStreamSettings {
                name: "platform",
                address,
                inactivity_timeout: KEEPALIVE_INTERVAL * MISSED_KEEPALIVES,
                connect_timeout: retry_interval,
                framing: MessageFraming::Line,
                max_message_bytes: MAX_BODY_BYTES,
            }),
            votes: PendingVotes::new(address, vote_timeout),
            latest: None,
            retry_interval,
        }
    }

    /// Queues a rollout state as a policy event. The stream and the responses to votes may overtake each other, so the
    /// latest state replaces an outdated one.
    pub(crate) fn apply_update(
        &mut self,
        context: &mut Context,
        message: RolloutMessage,
        is_vote_response: bool,
    ) {
        context.counters.add(Counter::RolloutUpdates);
        let now = context.now();
        let later = self
            .latest
            .filter(|latest| latest.message.is_later_than(&message));
        let update = match later {
            Some(later) => {
                context.counters.add(Counter::OutdatedRolloutUpdates);
                let mut update = later.message.update(is_vote_response);
                update.age = update.age + (now - later.received_at);
                update
            }
            None => {
                self.latest = Some(LatestRollout {
                    message,
                    received_at: now,
                });
                message.update(is_vote_response)
            }
        };
        if later.is_none() || is_vote_response {
            tracing::debug!("platform: received {message:?}, answers a vote: {is_vote_response}");
            context.emit_at(now, InternalEvent::Policy(Event::RolloutUpdated(update)));
        }
    }

    fn open(&mut self, context: &mut Context) {
        let handler = context.handlers.rollout_platform;
        self.stream
            .open(context, EVENTS_PATH, ResponseMode::Lines, handler);
    }

    /// Closes the stream and reopens it, unless it was opened within the retry interval. In that case `run_maintenance`
    /// reopens it later.
    fn reconnect(&mut self, context: &mut Context) {
        self.stream.close(context);
        if self.may_open(context.now()) {
            self.open(context);
        }
    }

    fn may_open(&self, now: Timestamp) -> bool {
        !self.stream.is_open() && !self.stream.was_opened_within(now, self.retry_interval)
    }

    /// Handles the readiness of the stream, and applies the events that it delivers.
    pub(crate) fn handle_readiness(
        &mut self,
        context: &mut Context,
        names: &Names,
        readiness: Readiness,
    ) {
        for event in self.stream.handle_readiness(context, readiness) {
            if self.handle_stream_event(context, names, event) == StreamState::Closed {
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
                self.reconnect(context);
                return StreamState::Closed;
            }
            StreamEvent::Refused(_) => {
                tracing::warn!("platform: event stream refused");
                return StreamState::Open;
            }
            // Reopening would bring the same message again, and lose the complaints of the meantime.
            StreamEvent::TooLong => return StreamState::Open,
            StreamEvent::Line(line) | StreamEvent::Response(line) => line,
        };
        if line.is_empty() || line == EMPTY_EVENT {
            return StreamState::Open;
        }
        match serde_json::from_slice(&line) {
            Ok(EventMessage::Rollout(message)) => self.apply_update(context, message, false),
            Ok(EventMessage::Complaint(complaint)) => apply_complaint(context, names, &complaint),
            Err(e) => {
                // More lines may follow, but the stream can no longer be trusted.
                context.counters.add(Counter::LinesRefused);
                tracing::warn!("platform: malformed line, reconnecting: {e}");
                self.reconnect(context);
                return StreamState::Closed;
            }
        }
        StreamState::Open
    }

    /// Address of the rollout platform.
    pub(crate) fn address(&self) -> SocketAddr {
        self.stream.address()
    }

    /// Switches to another address. Pending votes continue at the address that they were sent to.
    pub(crate) fn set_address(&mut self, context: &mut Context, address: SocketAddr) {
        self.votes.set_address(address);
        if self.stream.set_address(context, address) {
            self.open(context);
        }
    }

    /// Reopens a closed or unresponsive stream. Must be called at the retry interval.
    pub(crate) fn run_maintenance(&mut self, context: &mut Context) {
        let now = context.now();
        if self.stream.check_unresponsive(context) || self.may_open(now) {
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
