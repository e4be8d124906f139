//! The discovery client: it fetches an endpoint list if it has none, and then watches the changes that follow its version.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use calloop::Readiness;
use harrierdock_attempt_guard::{Backoff, ListFreshness, NOTIFICATION_DEADLINE};
use harrierdock_config::Names;
use harrierdock_event_loop::{LineStream, ResponseMode, StreamEvent};
use harrierdock_http::MAX_BODY_BYTES;
use harrierdock_types::{EndpointId, Event, Parameters, TimeDelta, Timestamp, UpdateKind};

use crate::control_plane::discovery_messages::{watch_path, EndpointListMessage, SNAPSHOT_PATH};
use crate::metrics::Counter;
use crate::runtime::context::{Context, InternalEvent};
use crate::upstream::Upstream;

/// A working stream sends something, if only an empty line, this often.
const KEEPALIVE_INTERVAL: TimeDelta = TimeDelta(2_000_000);
/// Keepalive intervals without a line after which a stream counts as unresponsive.
const MISSED_KEEPALIVES: f64 = 2.5;
/// Maintenance intervals that are needed to notice a silent stream, to give up a connection and to open the next one.
const RECOVERY_INTERVALS: f64 = 3.0;

/// Where the names and connections of endpoints are kept.
struct EndpointTables<'a> {
    names: &'a mut Names,
    upstream: &'a mut Upstream,
}

/// What is known of the request or stream that was opened last.
#[derive(Clone, Copy)]
struct Watch {
    opened_at: Timestamp,
    has_received: bool,
    /// Whether it has brought a list, or has stood for longer than a call may take.
    has_succeeded: bool,
}

impl Watch {
    fn opened(now: Timestamp) -> Watch {
        Watch {
            opened_at: now,
            has_received: false,
            has_succeeded: false,
        }
    }
}

/// The lines received so far of a list that is written over several.
#[derive(Default)]
struct PartialList {
    bytes: Vec<u8>,
    /// When the first line came, if the list is known to be incomplete.
    since: Option<Timestamp>,
}

impl PartialList {
    fn clear(&mut self) {
        self.bytes.clear();
        self.since = None;
    }
}

/// What was received next.
enum Received {
    List {
        message: EndpointListMessage,
        /// Whether it answers a call for the whole list, after which the watch is to be opened.
        is_response: bool,
    },
    /// Nothing to be applied, and the stream goes on.
    Nothing,
    /// The stream was renewed; what was received after this belongs to the former one.
    Renewed,
}

/// The discovery client.
pub(crate) struct Discovery {
    stream: LineStream,
    /// The version of the list that is held.
    version: Option<i64>,
    retry_interval: TimeDelta,
    /// Set if all gateways share the discovery service, so that they must not overload it.
    backoff: Option<Backoff>,
    freshness: ListFreshness,
    was_stale: bool,
    reopen_at: Timestamp,
    watch: Watch,
    partial: PartialList,
}

impl Discovery {
    /// A client that has not connected yet. `retry_interval` is the interval of `run_maintenance`, and how long a connection
    /// may take to come up.
    pub(crate) fn new(
        now: Timestamp,
        address: SocketAddr,
        retry_interval: TimeDelta,
        parameters: &Parameters,
        seed: u64,
    ) -> Discovery {
        // A silent stream is noticed early enough to be replaced before the notification deadline.
        let max_silence = (KEEPALIVE_INTERVAL * MISSED_KEEPALIVES)
            .min(NOTIFICATION_DEADLINE - retry_interval * RECOVERY_INTERVALS);
        Discovery {
            stream: LineStream::new("discovery", address, max_silence),
            version: None,
            retry_interval,
            backoff: Backoff::of_discovery(parameters, retry_interval, seed),
            freshness: ListFreshness::new(parameters, now),
            was_stale: false,
            reopen_at: now,
            watch: Watch::opened(now),
            partial: PartialList::default(),
        }
    }

    /// Whether the list may not be acted on any more.
    pub(crate) fn is_stale(&self, now: Timestamp) -> bool {
        self.freshness.is_stale(now)
    }

    /// Whether there is a list.
    pub(crate) fn has_list(&self) -> bool {
        self.version.is_some()
    }

