//! Discovery client. It fetches a snapshot if it has no endpoint list, and then streams the changes since its version.

use std::net::SocketAddr;

use calloop::Readiness;
use harrierdock_attempt_guard::{Backoff, ListFreshness, NOTIFICATION_DEADLINE};
use harrierdock_config::Names;
use harrierdock_event_loop::{
    LineStream, LineStreamSettings, MessageFraming, ResponseMode, StreamEvent,
};
use harrierdock_types::{Parameters, TimeDelta, Timestamp, UpdateKind};

use crate::control_plane::discovery_messages::{watch_path, EndpointListMessage, SNAPSHOT_PATH};
use crate::control_plane::endpoint_tables::EndpointTables;
use crate::control_plane::list_limits::ListLimits;
use crate::metrics::Counter;
use crate::runtime::context::Context;
use crate::upstream::Upstream;

/// Interval at which a working stream sends at least an empty line.
const KEEPALIVE_INTERVAL: TimeDelta = TimeDelta(2_000_000);
/// A stream counts as unresponsive after this many keepalive intervals without a line.
const MISSED_KEEPALIVES: f64 = 2.5;
/// Maintenance intervals that it takes to detect an unresponsive stream, abandon a connection attempt and open the next one.
const RECOVERY_INTERVALS: f64 = 3.0;

/// State of the most recently opened snapshot request or watch stream.
#[derive(Clone, Copy)]
struct Watch {
    opened_at: Timestamp,
    /// Whether a list or a keepalive line has been received.
    has_received: bool,
    /// Whether a list has been received, or the stream has worked for longer than a failing request may take.
    has_succeeded: bool,
}

impl Watch {
    fn new(now: Timestamp) -> Watch {
        Watch {
            opened_at: now,
            has_received: false,
            has_succeeded: false,
        }
    }
}

/// Result of handling one event of the stream.
enum Received {
    /// An endpoint list to apply.
    List {
        message: EndpointListMessage,
        /// Whether the list answers a snapshot request. The watch is opened next.
        is_response: bool,
    },
    /// Nothing to apply; the stream continues.
    Nothing,
    /// The stream was closed; the remaining events belong to the closed stream.
    Closed,
}

/// Settings of the discovery client that are not parameters of the policy.
pub(crate) struct DiscoverySettings {
    /// Address of the discovery service.
    pub(crate) address: SocketAddr,
    /// Interval of `run_maintenance`, and the connect timeout.
    pub(crate) retry_interval: TimeDelta,
    /// Limits on an endpoint list.
    pub(crate) list_limits: ListLimits,
}

/// Keeps the endpoint list up to date from the discovery service.
pub(crate) struct Discovery {
    stream: LineStream,
    /// Version of the current endpoint list. `None` if the next request must fetch a snapshot.
    version: Option<i64>,
    retry_interval: TimeDelta,
    /// `Some` if all gateways share the discovery service and must not overload it.
    backoff: Option<Backoff>,
    max_endpoints: usize,
    /// Waits after lists that are too long.
    too_long_backoff: Backoff,
    freshness: ListFreshness,
    was_stale: bool,
    reopen_at: Timestamp,
    watch: Watch,
}

impl Discovery {
    /// Creates an unconnected client.
    pub(crate) fn new(
        now: Timestamp,
        settings: &DiscoverySettings,
        parameters: &Parameters,
        seed: u64,
    ) -> Discovery {
        let retry_interval = settings.retry_interval;
        // Detects an unresponsive stream early enough to replace it before the notification deadline.
        let max_silence = (KEEPALIVE_INTERVAL * MISSED_KEEPALIVES)
            .min(NOTIFICATION_DEADLINE - retry_interval * RECOVERY_INTERVALS);
        Discovery {
            stream: LineStream::new(LineStreamSettings {
                name: "discovery",
                address: settings.address,
                inactivity_timeout: max_silence,
                connect_timeout: retry_interval,
                framing: MessageFraming::JsonDocument,
                max_message_bytes: settings.list_limits.max_bytes,
            }),
            version: None,
            retry_interval,
            backoff: Backoff::for_discovery(parameters, retry_interval, seed),
            max_endpoints: settings.list_limits.max_endpoints,
            too_long_backoff: Backoff::new(retry_interval, max_silence, seed),
            freshness: ListFreshness::new(parameters, now),
            was_stale: false,
            reopen_at: now,
            watch: Watch::new(now),
        }
    }

    /// Whether the endpoint list is too old to start attempts from.
    pub(crate) fn is_stale(&self, now: Timestamp) -> bool {
        self.freshness.is_stale(now)
    }

    /// Whether there is an endpoint list whose version discovery has not refused.
    pub(crate) fn has_list(&self) -> bool {
        self.version.is_some()
    }

    /// Applies an endpoint list that the configuration cached from an earlier run. Ignores an empty list.
    pub(crate) fn apply_cached(
        &mut self,
        context: &mut Context,
        names: &mut Names,
        upstream: &mut Upstream,
        list: &EndpointListMessage,
    ) {
        if list.endpoints.is_empty() {
            return;
        }
        self.version = Some(list.version);
        // The cached list is usable until the watch opens, so gateways that start together can spread their requests over time.
        let delay = self.backoff.as_mut().map(Backoff::draw_spread_wait);
        self.reopen_at = self.reopen_at + delay.unwrap_or_default();
        let mut tables = EndpointTables { names, upstream };
        tables.apply(context, list, UpdateKind::Cached);
    }

    /// Opens the watch. Requests a snapshot instead if there is no list to apply changes to.
    fn open(&mut self, context: &mut Context) {
        self.watch = Watch::new(context.now());
        let handler = context.handlers.discovery;
        match self.version {
            Some(version) => {
                let path = watch_path(version);
                self.stream
                    .open(context, &path, ResponseMode::Lines, handler);
            }
            None => self
                .stream
                .open(context, SNAPSHOT_PATH, ResponseMode::Single, handler),
        }
    }

    /// Address of the discovery service.
    pub(crate) fn address(&self) -> SocketAddr {
        self.stream.address()
    }

    /// Switches to another address immediately. The endpoint list stays.
    pub(crate) fn set_address(&mut self, context: &mut Context, address: SocketAddr) {
        if self.stream.set_address(context, address) {
            self.freshness.record_move(context.now());
            self.reset_backoff();
            self.open(context);
        }
    }

    fn reset_backoff(&mut self) {
        if let Some(backoff) = &mut self.backoff {
            backoff.reset();
        }
    }

    /// Schedules the next opening of a closed stream. Backs off if the discovery service is shared and the stream did not succeed.
    fn schedule_reopening(&mut self, now: Timestamp) {
        let has_succeeded = std::mem::take(&mut self.watch.has_succeeded);
        self.reopen_at = match &mut self.backoff {
            Some(backoff) if !has_succeeded => now + backoff.next_wait(now - self.watch.opened_at),
            Some(backoff) => now + backoff.draw_spread_wait(),
            None => self.watch.opened_at + self.retry_interval,
        };
    }

    /// Confirms the endpoint list if the watch works. A request that fails late may send keepalive lines before it fails, so
    /// early keepalives don't count as success.
    fn confirm_if_working(&mut self, now: Timestamp) {
        self.watch.has_succeeded |= ListFreshness::has_call_succeeded(self.watch.opened_at, now);
        if self.watch.has_succeeded {
            self.freshness.confirm(now);
            self.reset_backoff();
        }
    }

    /// Reopens a closed or unresponsive stream, and logs when the list becomes stale or current. Must be called at the retry
    /// interval.
    pub(crate) fn run_maintenance(&mut self, context: &mut Context) {
        let now = context.now();
        self.log_staleness(now);
        let is_open = self.stream.is_open();
        if self.is_snapshot_unanswered(now) {
            context.streams.unresponsive += 1;
            tracing::warn!("discovery: the request for a snapshot is not answered, reopened");
            self.reconnect(context);
        } else if self.stream.check_unresponsive(context) {
            self.reconnect(context);
        } else if !is_open && now >= self.reopen_at {
            self.open(context);
        } else if is_open && self.watch.has_received && !self.watch.has_succeeded {
            self.confirm_if_working(now);
        }
    }

    /// Whether a requested snapshot has not come, or has ceased to come. A snapshot request is answered at once or not at all,
    /// and its response contains no keepalives.
    fn is_snapshot_unanswered(&self, now: Timestamp) -> bool {
        !self.has_list() && self.stream.has_been_silent_for(now, KEEPALIVE_INTERVAL)
    }

    fn log_staleness(&mut self, now: Timestamp) {
        let is_stale = self.is_stale(now);
        if is_stale == std::mem::replace(&mut self.was_stale, is_stale) {
            return;
        }
        let state = if is_stale {
            "too old, no attempts are sent"
        } else {
            "up to date again"
        };
        tracing::warn!("discovery: the endpoint list is {state}");
    }