    /// Applies the list that the configuration has kept from an earlier start. An empty one is none.
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
        // The cached list serves meanwhile, so there is time to spread the calls of many gateways.
        let delay = self.backoff.as_mut().map(Backoff::spread);
        self.reopen_at = self.reopen_at + delay.unwrap_or_default();
        let mut tables = EndpointTables { names, upstream };
        apply(context, &mut tables, list, UpdateKind::Cached);
    }

    /// Opens the watch, or calls for the whole list if there is none that changes could apply to.
    fn open(&mut self, context: &mut Context) {
        self.partial.clear();
        self.watch = Watch::opened(context.now());
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

    /// The address in use.
    pub(crate) fn address(&self) -> SocketAddr {
        self.stream.address()
    }

    /// Switches to another address at once. The list stays.
    pub(crate) fn set_address(&mut self, context: &mut Context, address: SocketAddr) {
        if self.stream.set_address(context, address) {
            self.reset_backoff();
            self.open(context);
        }
    }

    fn reset_backoff(&mut self) {
        if let Some(backoff) = &mut self.backoff {
            backoff.reset();
        }
    }

    /// Decides when to open the stream again after it has ended. A shared service that has brought nothing is called later and
    /// later.
    fn schedule_reopening(&mut self, now: Timestamp) {
        let has_succeeded = std::mem::take(&mut self.watch.has_succeeded);
        self.reopen_at = match &mut self.backoff {
            Some(backoff) if !has_succeeded => now + backoff.next_wait(now - self.watch.opened_at),
            Some(backoff) => now + backoff.spread(),
            None => self.watch.opened_at + self.retry_interval,
        };
    }

    /// Confirms the list if the watch works. A call that fails late has sent keepalive lines before, so the first of them do
    /// not count as success.
    fn confirm_if_working(&mut self, now: Timestamp) {
        self.watch.has_succeeded |= ListFreshness::has_succeeded(self.watch.opened_at, now);
        if self.watch.has_succeeded {
            self.freshness.confirm(now);
            self.reset_backoff();
        }
    }

    /// Reopens a stream that has ended or is unresponsive, and notes whether the list is stale. To be called at the retry
    /// interval.
    pub(crate) fn run_maintenance(&mut self, context: &mut Context) {
        let now = context.now();
        self.log_staleness(now);
        // A list may stop between two of its lines while keepalives go on.
        let is_list_stalled = self
            .partial
            .since
            .is_some_and(|since| now - since > self.retry_interval);
        let is_open = self.stream.is_open();
        // A whole list comes at once or not at all, and sends no keepalives.
        let is_call_unanswered =
            !self.has_list() && is_open && now - self.watch.opened_at >= KEEPALIVE_INTERVAL;
        if is_list_stalled
            || is_call_unanswered
            || self.stream.is_unresponsive(now, self.retry_interval)
        {
            self.renew(context);
        } else if !is_open && now >= self.reopen_at {
            self.open(context);
        } else if is_open && self.watch.has_received && !self.watch.has_succeeded {
            self.confirm_if_working(now);
        }
    }

    fn log_staleness(&mut self, now: Timestamp) {
        let is_stale = self.is_stale(now);
        if is_stale == std::mem::replace(&mut self.was_stale, is_stale) {
            return;
        }
        let state = if is_stale {
            "too old, nothing is sent by it"
        } else {
            "confirmed again"
        };
        tracing::warn!("discovery: the list held is {state}");
    }

    /// Closes the stream, and opens it again if it is time; else `run_maintenance` will, so that many malformed responses cost
    /// little.
    fn renew(&mut self, context: &mut Context) {
        self.partial.clear();
        self.stream.close(context);
        self.schedule_reopening(context.now());
        if context.now() >= self.reopen_at {
            self.open(context);
        }
    }

    /// Reads what the stream is ready for, and applies the lists that come.
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
                Received::Renewed => break,
            }
        }
    }

    fn receive(&mut self, context: &mut Context, event: StreamEvent) -> Received {
        match event {
            StreamEvent::Disconnected => {
                self.renew(context);
                Received::Renewed
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
            StreamEvent::Line(text) => self.receive_text(context, text, false),
            StreamEvent::Response(text) => self.receive_text(context, text, true),
        }
    }

    /// Forgets the version if discovery does not know it any more, so that the whole list is called for. An overloaded service
    /// says nothing about the version, and a whole list would cost it more.
    fn handle_refusal(&mut self, status: Option<u16>) {
        let is_overloaded = status.is_none_or(|status| matches!(status, 408 | 425 | 429 | 500..));
        tracing::warn!("discovery: refuses with {}", status.unwrap_or_default());
        if !is_overloaded {
            self.version = None;
        }
    }

    fn receive_text(
        &mut self,
        context: &mut Context,
        text: Vec<u8>,
        is_response: bool,
    ) -> Received {
        self.partial.bytes.extend(text);
        match serde_json::from_slice(&self.partial.bytes) {
            Ok(message) => {
                self.partial.clear();
                Received::List {
                    message,
                    is_response,
                }
            }
            // A list may be indented. Each of its lines but the last is only a part of it.
            Err(e) if e.is_eof() && !is_response && self.partial.bytes.len() <= MAX_BODY_BYTES => {
                self.partial.since.get_or_insert(context.now());
                Received::Nothing
            }
            Err(e) => {
                context.counters.add(Counter::LinesRefused);
                tracing::warn!("discovery: a line cannot be read, the watch is renewed: {e}");
                // The list stays valid for its version, from which the next watch goes on.
                self.renew(context);
                Received::Renewed
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
        self.version = Some(list.version);
        apply(context, tables, list, list.kind());
        if is_response {
            let path = watch_path(list.version);
            self.stream.request(context, &path, ResponseMode::Lines);
        }
    }
}

/// Notes what runs at each endpoint, and queues the list for the policy.
fn apply(
    context: &mut Context,
    tables: &mut EndpointTables<'_>,
    list: &EndpointListMessage,
    kind: UpdateKind,
) {
    context.counters.add(Counter::EndpointLists);
    let now = context.now();
    let mut absent: BTreeSet<EndpointId> = match kind {
        UpdateKind::Delta => BTreeSet::new(),
        _ => tables.names.endpoints.ids().collect(),
    };
    let mut endpoints = Vec::new();
    for message in &list.endpoints {
        let record = message.record(tables.names, &context.clock, now);
        tables
            .upstream
            .set_instance(context, record.endpoint, message.instance());
        absent.remove(&record.endpoint);
        endpoints.push(record);
    }
    for endpoint in absent {
        tables.upstream.set_instance(context, endpoint, None);
    }
    tracing::debug!(
        "discovery: list {} with {} lines",
        list.version,
        endpoints.len()
    );
    let event = Event::EndpointsUpdated { kind, endpoints };
    context.emit_at(now, InternalEvent::Policy(event));
}