    /// Closes the stream and reopens it if the retry delay has passed. Otherwise `run_maintenance` reopens it later, which
    /// limits the cost of repeated malformed responses.
    fn reconnect(&mut self, context: &mut Context) {
        self.stream.close(context);
        self.schedule_reopening(context.now());
        if context.now() >= self.reopen_at {
            self.open(context);
        }
    }

    /// Handles the readiness of the stream, and applies the endpoint lists that it delivers.
    pub(crate) fn handle_readiness(
        &mut self,
        context: &mut Context,
        names: &mut Names,
        upstream: &mut Upstream,
        readiness: Readiness,
    ) {
        let mut tables = EndpointTables { names, upstream };
        for event in self.stream.handle_readiness(context, readiness) {
            match self.receive(context, event) {
                Received::List {
                    message,
                    is_response,
                } => self.handle_list(context, &mut tables, &message, is_response),
                Received::Nothing => {}
                Received::Closed => break,
            }
        }
    }

    fn receive(&mut self, context: &mut Context, event: StreamEvent) -> Received {
        match event {
            StreamEvent::Disconnected => {
                self.reconnect(context);
                Received::Closed
            }
            StreamEvent::Refused(status) => {
                self.handle_refusal(status);
                Received::Nothing
            }
            StreamEvent::Line(line) if line.is_empty() => {
                self.watch.has_received = true;
                self.confirm_if_working(context.now());
                Received::Nothing
            }
            StreamEvent::Line(text) => self.receive_text(context, &text, false),
            StreamEvent::Response(text) => self.receive_text(context, &text, true),
            StreamEvent::TooLong => {
                self.handle_too_long(context);
                Received::Closed
            }
        }
    }

    /// Discards the version if discovery no longer knows it, so that a snapshot is requested next. An overloaded
    /// service may refuse a known version, and a snapshot would cost that service more than a watch.
    fn handle_refusal(&mut self, status: Option<u16>) {
        let is_overloaded = status.is_none_or(|status| matches!(status, 408 | 425 | 429 | 500..));
        tracing::warn!(
            "discovery: request refused with status {}",
            status.unwrap_or_default()
        );
        if !is_overloaded {
            self.version = None;
        }
    }

    /// Discards the version, so that a snapshot is requested next: it contains no removed endpoints, and may fit where the changes
    /// since a version do not. Waits longer each time, as the next list may be too long as well.
    fn handle_too_long(&mut self, context: &mut Context) {
        self.version = None;
        self.stream.close(context);
        let now = context.now();
        let wait = self.too_long_backoff.next_wait(TimeDelta::ZERO);
        self.schedule_reopening(now);
        self.reopen_at = self.reopen_at.max(now + wait);
        tracing::warn!(
            "discovery: the endpoint list is too long and is not updated; the next request follows in {:.1} s",
            (self.reopen_at - now).as_seconds()
        );
    }

    fn receive_text(&mut self, context: &mut Context, text: &[u8], is_response: bool) -> Received {
        match serde_json::from_slice::<EndpointListMessage>(text) {
            Ok(message) if message.endpoints.len() > self.max_endpoints => {
                context.streams.too_long += 1;
                tracing::warn!(
                    "discovery: a list of {} endpoints exceeds the limit of {} and is skipped",
                    message.endpoints.len(),
                    self.max_endpoints
                );
                self.handle_too_long(context);
                Received::Closed
            }
            Ok(message) => Received::List {
                message,
                is_response,
            },
            Err(e) => {
                context.counters.add(Counter::LinesRefused);
                tracing::warn!("discovery: malformed line, reconnecting: {e}");
                // The list stays valid at its version, and the next watch continues from that version.
                self.reconnect(context);
                Received::Closed
            }
        }
    }

    fn handle_list(
        &mut self,
        context: &mut Context,
        tables: &mut EndpointTables<'_>,
        list: &EndpointListMessage,
        is_response: bool,
    ) {
        self.watch.has_received = true;
        self.watch.has_succeeded |= list.is_snapshot || !list.endpoints.is_empty();
        self.confirm_if_working(context.now());
        self.too_long_backoff.reset();
        self.version = Some(list.version);
        tables.apply(context, list, list.kind());
        if is_response {
            let path = watch_path(list.version);
            self.stream.request(context, &path, ResponseMode::Lines);
        }
    }
}
